"""Checks of the system's guarantees against what callers and endpoints observed."""

import bisect
import hashlib
import signal
from collections import Counter, defaultdict
from collections.abc import Iterator

from .const import (
    CALLER_SLACK_MS,
    CALLER_TIMEOUT_MS,
    CLOSE_RACE_MS,
    CONFIGURATION_APPLY_MS,
    DEADLY_ENDS_MAX,
    DEADLY_REACTION_MS,
    ENDPOINT_DRAIN_MS,
    EXTRA_FIXED,
    EXTRA_RATIO,
    EXTRA_WINDOW_S,
    MAX_ATTEMPTS,
    MAX_CONNECTIONS,
    MIN_COVERAGE,
    MIN_RECOVERED_SHARE,
    PAUSE_ARRIVALS_MAX,
    PAUSE_REACTION_MS,
    RATE_LIMIT_FACTOR,
    RATE_LIMIT_FIXED,
    RATE_LIMIT_REACTION_MS,
    RATE_LIMIT_WINDOW_MS,
    RECOVERY_MS,
    ROLLBACK_SLACK_MS,
    STABILIZATION_MS,
    TOP_K,
)
from .models import Arrival, Attempt, Observations, RateLimit, RequestKind, Violation

RECORD_BYTES = 16
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def make_records(service: str, request_id: str) -> bytes:
    """Return the unsorted records with which every endpoint of a service answers a request."""
    seed = f"{service} {request_id}".encode()
    return b"".join(hashlib.sha256(seed + bytes([number])).digest()[:16] for number in range(3))


def _part_stamps(attempt: Attempt) -> list[str]:
    text = attempt.headers.get("part-stamps", "")
    return [stamp.strip() for stamp in text.split(",") if stamp.strip()]


def merge_records(services: list[str], request_id: str) -> bytes:
    """Return the `TOP_K` greatest records of the given services, in descending order."""
    records = []
    for service in services:
        data = make_records(service, request_id)
        records += [data[at : at + RECORD_BYTES] for at in range(0, len(data), RECORD_BYTES)]
    return b"".join(sorted(records, reverse=True)[:TOP_K])


def is_undisturbed(observations: Observations, instance: int, from_ms: float, to_ms: float) -> bool:
    """Return whether no disturbance affected an instance during or shortly before a period."""
    return not any(
        disturbance.instance in (instance, -1)
        and disturbance.from_ms < to_ms
        and disturbance.to_ms + STABILIZATION_MS > from_ms
        for disturbance in observations.disturbances
    )


def check_answers(observations: Observations) -> Iterator[Violation]:
    """Check that each successful answer is complete, belongs to its request and uses one shard set.

    A fan-out may lack parts if it reports them as missing and reaches the minimum coverage.
    """
    arrivals_by_stamp = {
        arrival.stamp: arrival for arrival in observations.arrivals if arrival.stamp
    }
    for attempt in observations.attempts:
        if attempt.status != 200:
            continue
        if attempt.kind is RequestKind.SEARCH:
            problem = _fan_out_problem(observations, attempt, arrivals_by_stamp)
        else:
            problem = _plain_problem(attempt, arrivals_by_stamp)
        if problem:
            yield Violation("answer", f"{attempt.request_id}: {problem}", attempt.ended_ms)


def _plain_problem(attempt: Attempt, arrivals_by_stamp: dict[str, Arrival]) -> str:
    arrival = arrivals_by_stamp.get(attempt.headers.get("server-stamp", ""))
    if arrival is None or arrival.request_id != attempt.request_id:
        return "no stamp of a run of this request"
    if attempt.body != make_records(arrival.service, attempt.request_id):
        return "the body differs from the endpoint's reply"
    return ""


