"""What must hold, checked against what callers and endpoints saw."""

import bisect
import hashlib
from collections import Counter, defaultdict
from collections.abc import Iterator

from .const import (
    APPLY_MS,
    CALLER_SLACK_MS,
    CALLER_WAIT_MS,
    DRAIN_MS,
    EXTRA_FIXED,
    EXTRA_RATIO,
    EXTRA_WINDOW_S,
    LOSS_SLACK_MS,
    MAX_ATTEMPTS,
    MAX_CONNECTIONS,
    MIN_COVERAGE,
    RECOVERED_SHARE,
    RECOVERY_MS,
    ROLLBACK_SLACK_MS,
    STABILITY_MS,
    TOP_COUNT,
)
from .models import Arrival, Attempt, Observations, RequestKind, Violation

RECORD_BYTES = 16
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


def records_of(service: str, request_id: str) -> bytes:
    """Return the records that any endpoint of a service replies to a request, in no order."""
    seed = f"{service} {request_id}".encode()
    return b"".join(hashlib.sha256(seed + bytes([number])).digest()[:16] for number in range(3))


def _proofs(attempt: Attempt) -> list[str]:
    text = attempt.headers.get("part-stamps", "")
    return [proof.strip() for proof in text.split(",") if proof.strip()]


def merge(services: list[str], request_id: str) -> bytes:
    """Return the greatest records of some services, greatest first."""
    records = []
    for service in services:
        data = records_of(service, request_id)
        records += [data[at : at + RECORD_BYTES] for at in range(0, len(data), RECORD_BYTES)]
    return b"".join(sorted(records, reverse=True)[:TOP_COUNT])


def is_in_touch(seen: Observations, instance: int, from_ms: float, to_ms: float) -> bool:
    """Tell whether an instance met no trouble in a span, nor shortly before it."""
    return not any(
        trouble.instance in (instance, -1)
        and trouble.from_ms < to_ms
        and trouble.to_ms + STABILITY_MS > from_ms
        for trouble in seen.troubles
    )


def check_answers(seen: Observations) -> Iterator[Violation]:
    """Check that each success is the whole answer to its own request, from one set of shards."""
    ran = {arrival.proof: arrival for arrival in seen.arrivals if arrival.proof}
    for attempt in seen.attempts:
        if attempt.status != 200:
            continue
        if attempt.kind is RequestKind.SEARCH:
            problem = _fan_out_problem(seen, attempt, ran)
        else:
            problem = _plain_problem(attempt, ran)
        if problem:
            yield Violation("answer", f"{attempt.request_id}: {problem}", attempt.ended_ms)


def _plain_problem(attempt: Attempt, ran: dict[str, Arrival]) -> str:
    arrival = ran.get(attempt.headers.get("server-stamp", ""))
    if arrival is None or arrival.request_id != attempt.request_id:
        return "no proof of its own run"
    if attempt.body != records_of(arrival.service, attempt.request_id):
        return "the body is not the endpoint's"
    return ""


def _fan_out_problem(seen: Observations, attempt: Attempt, ran: dict[str, Arrival]) -> str:
    services = []
    for proof in _proofs(attempt):
        arrival = ran.get(proof)
        if arrival is None or arrival.request_id != attempt.request_id:
            return f"proof {proof} is not of its own run"
        services.append(arrival.service)
    if len(set(services)) < len(services):
        return "two parts of one shard"
    sets = [
        version.shards
        for version in seen.versions
        if set(services) <= set(version.shards) and version.confirmed_ms <= attempt.ended_ms
    ]
    if not sets:
        return "parts of no set of shards"
    missing = int(attempt.headers.get("missing-parts", "0"))
    if not any(len(services) + missing == len(shards) for shards in sets):
        return f"{len(services)} parts and {missing} missing ones are no set of shards"
    if len(services) < MIN_COVERAGE * (len(services) + missing):
        return f"only {len(services)} parts"
    if attempt.body != merge(services, attempt.request_id):
        return "the records are not the greatest of its parts"
    return ""


