"""Estimate of the load of an endpoint from its last report and what was sent since."""

import math

from .const import (
    CHANCE_RATIO,
    FIRST_PACE_WEIGHT,
    LOAD_WEIGHT,
    OBSERVATION_DECAY_MS,
    OBSERVATION_WEIGHT,
    PACE_DECAY_MS,
    PACE_FAULT_RATIO,
    PACE_MAX,
    PACE_MIN,
    QUEUE_DECAY_FACTOR,
    REPORT_MAX_AGE_MS,
    REPORTED_LOAD_MAX_PER_SLOT,
    SPEED_MAX,
    SPEED_MIN,
    SPEED_SAMPLE_MAX,
    SPEED_WEIGHT,
    UNEXPLAINED_MAX,
    USUAL_LOAD_DECAY_MS,
    USUAL_LOAD_SHARE,
)
from .models import Endpoint, LoadReport


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
    endpoint.usual_load += LOAD_WEIGHT * (min(running + waiting, slots) - endpoint.usual_load)
    endpoint.load = LoadReport(running, waiting, slots, pace)
    endpoint.load_at_ms = now_ms


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
    queued_per_slot = max(0, reported - report.slots) / report.slots
    decay_ms = max(1.0, expected_ms * (1.0 + QUEUE_DECAY_FACTOR * queued_per_slot))
    usual = USUAL_LOAD_SHARE * endpoint.usual_load * math.exp(-age_ms / USUAL_LOAD_DECAY_MS)
    remaining = usual + (reported - usual) * math.exp(-age_ms / decay_ms)
    return max(remaining + _count_sent_since(endpoint, endpoint.load_at_ms), own) / report.slots


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


def trouble_ratio(slow_ratio: float) -> float:
    """Return the part of the observed ratio of latencies that is not left to chance.

    Latencies differ from request to request. Only an endpoint that takes a multiple of the expected
    time is in trouble, whatever it reports.
    """
    return max(1.0, slow_ratio - CHANCE_RATIO)


def unexplained_ratio(
    endpoint: Endpoint, elapsed_ms: float, expected_ms: float, report: LoadReport | None
) -> float:
    """Return the ratio of an observed latency to the one that speed and report lead to expect.

    It is cut off, as a pause is over by the time of the reply and says little about the next leg.
    """
    explained = endpoint.speed_ratio
    if report is not None:
        waiting = min(report.waiting / endpoint.slots, REPORTED_LOAD_MAX_PER_SLOT)
        explained *= limit_pace(report.pace) * (1.0 + waiting)
    return min(elapsed_ms / (expected_ms * explained), UNEXPLAINED_MAX)


def observation_weight(gap_ms: float) -> float:
    """Return the weight of a latency in the average, which is larger after a time without any."""
    return 1.0 - (1.0 - OBSERVATION_WEIGHT) * math.exp(-gap_ms / OBSERVATION_DECAY_MS)


def learn_speed(endpoint: Endpoint, ratio: float) -> None:
    """Learn the lasting speed of an endpoint from an unexplained ratio."""
    sample = endpoint.speed_ratio * min(max(ratio, 1.0 / SPEED_SAMPLE_MAX), SPEED_SAMPLE_MAX)
    speed = endpoint.speed_ratio + SPEED_WEIGHT * (sample - endpoint.speed_ratio)
    endpoint.speed_ratio = min(max(speed, SPEED_MIN), SPEED_MAX)
