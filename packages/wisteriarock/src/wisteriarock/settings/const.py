"""Names, ranges and defaults of the tunables."""

from typing import NamedTuple

MAX_SETTINGS_BYTES = 1_000_000


class Range(NamedTuple):
    """Inclusive range and default of a tunable."""

    low: float
    high: float
    default: float


# Tunables by field name. The reference page is generated from this table.
TUNABLES: dict[str, Range] = {
    "heartbeat_interval_ms": Range(50, 10_000, 500),
    # Four missed heartbeats; a lossy link occasionally loses two in a row.
    "suspect_after_ms": Range(200, 60_000, 2_000),
    # Above suspect_after_ms, so that a holder without connection stops before its successor starts.
    "handover_ms": Range(0, 60_000, 2_500),
    "report_interval_ms": Range(50, 10_000, 1_000),
    "report_timeout_ms": Range(10, 10_000, 300),
    "connect_timeout_ms": Range(10, 10_000, 250),
    # Time without data on a connection with a leg in flight after which it is probed.
    "silence_suspect_ms": Range(20, 60_000, 400),
    "clock_gap_ms": Range(100, 60_000, 1_000),
    "peer_timeout_ms": Range(10, 60_000, 1_000),
    "hedge_min_ms": Range(1, 10_000, 5),
    "hedge_initial_ms": Range(1, 10_000, 100),
    "hedge_quantile": Range(0.5, 0.999, 0.95),
    "eject_after_failures": Range(1, 1_000, 5),
    "eject_ms": Range(100, 600_000, 5_000),
    "eject_max_share": Range(0, 1, 0.5),
    "slow_start_ms": Range(0, 600_000, 3_000),
    "ticket_lifetime_ms": Range(1_000, 3_600_000, 60_000),
    "ticket_retention_ms": Range(1_000, 3_600_000, 120_000),
    "max_tickets": Range(100, 1_000_000, 100_000),
    # An event loop handles about 100 requests of 50 legs per second; with more in flight, requests
    # would only miss their deadlines.
    "max_queries": Range(1, 100_000, 128),
    "max_queued_per_endpoint": Range(1, 10_000, 64),
    # Twice what 128 requests of a peer with the largest body take.
    "max_buffered_mb": Range(1, 100_000, 256),
    "caller_timeout_ms": Range(100, 600_000, 60_000),
    "platform_timeout_ms": Range(10, 60_000, 1_000),
    "platform_poll_interval_ms": Range(100, 600_000, 1_000),
    "platform_calls_per_s": Range(0.1, 1_000, 5),
    "drain_grace_ms": Range(0, 600_000, 10_000),
}
