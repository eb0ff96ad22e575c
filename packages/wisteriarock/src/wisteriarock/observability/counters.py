"""Counters and histograms as plain numbers.

prometheus_client takes 10 MB of memory; it is imported only when metrics are first rendered.
"""

import bisect

# Upper bounds of the buckets, chosen to resolve the latency targets of 100 to 900 ms, in
# particular the one of 200 ms.
BOUNDS_MS = (5, 10, 20, 35, 50, 75, 100, 125, 150, 200, 250, 300, 400, 600, 900, 1_500, 6_000)


class Histogram:
    """Counts by bucket, and the sum of all values."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Record a value."""
        self.counts[bisect.bisect_left(BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms


class Counters:
    """Counters by name and label values, and histograms by name and label value."""

    __slots__ = ("counts", "histograms")

    def __init__(self) -> None:
        self.counts: dict[tuple[str, ...], int] = {}
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str, *labels: str, by: int = 1) -> None:
        """Increment a counter."""
        key = (name, *labels)
        self.counts[key] = self.counts.get(key, 0) + by

    def total(self, name: str) -> int:
        """Return the sum of a counter over all labels."""
        return sum(value for key, value in self.counts.items() if key[0] == name)

    def observe(self, name: str, label: str, value_ms: float) -> None:
        """Record a value in a histogram."""
        histogram = self.histograms.get((name, label))
        if histogram is None:
            histogram = self.histograms[name, label] = Histogram()
        histogram.observe(value_ms)