def _fan_out_problem(
    observations: Observations, attempt: Attempt, arrivals_by_stamp: dict[str, Arrival]
) -> str:
    services = []
    for stamp in _part_stamps(attempt):
        arrival = arrivals_by_stamp.get(stamp)
        if arrival is None or arrival.request_id != attempt.request_id:
            return f"stamp {stamp} is not of a run of this request"
        services.append(arrival.service)
    if len(set(services)) < len(services):
        return "two parts of one shard"
    sets = [
        version.shards
        for version in observations.versions
        if set(services) <= set(version.shards) and version.confirmed_ms <= attempt.ended_ms
    ]
    if not sets:
        return "the parts belong to no single set of shards"
    missing = int(attempt.headers.get("missing-parts", "0"))
    if not any(len(services) + missing == len(shards) for shards in sets):
        return f"{len(services)} parts and {missing} missing parts match no set of shards"
    if len(services) < MIN_COVERAGE * (len(services) + missing):
        return f"only {len(services)} parts, below the minimum coverage"
    if attempt.body != merge_records(services, attempt.request_id):
        return "the records are not the greatest ones of the parts"
    return ""


def check_runs(observations: Observations) -> Iterator[Violation]:
    """Check executions of requests at endpoints.

    No request may run without a proper request of a caller, more than once if it is not repeatable,
    more often than `MAX_ATTEMPTS` at a service, or despite an answer that it has not run.
    """
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    runs: Counter[tuple[str, str]] = Counter()
    for arrival in observations.arrivals:
        if arrival.request_id in observations.malformed_ids or arrival.request_id not in attempts:
            detail = f"{arrival.request_id} at {arrival.endpoint_id}"
            yield Violation("unasked", detail, arrival.at_ms)
        elif arrival.stamp:
            runs[arrival.request_id, arrival.service] += 1
    for (request_id, service), count in runs.items():
        attempt = attempts[request_id]
        if attempt.kind is RequestKind.BOOK and count > 1:
            yield Violation("twice", f"{request_id} ran {count} times", attempt.sent_ms)
        if count > MAX_ATTEMPTS:
            detail = f"{request_id} ran {count} times at {service}"
            yield Violation("attempts", detail, attempt.sent_ms)
        if attempt.kind is RequestKind.BOOK and attempt.status in NOT_RUN_STATUSES:
            detail = f"{request_id} was answered {attempt.status} and ran"
            yield Violation("refused", detail, attempt.ended_ms)


def check_draining(observations: Observations) -> Iterator[Violation]:
    """Check that a draining endpoint gets no new requests after `ENDPOINT_DRAIN_MS`."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    draining_endpoints = {
        each.endpoint_id: each.confirmed_ms for each in observations.draining_endpoints
    }
    for arrival in observations.arrivals:
        confirmed_ms = draining_endpoints.get(arrival.endpoint_id)
        attempt = attempts.get(arrival.request_id)
        if (
            confirmed_ms is None
            or attempt is None
            or arrival.at_ms < confirmed_ms + ENDPOINT_DRAIN_MS
        ):
            continue
        if is_undisturbed(observations, attempt.instance, confirmed_ms, arrival.at_ms):
            detail = f"{arrival.request_id} at {arrival.endpoint_id}"
            yield Violation("leaving", detail, arrival.at_ms)


def check_leaving(observations: Observations) -> Iterator[Violation]:
    """Check that an endpoint that says it leaves gets nothing new from instances that were told."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    told_ms: dict[tuple[str, int], float] = {}
    for notice in observations.leaving_notices:
        attempt = attempts.get(notice.request_id)
        if attempt is not None:
            told_ms.setdefault((notice.endpoint_id, attempt.instance), notice.at_ms)
    for arrival in observations.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is None:
            continue
        from_ms = told_ms.get((arrival.endpoint_id, attempt.instance))
        if from_ms is None or arrival.at_ms < from_ms + ENDPOINT_DRAIN_MS:
            continue
        if is_undisturbed(observations, attempt.instance, from_ms, arrival.at_ms):
            detail = f"{arrival.request_id} at {arrival.endpoint_id}, which said that it leaves"
            yield Violation("leaving", detail, arrival.at_ms)


