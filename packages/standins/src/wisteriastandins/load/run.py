"""Send the requests of a run at their scheduled times and check every answer."""

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import msgspec
from wisteriarock.query.models import QueryAnswer, QueryBody

from wisteriastandins.topology.models import LoadPlan

from .arrivals import generate_arrivals
from .balancer import (
    Balancer,
    base_url,
    create_balancer,
    next_candidates,
    run_health_checks,
    set_ready,
)
from .check import ObservedRequest, check_answer, check_record
from .client import Connections, close_idle_connections, post_json
from .models import (
    Arrival,
    CheckFailure,
    LoadOptions,
    LoadResult,
    PartitionRows,
    ReceivedAnswer,
    SendError,
)
from .record import (
    DRAIN_LIMIT_MS,
    EndpointCounts,
    ExecutionRecord,
    count_executions,
    read_records,
    sum_counters,
)
from .stats import ClassStats, add_answer, add_error, build_class_result
from .tickets import TicketPool, keep_filled, take_ticket

# A request times out this long after its deadline.
_TIMEOUT_GRACE_S = 2.0
_MAX_IN_FLIGHT = 4_000
_LATE_START_THRESHOLD_MS = 5.0
# Timers and a busy machine delay an answer that is sent at the deadline by up to this much.
_LATE_ANSWER_SLACK_MS = 50.0
_MAX_REPORTED_FAILURES = 50
_TICKET_TIMEOUT_S = 5.0

_ANSWER_DECODER = msgspec.json.Decoder(QueryAnswer)


@dataclass
class LoadState:
    """Mutable state of one run."""

    plan: LoadPlan
    options: LoadOptions
    partition_rows: PartitionRows
    balancer: Balancer
    tickets: dict[str, TicketPool]
    stats: dict[str, ClassStats]
    connections: Connections = field(default_factory=Connections)
    observed: dict[str, ObservedRequest] = field(default_factory=dict)
    failures: list[CheckFailure] = field(default_factory=list)
    in_flight: int = 0
    late_starts: int = 0


def create_load_state(
    plan: LoadPlan, options: LoadOptions, partition_rows: PartitionRows
) -> LoadState:
    """Return the initial state of a run."""
    return LoadState(
        plan=plan,
        options=options,
        partition_rows=partition_rows,
        balancer=create_balancer(plan["entries"]),
        tickets={
            c["kind"]: TicketPool(c["credential"]) for c in plan["classes"] if not c["repeatable"]
        },
        stats={c["kind"]: ClassStats(c["kind"]) for c in plan["classes"]},
    )


def _encode_body(arrival: Arrival, ticket: str | None) -> bytes:
    body = QueryBody(
        request_id=arrival.request_id,
        kind=arrival.kind,
        shards=list(arrival.shards),
        deadline_ms=arrival.deadline_ms,
        repeatable=arrival.repeatable,
        params=arrival.params,
    )
    if ticket is not None:
        body["ticket"] = ticket
    return msgspec.json.encode(body)


async def _send(state: LoadState, arrival: Arrival, credential: str) -> ReceivedAnswer | SendError:
    """Send a request to the first instance that accepts the connection."""
    ticket = None
    if not arrival.repeatable:
        ticket = take_ticket(state.tickets[arrival.kind], time.monotonic())
        if ticket is None:
            return SendError.NO_TICKET
    body = _encode_body(arrival, ticket)
    timeout_s = arrival.deadline_ms / 1000 + _TIMEOUT_GRACE_S
    error = SendError.NO_INSTANCE
    for entry in next_candidates(state.balancer):
        response = await post_json(
            state.connections, base_url(entry), "/v1/query", credential, body, timeout_s
        )
        if response is SendError.NO_CONNECTION:
            set_ready(state.balancer, entry["name"], ready=False)
            error = SendError.NO_CONNECTION
            continue
        if isinstance(response, SendError):
            return response
        try:
            return ReceivedAnswer(response[0], _ANSWER_DECODER.decode(response[1]))
        except msgspec.DecodeError:
            return SendError.BAD_ANSWER
    return error


def _record_result(
    state: LoadState, arrival: Arrival, received: ReceivedAnswer | SendError, latency_ms: float
) -> None:
    """Check and count the result of a request; the warm-up is checked but not counted."""
    counted = arrival.scheduled_ms >= state.options.warm_up_s * 1000
    stats = state.stats[arrival.kind]
    if isinstance(received, SendError):
        state.observed[arrival.request_id] = ObservedRequest(arrival.repeatable, None)
        if received is SendError.BAD_ANSWER:
            stats.check_failures += 1
            state.failures.append(
                CheckFailure(arrival.request_id, "format", "not the body of an answer")
            )
        if counted:
            add_error(stats, received)
        return
    answer = received.answer
    state.observed[arrival.request_id] = ObservedRequest(arrival.repeatable, answer["outcome"])
    lots = state.plan["lots_per_shard"]
    failed = check_answer(arrival, received.status, answer, state.partition_rows, lots)
    stats.check_failures += len(failed)
    state.failures += failed
    if counted:
        limit_ms = arrival.deadline_ms + 2 * state.plan["client_delay_ms"] + _LATE_ANSWER_SLACK_MS
        add_answer(stats, answer, len(arrival.shards), latency_ms, limit_ms)


