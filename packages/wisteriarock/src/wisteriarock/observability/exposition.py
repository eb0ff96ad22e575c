"""Rendering of the counters in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest

from .counters import BOUNDS_MS, Counters

# Help text and label names by counter.
COUNTERS = {
    "answers": ("Answers to callers", ("route", "status")),
    "callers_left": ("Requests whose caller left before the answer", ("route",)),
    "refusals": ("Requests that were not started", ("status",)),
    "bad_requests": ("Input that was no proper request", ("status",)),
    "callers_limited": ("Callers closed or refused to bound memory and descriptors", ("limit",)),
    "missing_parts": ("Parts left out of answers", ("route",)),
    "fragments": ("Parts of requests answered to other instances", ("route",)),
    "fragment_failures": ("Parts of requests that a gatherer did not answer", ()),
    "legs": ("Legs sent to endpoints", ()),
    "overload_shortages": ("Times at which a service became short of room", ()),
    "overload_waits": ("Requests that waited for room", ("room",)),
    "overload_refusals": ("Requests refused for lack of room", ("room", "reason")),
    "extra_legs_given_way": ("Extra legs of a flooding customer that gave way", ()),
    "limited_legs": ("Legs sent to endpoints that name a rate limit", ("kind",)),
    "cold_legs": ("Legs sent to cold endpoints of a service with a rate for them", ("kind",)),
    "leg_choices": (
        "Legs by what the load of their endpoint was estimated from, and by its zone",
        ("source", "zone"),
    ),
    "load_reports": ("Replies that reported the load of their endpoint", ()),
    "shards_withheld": ("Shards that were not queried as rate limits were used up", ()),
    "hedges": ("Second legs sent because the first took too long", ()),
    "retries": ("Legs sent after one failed", ()),
    "leg_failures": ("Legs that ended without a usable reply", ("reason",)),
    "endpoint_pauses": ("Replies in which an endpoint asked for a pause", ()),
    "endpoints_leaving": ("Endpoints that said in a reply that they leave", ()),
    "endpoint_ends": ("Endpoints that ended under a request", ("route",)),
    "quarantined_requests": ("Requests to blame for ended endpoints", ("route",)),
    "canaries": ("Fan-outs that began with a single shard", ("route",)),
    "budget_refusals": ("Second arrivals that the budget did not allow", ()),
    "stray_replies": ("Bytes of endpoints that belonged to no request", ("reason",)),
    "connections_opened": ("Connections opened to endpoints", ()),
    "store_calls": ("Calls of the platform's store", ()),
    "store_failures": ("Calls of the platform's store without result", ("kind",)),
    "feed_failures": ("Calls of relays without result", ("kind",)),
    "allotment_failures": ("Calls on allotments without result", ("kind",)),
    "odd_customers": ("Customers and keys left out of configurations", ()),
    "listen_failures": ("Attempts to listen on an address in use", ("listener",)),
    "evicted_messages": ("Incomplete messages given up as the buffers were full", ()),
    "malformed_entries": ("Entries of the store that name no endpoint", ()),
    "invalid_eras": ("Replies of the store whose era is no whole number, or named twice", ()),
    "outdated_copies": ("Items of an older copy of the store that were not used", ("kind",)),
    "store_returns": ("Returns of the store from an older copy that were noticed", ()),
    "unexpected_errors": ("Exceptions that were contained", ("part",)),
    "log_lines_dropped": ("Log lines dropped to keep the bound", ()),
}
# Help text and label name by histogram.
HISTOGRAMS = {
    "answer": ("Time from a request to its answer", "route"),
    "leg": ("Time from a leg to its reply", "route"),
    "room": ("Time for which work held its places", "room"),
}


class _Collector:
    """Collector that provides the counters to prometheus_client."""

    def __init__(self, counters: Counters, gauges: dict[str, tuple[str, float]]) -> None:
        self.counters = counters
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        for name, (text, labels) in COUNTERS.items():
            family = CounterMetricFamily(f"wisteriarock_{name}", text, labels=labels)
            for key, count in self.counters.counts.items():
                if key[0] == name:
                    family.add_metric(list(key[1:]), count)
            yield family
        for name, (text, label) in HISTOGRAMS.items():
            metric = HistogramMetricFamily(f"wisteriarock_{name}_seconds", text, labels=[label])
            for (histogram_name, value), histogram in self.counters.histograms.items():
                if histogram_name == name:
                    buckets = _cumulative_buckets(histogram.counts)
                    metric.add_metric([value], buckets, sum_value=histogram.sum_ms / 1000)
            yield metric
        for name, (text, number) in self.gauges.items():
            yield GaugeMetricFamily(f"wisteriarock_{name}", text, value=number)


def _cumulative_buckets(counts: list[int]) -> list[tuple[str, float]]:
    buckets = []
    total = 0
    for bound_ms, count in zip((*BOUNDS_MS, None), counts, strict=True):
        total += count
        buckets.append(("+Inf" if bound_ms is None else str(bound_ms / 1000), float(total)))
    return buckets


def render(counters: Counters, gauges: dict[str, tuple[str, float]]) -> bytes:
    """Return all metrics in the Prometheus text format.

    Parameters
    ----------
    counters : Counters
        Counters and histograms to render.
    gauges : dict
        Help text and value by name.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(counters, gauges))
    return bytes(generate_latest(registry))
