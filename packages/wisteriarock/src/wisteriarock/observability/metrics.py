"""Prometheus metrics of an entry instance."""

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Adjacent bounds around the 200 ms target differ by about 20 %.
LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.07,
    0.1,
    0.13,
    0.16,
    0.2,
    0.25,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
    30.0,
)
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1.0)


class Metrics(NamedTuple):
    """Metrics of the process and their registry."""

    registry: CollectorRegistry
    requests: Counter
    rejections: Counter
    request_seconds: Histogram
    coverage: Histogram
    legs: Counter
    leg_seconds: Histogram
    dropped_replies: Counter
    connections: Gauge
    connection_events: Counter
    queued_legs: Gauge
    peer_bytes: Counter
    callers_limited: Counter
    platform_calls: Counter
    bundle_revision: Gauge
    members: Gauge
    loop_lag_seconds: Gauge


def create_metrics() -> Metrics:
    """Create the metrics on a new registry."""
    registry = CollectorRegistry()
    return Metrics(
        registry=registry,
        requests=Counter(
            "wisteriarock_requests",
            "Requests by kind and outcome",
            ["kind", "outcome"],
            registry=registry,
        ),
        rejections=Counter(
            "wisteriarock_rejections",
            "Requests that were not run, by the code of their error",
            ["code"],
            registry=registry,
        ),
        request_seconds=Histogram(
            "wisteriarock_request_duration_seconds",
            "Time from acceptance to answer",
            ["kind"],
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        ),
        coverage=Histogram(
            "wisteriarock_coverage_ratio",
            "Share of the wanted shards that an answer covers",
            ["kind"],
            registry=registry,
            buckets=COVERAGE_BUCKETS,
        ),
        legs=Counter(
            "wisteriarock_legs",
            "Legs by role (primary, hedge, retry) and by whether they crossed a zone",
            ["role", "cross_zone"],
            registry=registry,
        ),
        leg_seconds=Histogram(
            "wisteriarock_leg_duration_seconds",
            "Time from the write of a leg to its reply, at the holder",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        ),
        dropped_replies=Counter(
            "wisteriarock_dropped_replies",
            "Replies that were not merged, by reason (late, duplicate, mismatched)",
            ["reason"],
            registry=registry,
        ),
        connections=Gauge(
            "wisteriarock_endpoint_connections",
            "Open connections to endpoints",
            registry=registry,
        ),
        connection_events=Counter(
            "wisteriarock_endpoint_connection_events",
            "Connections opened, closed, refused and found silent",
            ["event"],
            registry=registry,
        ),
        queued_legs=Gauge(
            "wisteriarock_queued_legs",
            "Legs that wait for a slot of an endpoint held here",
            registry=registry,
        ),
        callers_limited=Counter(
            "wisteriarock_callers_limited",
            "Connections closed to bound memory and descriptors, by limit",
            ["limit"],
            registry=registry,
        ),
        peer_bytes=Counter(
            "wisteriarock_peer_bytes",
            "Bytes exchanged with peers, by purpose (control, legs) and direction",
            ["purpose", "direction"],
            registry=registry,
        ),
        platform_calls=Counter(
            "wisteriarock_platform_calls",
            "Calls to the platform by operation and result",
            ["operation", "result"],
            registry=registry,
        ),
        bundle_revision=Gauge(
            "wisteriarock_bundle_revision",
            "Revision of the bundle in force",
            registry=registry,
        ),
        members=Gauge(
            "wisteriarock_live_members",
            "Entry instances believed to be live, this one included",
            registry=registry,
        ),
        loop_lag_seconds=Gauge(
            "wisteriarock_loop_lag_seconds",
            "Recent delay of the event loop; admission refuses requests by it",
            registry=registry,
        ),
    )
