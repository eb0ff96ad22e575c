"""Estimate of the load of an endpoint from its last report and what was sent since."""

import math
from collections.abc import Sequence

from .const import (
    CHANCE_RATIO,
    CONTRADICTION_RATIO,
    FIRST_PACE_WEIGHT,
    LOAD_WEIGHT,
    OBSERVATION_DECAY_MS,
    OBSERVATION_WEIGHT,
    PACE_DECAY_MS,
    PACE_FAULT_RATIO,
    PACE_MAX,
    PACE_MIN,
    PAUSE_MAX_MS,
    QUEUE_DECAY_FACTOR,
    REPORT_MAX_AGE_MS,
    REPORTED_LOAD_MAX_PER_SLOT,
    SERVICE_LOAD_MEMORY_MS,
    SERVICE_LOAD_PART,
    SPEED_MAX,
    SPEED_MIN,
    SPEED_SAMPLE_MAX,
    SPEED_WEIGHT,
    UNEXPLAINED_MAX,
    USUAL_LOAD_DECAY_MS,
    USUAL_LOAD_SHARE,
)
from .models import Endpoint, LoadReport, ServiceLoad


def record_report(
    endpoint: Endpoint, report: LoadReport, now_ms: float, *, counts_replied: bool
) -> None:
    """Record the load that a reply of the endpoint reports, with figures out of range cut off.

    `counts_replied` says whether the request that was replied to is among the running ones.
    """
    slots = min(report.slots, endpoint.slots) if report.slots else endpoint.slots
    load_max = int(REPORTED_LOAD_MAX_PER_SLOT * slots)
    running = max(0, report.running - counts_replied)
    pace = limit_pace(report.pace)
    waiting = min(report.waiting, load_max)
    running = min(running, load_max)
    weight = FIRST_PACE_WEIGHT if endpoint.load is None else SPEED_WEIGHT
    endpoint.usual_pace += weight * (min(pace, SPEED_MAX) - endpoint.usual_pace)
    reported = min(running + waiting, slots)
    endpoint.usual_load += LOAD_WEIGHT * (reported - endpoint.usual_load)
    shared = endpoint.service_load
    if shared is not None:
        forgotten = 1.0 - math.exp((shared.reported_at_ms - now_ms) / SERVICE_LOAD_MEMORY_MS)
        shared.per_slot += max(LOAD_WEIGHT, forgotten) * (reported / slots - shared.per_slot)
        shared.reported_at_ms = now_ms
    endpoint.load = LoadReport(running, waiting, slots, pace)
    endpoint.load_at_ms = now_ms


def share_service_load(endpoints: Sequence[Endpoint]) -> None:
    """Let the endpoints of a service share its usual load."""
    shared = next((each.service_load for each in endpoints if each.service_load), ServiceLoad())
    for each in endpoints:
        each.service_load = shared


def limit_pace(pace: float) -> float:
    """Return a reported pace within the range that is taken for true."""
    return min(max(pace, PACE_MIN), PACE_MAX)


def has_recent_report(endpoint: Endpoint, now_ms: float) -> bool:
    """Return whether the last report still says something about the endpoint."""
    return endpoint.load is not None and now_ms - endpoint.load_at_ms <= REPORT_MAX_AGE_MS


def expected_load(endpoint: Endpoint, expected_ms: float, now_ms: float) -> float:
    """Estimate the requests at an endpoint, per slot.

    The reported ones end with time, a longer queue later than a short one. Legs of this instance
    that are still unanswered count in full.
    """
    own = len(endpoint.in_flight)
    report = endpoint.load
    if report is None:
        return own / endpoint.slots
    age_ms = now_ms - endpoint.load_at_ms
    reported = report.running + report.waiting
    slots = report.slots
    decay_ms = expected_ms if expected_ms > 1.0 else 1.0
    if reported > slots:
        decay_ms *= 1.0 + QUEUE_DECAY_FACTOR * (reported - slots) / slots
    usual = endpoint.usual_load
    usual_age_ms = age_ms
    shared = endpoint.service_load
    if shared is not None:
        usual_age_ms = now_ms - shared.reported_at_ms
        usual += SERVICE_LOAD_PART * (shared.per_slot * slots - usual)
    usual *= USUAL_LOAD_SHARE * math.exp(-usual_age_ms / USUAL_LOAD_DECAY_MS)
    remaining = usual + (reported - usual) * math.exp(-age_ms / decay_ms)
    if own:
        remaining = max(remaining + _count_sent_since(endpoint, endpoint.load_at_ms), own)
    return remaining / slots


