"""What an instance knows of the load of endpoints, for metrics and the state dump."""

from collections.abc import Collection, Sequence

from .load import has_recent_report
from .models import Endpoint


def choice_source(endpoint: Endpoint, now_ms: float) -> str:
    """Return what the load of a chosen endpoint was estimated from."""
    if endpoint.load is None:
        return "observation"
    if endpoint.is_contradicted:
        return "contradicted"
    return "report" if has_recent_report(endpoint, now_ms) else "old_report"


def describe_load(endpoint: Endpoint, now_ms: float) -> dict[str, float] | None:
    """Return the last load report of an endpoint and its age; None if it reports none."""
    report = endpoint.load
    if report is None:
        return None
    shared = endpoint.service_load
    return {
        "running": report.running,
        "waiting": report.waiting,
        "slots": report.slots,
        "pace": round(report.pace, 2),
        "usual_pace": round(endpoint.usual_pace, 2),
        "age_ms": round(now_ms - endpoint.load_at_ms),
        "is_contradicted": endpoint.is_contradicted,
        "service_per_slot": round(shared.per_slot, 2) if shared is not None else 0.0,
    }


def load_spread(services: Collection[Sequence[Endpoint]], now_ms: float) -> float:
    """Return the load of the busiest endpoint over the mean, averaged over services.

    Services without a request in progress, or with a single endpoint, are left out; 1 if none is
    left. The load is the reported one where that is recent, otherwise the legs of this instance.
    """
    ratios = []
    for endpoints in services:
        loads = [_seen_load(each, now_ms) for each in endpoints]
        total = sum(loads)
        if len(loads) > 1 and total:
            ratios.append(max(loads) * len(loads) / total)
    return sum(ratios) / len(ratios) if ratios else 1.0


def _seen_load(endpoint: Endpoint, now_ms: float) -> float:
    report = endpoint.load
    if report is None or not has_recent_report(endpoint, now_ms):
        return len(endpoint.in_flight) / endpoint.slots
    return max(len(endpoint.in_flight), report.running + report.waiting) / report.slots