async def _run_request(
    state: LoadState, arrival: Arrival, credential: str, scheduled_s: float
) -> None:
    delay_s = state.plan["client_delay_ms"] / 1000
    state.in_flight += 1
    try:
        await asyncio.sleep(delay_s)
        received = await _send(state, arrival, credential)
        await asyncio.sleep(delay_s)
        latency_ms = (time.monotonic() - scheduled_s) * 1000
        _record_result(state, arrival, received, latency_ms)
    finally:
        state.in_flight -= 1


async def _send_all(state: LoadState, run_id: str) -> None:
    """Start every request at its scheduled time, without waiting for earlier ones."""
    credentials = {c["kind"]: c["credential"] for c in state.plan["classes"]}
    start_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for arrival in generate_arrivals(state.plan, state.options, run_id):
            scheduled_s = start_s + arrival.scheduled_ms / 1000
            if (wait_s := scheduled_s - time.monotonic()) > 0:
                await asyncio.sleep(wait_s)
            elif -wait_s * 1000 > _LATE_START_THRESHOLD_MS:
                state.late_starts += 1
            if state.in_flight >= _MAX_IN_FLIGHT:
                add_error(state.stats[arrival.kind], SendError.TOO_MANY)
                continue
            group.create_task(_run_request(state, arrival, credentials[arrival.kind], scheduled_s))


async def _run_with_background_tasks(state: LoadState, run_id: str) -> None:
    """Send all requests while the health checks and the ticket fetches run."""
    async with AsyncExitStack() as stack:
        stack.push_async_callback(close_idle_connections, state.connections)
        filled = [asyncio.Event() for _ in state.tickets]
        tasks = [asyncio.create_task(run_health_checks(state.balancer))]
        for event, pool in zip(filled, state.tickets.values(), strict=True):
            filling = keep_filled(pool, state.balancer, state.connections, event.set)
            tasks.append(asyncio.create_task(filling))
        try:
            async with asyncio.timeout(_TICKET_TIMEOUT_S):
                await asyncio.gather(*(event.wait() for event in filled))
        except TimeoutError:
            # The result shows it: requests without a ticket are counted as errors.
            pass
        try:
            await _send_all(state, run_id)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _read_available_records(plan: LoadPlan) -> list[ExecutionRecord]:
    """Return the records of the stand-ins that can be read."""
    records = await read_records(plan["endpoint_controls"])
    return [record for record in records if record is not None]


async def run_load(
    plan: LoadPlan, options: LoadOptions, partition_rows: PartitionRows, run_id: str
) -> LoadResult:
    """Load a deployment and check every answer and the record of executions.

    Parameters
    ----------
    plan : LoadPlan
        The run folder's `load.json`.
    options : LoadOptions
        Rate, times and seed.
    partition_rows : PartitionRows
        `wisteriastandins.data.partition_rows`.
    run_id : str
        Prefix of every request id.

    Returns
    -------
    LoadResult
        Figures by class, and the failed checks.
    """
    state = create_load_state(plan, options, partition_rows)
    before = await _read_available_records(plan)
    start_s, cpu_start_s = time.monotonic(), time.process_time()
    await _run_with_background_tasks(state, run_id)
    tool_cpu_pct = 100 * (time.process_time() - cpu_start_s) / (time.monotonic() - start_s)
    records = await _read_available_records(plan)
    complete = len(records) == len(plan["endpoint_controls"])
    state.failures += check_record(count_executions(records), state.observed, complete)
    pairs = zip(sum_counters(before), sum_counters(records), strict=True)
    counts = EndpointCounts(*(after - earlier for earlier, after in pairs))
    if counts.legs_late_after_drain:
        detail = f"{counts.legs_late_after_drain} legs over {DRAIN_LIMIT_MS} ms after a drain began"
        state.failures.append(CheckFailure("", "late_after_drain", detail))
    checks = Counter(failed.check for failed in state.failures)
    reported = [failed._asdict() for failed in state.failures[:_MAX_REPORTED_FAILURES]]
    return LoadResult(
        customer=plan["customer"],
        rate_per_s=options.rate_per_s,
        duration_s=options.duration_s,
        seed=options.seed,
        classes=[build_class_result(stats, options.duration_s) for stats in state.stats.values()],
        late_starts=state.late_starts,
        tool_cpu_pct=tool_cpu_pct,
        record_checked=complete,
        endpoints=counts._asdict(),
        failed_checks=dict(checks),
        failures=reported,
    )
