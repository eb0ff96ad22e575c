"""Figures of a request class, updated with each answer."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from wisteriarock.query.models import Outcome, QueryAnswer, QueryStats

from .models import ClassResult, SendError

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3


def create_histogram() -> HdrHistogram:
    """Return a histogram of times in microseconds, up to ten minutes."""
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@dataclass
class ClassStats:
    """Running figures of one request class.

    The histogram leaves out refusals (`not_run`): they are quick and would lower the latency that
    is reported for requests that ran.
    """

    kind: str
    latency_us: HdrHistogram = field(default_factory=create_histogram)
    requests: int = 0
    answers: int = 0
    late_answers: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    missing_reasons: Counter[str] = field(default_factory=Counter)
    answer_errors: Counter[str] = field(default_factory=Counter)
    coverage_sum: float = 0.0
    primary_legs: int = 0
    extra_legs: int = 0
    cross_zone_legs: int = 0
    check_failures: int = 0


def count_primary_legs(stats: QueryStats) -> int:
    """Return the number of legs that were neither hedges nor retries; `legs` includes those."""
    return stats["legs"] - stats["hedges"] - stats["retries"]


def add_error(stats: ClassStats, error: SendError) -> None:
    """Count a request without an answer."""
    stats.requests += 1
    stats.errors[error.value] += 1


def add_answer(
    stats: ClassStats,
    answer: QueryAnswer,
    shard_count: int,
    latency_ms: float,
    limit_ms: float,
) -> None:
    """Count an answer to a request for `shard_count` shards; it is late after `limit_ms`."""
    stats.requests += 1
    stats.answers += 1
    stats.outcomes[str(answer["outcome"])] += 1
    stats.late_answers += latency_ms > limit_ms
    if answer["outcome"] != Outcome.NOT_RUN:
        latency_us = max(_MIN_LATENCY_US, min(_MAX_LATENCY_US, round(latency_ms * 1000)))
        stats.latency_us.record_value(latency_us)
    stats.coverage_sum += len(answer["coverage"]["answered"]) / shard_count
    stats.missing_reasons.update(item["reason"] for item in answer["coverage"]["missing"])
    if answer["error"] is not None:
        stats.answer_errors[answer["error"]["code"]] += 1
    query_stats = answer["stats"]
    stats.primary_legs += count_primary_legs(query_stats)
    stats.extra_legs += query_stats["hedges"] + query_stats["retries"]
    stats.cross_zone_legs += query_stats["cross_zone_legs"]


def build_class_result(stats: ClassStats, duration_s: float) -> ClassResult:
    """Return the figures; a mean without answers is 0."""
    answers = max(1, stats.answers)
    has_latencies = stats.latency_us.get_total_count() > 0
    return ClassResult(
        kind=stats.kind,
        requests=stats.requests,
        rate_per_s=stats.requests / duration_s,
        outcomes=dict(stats.outcomes),
        p50_ms=stats.latency_us.get_value_at_percentile(50) / 1000 if has_latencies else 0.0,
        p99_ms=stats.latency_us.get_value_at_percentile(99) / 1000 if has_latencies else 0.0,
        late_answers=stats.late_answers,
        mean_coverage=stats.coverage_sum / answers,
        extra_load_pct=100 * stats.extra_legs / max(1, stats.primary_legs),
        cross_zone_legs=stats.cross_zone_legs / answers,
        missing_reasons=dict(stats.missing_reasons),
        answer_errors=dict(stats.answer_errors),
        errors=dict(stats.errors),
        check_failures=stats.check_failures,
    )