def check_runs(seen: Observations) -> Iterator[Violation]:
    """Check that nothing runs unasked, twice, too often, or after "not run"."""
    attempts = {attempt.request_id: attempt for attempt in seen.attempts}
    runs: Counter[tuple[str, str]] = Counter()
    for arrival in seen.arrivals:
        if arrival.request_id in seen.improper_ids or arrival.request_id not in attempts:
            detail = f"{arrival.request_id} at {arrival.endpoint_id}"
            yield Violation("unasked", detail, arrival.at_ms)
        elif arrival.proof:
            runs[arrival.request_id, arrival.service] += 1
    for (request_id, service), count in runs.items():
        attempt = attempts[request_id]
        if attempt.kind is RequestKind.BOOK and count > 1:
            yield Violation("twice", f"{request_id} ran {count} times", attempt.sent_ms)
        if count > MAX_ATTEMPTS:
            detail = f"{request_id} ran {count} times at {service}"
            yield Violation("attempts", detail, attempt.sent_ms)
        if attempt.kind is RequestKind.BOOK and attempt.status in NOT_RUN:
            detail = f"{request_id} was answered {attempt.status} and ran"
            yield Violation("refused", detail, attempt.ended_ms)


def check_leaving(seen: Observations) -> Iterator[Violation]:
    """Check that an endpoint that is leaving gets no new work after the bound."""
    attempts = {attempt.request_id: attempt for attempt in seen.attempts}
    leaving = {each.endpoint_id: each.confirmed_ms for each in seen.leaving}
    for arrival in seen.arrivals:
        confirmed_ms = leaving.get(arrival.endpoint_id)
        attempt = attempts.get(arrival.request_id)
        if confirmed_ms is None or attempt is None or arrival.at_ms < confirmed_ms + DRAIN_MS:
            continue
        if is_in_touch(seen, attempt.instance, confirmed_ms, arrival.at_ms):
            detail = f"{arrival.request_id} at {arrival.endpoint_id}"
            yield Violation("leaving", detail, arrival.at_ms)


def check_stops(seen: Observations) -> Iterator[Violation]:
    """Check that a planned stop cuts no request."""
    passed_on = {arrival.request_id for arrival in seen.arrivals}
    stops = [trouble for trouble in seen.troubles if trouble.is_planned]
    for stop in stops:
        others = [
            trouble
            for trouble in seen.troubles
            if trouble is not stop
            and trouble.instance in (stop.instance, -1)
            and trouble.from_ms < stop.to_ms
            and trouble.to_ms + STABILITY_MS > stop.from_ms
        ]
        if others:
            continue
        for attempt in seen.attempts:
            if attempt.instance != stop.instance or attempt.status or attempt.has_left:
                continue
            # A request that crosses the close of an idle connection was not taken.
            was_taken = attempt.ended_ms - attempt.sent_ms > LOSS_SLACK_MS
            was_taken = was_taken or attempt.request_id in passed_on
            if was_taken and stop.from_ms < attempt.ended_ms < stop.to_ms:
                yield Violation("stop", f"{attempt.request_id} was cut", attempt.ended_ms)


def _is_at_version(attempt: Attempt) -> bool:
    """Tell whether a probe shows that its version is in force."""
    return attempt.status not in (0, 404)


def check_configuration(seen: Observations) -> Iterator[Violation]:
    """Check that a version is in force in time, and is never taken back in a process's life."""
    confirmed = {version.version: version.confirmed_ms for version in seen.versions}
    probes = [attempt for attempt in seen.attempts if attempt.kind is RequestKind.PROBE]
    by_life: dict[tuple[int, float], list[Attempt]] = defaultdict(list)
    starts: dict[int, list[float]] = defaultdict(list)
    for life in sorted(seen.lives, key=lambda life: life.from_ms):
        starts[life.instance].append(life.from_ms)
    for probe in probes:
        due_ms = confirmed[probe.expected_version] + APPLY_MS
        if probe.status == 404 and probe.sent_ms > due_ms:
            from_ms = confirmed[probe.expected_version]
            if is_in_touch(seen, probe.instance, from_ms, probe.ended_ms):
                detail = f"instance {probe.instance} lacks version {probe.expected_version}"
                yield Violation("configuration", detail, probe.sent_ms)
        place = bisect.bisect(starts[probe.instance], probe.sent_ms) - 1
        if place >= 0:
            by_life[probe.instance, starts[probe.instance][place]].append(probe)
    for (instance, _), group in by_life.items():
        reached, reached_ms = 0, 0.0
        for probe in sorted(group, key=lambda probe: probe.ended_ms):
            if _is_at_version(probe) and probe.expected_version > reached:
                reached, reached_ms = probe.expected_version, probe.ended_ms
            is_later = probe.sent_ms > reached_ms + ROLLBACK_SLACK_MS
            if probe.status == 404 and probe.expected_version <= reached and is_later:
                detail = f"instance {instance} went back behind version {reached}"
                yield Violation("rollback", detail, probe.sent_ms)