def _count_sent_since(endpoint: Endpoint, since_ms: float) -> int:
    count = 0
    for sent_at_ms in reversed(endpoint.in_flight.values()):
        if sent_at_ms < since_ms:
            break
        count += 1
    return count


def expected_pace(endpoint: Endpoint, now_ms: float) -> float:
    """Estimate how long work takes at an endpoint now, relative to the usual time of all.

    The reported pace changes many times a second, so that an old one says little. One that is a
    multiple of the usual one is a fault, which lasts longer.
    """
    report = endpoint.load
    if report is None:
        return 1.0
    usual = endpoint.usual_pace
    is_fault = report.pace > PACE_FAULT_RATIO * usual
    decay_ms = OBSERVATION_DECAY_MS if is_fault else PACE_DECAY_MS
    return usual + (report.pace - usual) * math.exp((endpoint.load_at_ms - now_ms) / decay_ms)


def trouble_ratio(endpoint: Endpoint, slow_ratio: float) -> float:
    """Return the part of the observed ratio of latencies that is not left to chance.

    Latencies differ from request to request. Only an endpoint that takes a multiple of the expected
    time is in trouble, whatever it reports.
    """
    return slow_ratio if endpoint.is_contradicted else max(1.0, slow_ratio - CHANCE_RATIO)


def explain_ms(endpoint: Endpoint, expected_ms: float, report: LoadReport | None) -> float:
    """Return the latency that the speed of an endpoint and the report of a reply lead to expect."""
    explained = endpoint.speed_ratio
    if report is not None:
        waiting = min(report.waiting / endpoint.slots, REPORTED_LOAD_MAX_PER_SLOT)
        explained *= limit_pace(report.pace) * (1.0 + waiting)
    return expected_ms * explained


def observe_unexplained(
    endpoint: Endpoint, elapsed_ms: float, explained_ms: float, gap_ms: float, now_ms: float
) -> None:
    """Record an observed latency against the one that speed and report lead to expect.

    The ratio is cut off, as a pause is over by the time of the reply and says little about the next
    leg. A reply that takes much longer than a pause explains, or a second one to a leg sent after
    the first, contradicts the report: it counts in full at once, until a reply shows better.
    """
    ratio = min(elapsed_ms / explained_ms, UNEXPLAINED_MAX)
    is_slow = ratio >= CONTRADICTION_RATIO
    if is_slow:
        _note_slow_reply(endpoint, elapsed_ms, explained_ms, now_ms)
    else:
        endpoint.slow_reply_at_ms = None
        if ratio <= 1.0 + CHANCE_RATIO:
            endpoint.is_contradicted = False
    if is_slow and endpoint.is_contradicted:
        endpoint.slow_ratio = max(endpoint.slow_ratio, ratio)
    else:
        weight = observation_weight(gap_ms)
        endpoint.slow_ratio += weight * (ratio - endpoint.slow_ratio)
    if endpoint.cold_until_ms <= now_ms:
        learn_speed(endpoint, ratio)


def _note_slow_reply(
    endpoint: Endpoint, elapsed_ms: float, explained_ms: float, now_ms: float
) -> None:
    first_at_ms = endpoint.slow_reply_at_ms
    if first_at_ms is None:
        endpoint.slow_reply_at_ms = now_ms
    is_second = first_at_ms is not None and now_ms - elapsed_ms >= first_at_ms
    if is_second or elapsed_ms - PAUSE_MAX_MS >= CONTRADICTION_RATIO * explained_ms:
        endpoint.is_contradicted = True


def observation_weight(gap_ms: float) -> float:
    """Return the weight of a latency in the average, which is larger after a time without any."""
    return 1.0 - (1.0 - OBSERVATION_WEIGHT) * math.exp(-gap_ms / OBSERVATION_DECAY_MS)


def learn_speed(endpoint: Endpoint, ratio: float) -> None:
    """Learn the lasting speed of an endpoint from an unexplained ratio."""
    sample = endpoint.speed_ratio * min(max(ratio, 1.0 / SPEED_SAMPLE_MAX), SPEED_SAMPLE_MAX)
    speed = endpoint.speed_ratio + SPEED_WEIGHT * (sample - endpoint.speed_ratio)
    endpoint.speed_ratio = min(max(speed, SPEED_MIN), SPEED_MAX)