def check_pauses(observations: Observations) -> Iterator[Violation]:
    """Check that instances keep to the pauses that endpoints ask them for."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    arrivals_ms: dict[tuple[str, int], list[float]] = defaultdict(list)
    for arrival in observations.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is not None:
            arrivals_ms[arrival.endpoint_id, attempt.instance].append(arrival.at_ms)
    for notice in observations.pause_notices:
        attempt = attempts.get(notice.request_id)
        if attempt is None:
            continue
        from_ms, to_ms = notice.at_ms + PAUSE_REACTION_MS, notice.at_ms + notice.pause_ms
        key = (notice.endpoint_id, attempt.instance)
        late_ms = [at_ms for at_ms in arrivals_ms[key] if from_ms < at_ms < to_ms]
        if len(late_ms) <= PAUSE_ARRIVALS_MAX:
            continue
        if is_undisturbed(observations, attempt.instance, notice.at_ms, max(late_ms)):
            detail = f"{len(late_ms)} arrivals at {notice.endpoint_id} in its pause"
            yield Violation("pause", detail, late_ms[0])


def check_deadly_requests(observations: Observations) -> Iterator[Violation]:
    """Check that a request under which endpoints have ended is not sent on."""
    ends_ms: dict[str, list[float]] = defaultdict(list)
    for end in observations.deadly_ends:
        ends_ms[end.request_id].append(end.at_ms)
    for arrival in observations.arrivals:
        ended_ms = sorted(ends_ms.get(arrival.request_id, ()))
        if len(ended_ms) < DEADLY_ENDS_MAX:
            continue
        if arrival.at_ms > ended_ms[DEADLY_ENDS_MAX - 1] + DEADLY_REACTION_MS:
            detail = f"{arrival.request_id} at {arrival.endpoint_id} after {len(ended_ms)} ends"
            yield Violation("deadly", detail, arrival.at_ms)


def check_planned_stops(observations: Observations) -> Iterator[Violation]:
    """Check that a planned stop of an instance interrupts no request."""
    forwarded_ids = {arrival.request_id for arrival in observations.arrivals}
    stops = [disturbance for disturbance in observations.disturbances if disturbance.is_planned]
    for stop in stops:
        others = [
            disturbance
            for disturbance in observations.disturbances
            if disturbance is not stop
            and disturbance.instance in (stop.instance, -1)
            and disturbance.from_ms < stop.to_ms
            and disturbance.to_ms + STABILIZATION_MS > stop.from_ms
        ]
        if others:
            continue
        for attempt in observations.attempts:
            if attempt.instance != stop.instance or attempt.status or attempt.has_disconnected:
                continue
            # A request sent while the instance closes the idle connection was never accepted.
            was_accepted = attempt.ended_ms - attempt.sent_ms > CLOSE_RACE_MS
            was_accepted = was_accepted or attempt.request_id in forwarded_ids
            if was_accepted and stop.from_ms < attempt.ended_ms < stop.to_ms:
                yield Violation("stop", f"{attempt.request_id} was interrupted", attempt.ended_ms)


def _has_version(attempt: Attempt) -> bool:
    """Return whether the status of a probe shows that its version is in force."""
    return attempt.status not in (0, 404)


def check_configuration(observations: Observations) -> Iterator[Violation]:
    """Check that each version is applied in time and that no process reverts to an older one."""
    confirmed = {version.version: version.confirmed_ms for version in observations.versions}
    probes = [attempt for attempt in observations.attempts if attempt.kind is RequestKind.PROBE]
    probes_by_process: dict[tuple[int, float], list[Attempt]] = defaultdict(list)
    process_starts_ms: dict[int, list[float]] = defaultdict(list)
    for lifetime in sorted(observations.lifetimes, key=lambda lifetime: lifetime.from_ms):
        process_starts_ms[lifetime.instance].append(lifetime.from_ms)
    for probe in probes:
        apply_deadline_ms = confirmed[probe.expected_version] + CONFIGURATION_APPLY_MS
        if probe.status == 404 and probe.sent_ms > apply_deadline_ms:
            from_ms = confirmed[probe.expected_version]
            if is_undisturbed(observations, probe.instance, from_ms, probe.ended_ms):
                detail = f"instance {probe.instance} lacks version {probe.expected_version}"
                yield Violation("configuration", detail, probe.sent_ms)
        index = bisect.bisect(process_starts_ms[probe.instance], probe.sent_ms) - 1
        if index >= 0:
            probes_by_process[probe.instance, process_starts_ms[probe.instance][index]].append(
                probe
            )
    for (instance, _), process_probes in probes_by_process.items():
        applied_version, applied_ms = 0, 0.0
        for probe in sorted(process_probes, key=lambda probe: probe.ended_ms):
            if _has_version(probe) and probe.expected_version > applied_version:
                applied_version, applied_ms = probe.expected_version, probe.ended_ms
            is_later = probe.sent_ms > applied_ms + ROLLBACK_SLACK_MS
            if probe.status == 404 and probe.expected_version <= applied_version and is_later:
                detail = f"instance {instance} reverted from version {applied_version}"
                yield Violation("rollback", detail, probe.sent_ms)


def check_process_ends(observations: Observations) -> Iterator[Violation]:
    """Check that no process ends by itself, and that a planned stop ends with status 0.

    A stop before the process has started its own signal handling ends it by the signal itself.
    """
    for lifetime in observations.lifetimes:
        signals, status = lifetime.sent_signals, lifetime.exit_status
        is_stopped = signal.SIGTERM in signals and status in (0, -signal.SIGTERM)
        is_killed = signal.SIGKILL in signals and status == -signal.SIGKILL
        if not is_stopped and not is_killed:
            sent = ", ".join(sorted(signal.Signals(number).name for number in signals))
            detail = f"instance {lifetime.instance} ended with status {status} (sent: {sent})"
            yield Violation("process_end", detail, lifetime.to_ms)


def check_budget(observations: Observations) -> Iterator[Violation]:
    """Check that repeated requests stay within the budget, per service and time window.

    An extra arrival is any but the first of a request at a service.
    """
    window_ms = EXTRA_WINDOW_S * 1000
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in observations.arrivals:
        arrivals[arrival.service].append(arrival)
    for service, service_arrivals in arrivals.items():
        arrived_ids: set[str] = set()
        first_arrivals_ms: list[float] = []
        extra_arrivals_ms: list[float] = []
        for arrival in sorted(service_arrivals, key=lambda arrival: arrival.at_ms):
            (extra_arrivals_ms if arrival.request_id in arrived_ids else first_arrivals_ms).append(
                arrival.at_ms
            )
            arrived_ids.add(arrival.request_id)
        for end_ms in extra_arrivals_ms:
            extra_count = _count_between(extra_arrivals_ms, end_ms - window_ms, end_ms)
            ends_ms = (end_ms, end_ms - window_ms, end_ms - window_ms / 2)
            request_count = max(
                _count_between(first_arrivals_ms, end - window_ms, end) for end in ends_ms
            )
            if extra_count > EXTRA_RATIO * request_count + EXTRA_FIXED:
                detail = f"{extra_count} extra arrivals at {service} for {request_count} requests"
                yield Violation("budget", detail, end_ms)
                break


def _count_between(times_ms: list[float], from_ms: float, to_ms: float) -> int:
    return bisect.bisect_right(times_ms, to_ms) - bisect.bisect_left(times_ms, from_ms)


def check_rate_limits(observations: Observations) -> Iterator[Violation]:
    """Check that instances that were told the rate limit of an endpoint keep to it in sum."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    for limit in observations.rate_limits:
        told_ms = _told_times_ms(observations, limit, attempts)
        if not told_ms:
            continue
        named_ms = min(told_ms.values())
        arrivals_ms = sorted(
            arrival.at_ms
            for arrival in observations.arrivals
            if arrival.endpoint_id == limit.endpoint_id
            and arrival.request_id in attempts
            and limit.from_ms <= arrival.at_ms <= limit.to_ms
            and _has_to_keep_limit(observations, attempts[arrival.request_id], arrival, told_ms)
        )
        allowed = RATE_LIMIT_FACTOR * limit.per_s * RATE_LIMIT_WINDOW_MS / 1000 + RATE_LIMIT_FIXED
        for end_ms in arrivals_ms:
            count = _count_between(arrivals_ms, end_ms - RATE_LIMIT_WINDOW_MS, end_ms)
            if end_ms >= named_ms + RATE_LIMIT_WINDOW_MS and count > allowed:
                detail = f"{count} arrivals at {limit.endpoint_id}, which takes {limit.per_s}/s"
                yield Violation("rate_limit", detail, end_ms)
                break