def check_budget(seen: Observations) -> Iterator[Violation]:
    """Check arrivals beyond the first of each request, in every window and at every service."""
    window_ms = EXTRA_WINDOW_S * 1000
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        arrivals[arrival.service].append(arrival)
    for service, at_service in arrivals.items():
        met: set[str] = set()
        firsts: list[float] = []
        extras: list[float] = []
        for arrival in sorted(at_service, key=lambda arrival: arrival.at_ms):
            (extras if arrival.request_id in met else firsts).append(arrival.at_ms)
            met.add(arrival.request_id)
        for end_ms in extras:
            extra = _count(extras, end_ms - window_ms, end_ms)
            ends_ms = (end_ms, end_ms - window_ms, end_ms - window_ms / 2)
            requests = max(_count(firsts, end - window_ms, end) for end in ends_ms)
            if extra > EXTRA_RATIO * requests + EXTRA_FIXED:
                detail = f"{extra} more arrivals at {service} for {requests} requests"
                yield Violation("budget", detail, end_ms)
                break


def _count(times_ms: list[float], from_ms: float, to_ms: float) -> int:
    return bisect.bisect_right(times_ms, to_ms) - bisect.bisect_left(times_ms, from_ms)


def check_connections(seen: Observations) -> Iterator[Violation]:
    """Check the connections that all instances together held to an endpoint."""
    for endpoint_id, most in seen.most_connections.items():
        if most > MAX_CONNECTIONS:
            yield Violation("connections", f"{most} to {endpoint_id}", 0.0)


def check_time(seen: Observations) -> Iterator[Violation]:
    """Check that callers of calm instances are answered within the time that they have."""
    for attempt in seen.attempts:
        took_ms = attempt.ended_ms - attempt.sent_ms
        if took_ms <= CALLER_WAIT_MS + CALLER_SLACK_MS or attempt.has_left:
            continue
        if is_in_touch(seen, attempt.instance, attempt.sent_ms, attempt.ended_ms):
            detail = f"{attempt.request_id} took {took_ms:.0f} ms"
            yield Violation("time", detail, attempt.sent_ms)


def check_recovery(seen: Observations, end_ms: float) -> Iterator[Violation]:
    """Check that requests are served again after everything was killed, and at the end."""
    moments = [*seen.killed_all_ms, end_ms - 2 * RECOVERY_MS]
    for moment_ms in moments:
        span = (moment_ms + RECOVERY_MS, end_ms)
        later = [
            attempt
            for attempt in seen.attempts
            if span[0] < attempt.sent_ms < span[1] and attempt.kind is not RequestKind.PROBE
        ]
        served = sum(1 for attempt in later if attempt.status == 200)
        if later and served < RECOVERED_SHARE * len(later):
            detail = f"{served} of {len(later)} were served"
            yield Violation("recovery", detail, moment_ms)


def check_always(seen: Observations) -> list[Violation]:
    """Return the broken promises that do not depend on how fast the machine is."""
    return [
        *check_answers(seen),
        *check_runs(seen),
        *check_budget(seen),
        *check_connections(seen),
    ]


def check_in_time(seen: Observations, end_ms: float) -> list[Violation]:
    """Return the broken promises that name a time."""
    return [
        *check_leaving(seen),
        *check_stops(seen),
        *check_configuration(seen),
        *check_time(seen),
        *check_recovery(seen, end_ms),
    ]