def _told_times_ms(
    observations: Observations, limit: RateLimit, attempts: dict[str, Attempt]
) -> dict[int, float]:
    """Return the time at which each instance was first told a rate limit."""
    told_ms: dict[int, float] = {}
    for notice in observations.limit_notices:
        is_of_limit = notice.endpoint_id == limit.endpoint_id
        if is_of_limit and limit.from_ms <= notice.at_ms <= limit.to_ms:
            attempt = attempts.get(notice.request_id)
            if attempt is not None:
                told_ms.setdefault(attempt.instance, notice.at_ms)
    return told_ms


def _has_to_keep_limit(
    observations: Observations, attempt: Attempt, arrival: Arrival, told_ms: dict[int, float]
) -> bool:
    instance_told_ms = told_ms.get(attempt.instance)
    if instance_told_ms is None or arrival.at_ms < instance_told_ms + RATE_LIMIT_REACTION_MS:
        return False
    return is_undisturbed(observations, attempt.instance, instance_told_ms, arrival.at_ms)


def check_connections(observations: Observations) -> Iterator[Violation]:
    """Check that all instances together stay within the connection limit of each endpoint."""
    for endpoint_id, peak in observations.peak_connections.items():
        if peak > MAX_CONNECTIONS:
            yield Violation("connections", f"{peak} connections to {endpoint_id}", 0.0)


def check_answer_times(observations: Observations) -> Iterator[Violation]:
    """Check that callers of undisturbed instances get an answer within their timeout."""
    for attempt in observations.attempts:
        took_ms = attempt.ended_ms - attempt.sent_ms
        if took_ms <= CALLER_TIMEOUT_MS + CALLER_SLACK_MS or attempt.has_disconnected:
            continue
        if is_undisturbed(observations, attempt.instance, attempt.sent_ms, attempt.ended_ms):
            detail = f"{attempt.request_id} took {took_ms:.0f} ms"
            yield Violation("time", detail, attempt.sent_ms)


def check_recovery(observations: Observations, end_ms: float) -> Iterator[Violation]:
    """Check that service recovers after all instances were killed, and at the end of the run."""
    starts_ms = [*observations.kill_all_times_ms, end_ms - 2 * RECOVERY_MS]
    for start_ms in starts_ms:
        period = (start_ms + RECOVERY_MS, end_ms)
        later_attempts = [
            attempt
            for attempt in observations.attempts
            if period[0] < attempt.sent_ms < period[1] and attempt.kind is not RequestKind.PROBE
        ]
        served = sum(1 for attempt in later_attempts if attempt.status == 200)
        if later_attempts and served < MIN_RECOVERED_SHARE * len(later_attempts):
            detail = f"{served} of {len(later_attempts)} requests succeeded"
            yield Violation("recovery", detail, start_ms)


def check_untimed(observations: Observations) -> list[Violation]:
    """Return the violations of guarantees that do not depend on the speed of the machine."""
    return [
        *check_answers(observations),
        *check_runs(observations),
        *check_budget(observations),
        *check_connections(observations),
        *check_process_ends(observations),
    ]


def check_timed(observations: Observations, end_ms: float) -> list[Violation]:
    """Return the violations of guarantees that have a time limit."""
    return [
        *check_draining(observations),
        *check_leaving(observations),
        *check_pauses(observations),
        *check_deadly_requests(observations),
        *check_planned_stops(observations),
        *check_configuration(observations),
        *check_rate_limits(observations),
        *check_answer_times(observations),
        *check_recovery(observations, end_ms),
    ]
