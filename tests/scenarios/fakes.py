"""Fake endpoints on a virtual clock, behind the real query controller.

The holder of an endpoint is the instance of its zone. A leg is queued, runs in a free slot and is
answered, subject to the faults of the scenario. `Simulation.executed_parts` records what ran.
"""

import asyncio
import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle, KindSpec
from wisteriarock.membership.models import EndpointState, Member, Phase
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.query.controller import QueryController, create_query_controller
from wisteriarock.query.models import (
    LegOutcome,
    LegReply,
    LegRequest,
    OnLegReply,
    QueryAnswer,
    QueryRequest,
)
from wisteriarock.settings.const import TUNABLES
from wisteriarock.settings.models import Settings, Tunables

from tests.wisteriarock.query.fixtures import ZONES, make_bundle, make_view, reply_to

SILENT_ENDPOINT_TIMEOUT_MS = 400.0
VIEW_INTERVAL_MS = 500.0
QUEUE_LIMIT = 16
LATE_REPLY_DELAY_MS = 400.0
# By whether the endpoint is in the zone of the instance.
ONE_WAY_DELAY_MS = {True: 0.2, False: 5.0}


@dataclass
class FakeLeg:
    """A leg sent to an endpoint."""

    request: LegRequest
    on_reply: OnLegReply
    is_cancelled: bool = False
    is_running: bool = False


@dataclass
class FakeEndpoint:
    """Actual state of an endpoint; the view published to the controller lags behind it."""

    name: str
    zone: str
    slots: int
    holdings: dict[int, set[tuple[str, int, int]]] = field(default_factory=dict)
    state: EndpointState = EndpointState.READY
    incarnation: int = 1
    vanished_at_ms: float | None = None
    is_silent: bool = False
    slowdown: float = 1.0
    is_shedding: bool = False
    running: list[FakeLeg] = field(default_factory=list)
    queue: deque[FakeLeg] = field(default_factory=deque)


@dataclass
class SentLeg:
    """A leg that the controller sent."""

    at_ms: float
    endpoint: str
    is_extra: bool


@dataclass
class Simulation:
    """State of one run of a scenario with one seed.

    `splits` gives the number of parts of a shard and the first snapshot with them, `stragglers` the
    share of slow legs and their slowdown, `reply_faults` the probability of each reply fault.
    """

    seed: int
    hedge: bool = True
    slots: int = 2
    zones: int = 3
    shard_count: int = 0
    replicas: int = 3
    service_ms: float = 10.0
    spread: float = 0.3
    extra_legs_per_100: float = 5.0
    extra_legs_burst: float = 10.0
    kinds: dict[str, KindSpec] = field(default_factory=dict)
    endpoints: dict[str, FakeEndpoint] = field(default_factory=dict)
    splits: dict[str, tuple[int, int]] = field(default_factory=dict)
    stragglers: tuple[float, float] = (0.0, 1.0)
    slowdown: float = 1.0
    reply_faults: dict[str, float] = field(default_factory=dict)
    now_ms: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    event_numbers: Iterator[int] = field(default_factory=count)
    rng: Random = field(default_factory=Random)
    executed_parts: dict[str, list[tuple[str, int, int]]] = field(default_factory=dict)
    sent_legs: list[SentLeg] = field(default_factory=list)
    planned_requests: list[tuple[float, str, tuple[str, ...]]] = field(default_factory=list)
    answers: list[tuple[QueryRequest, QueryAnswer, float]] = field(default_factory=list)
    last_reply: LegReply | None = None
    board: Blackboard | None = None
    controller: QueryController | None = None


def call_later(
    simulation: Simulation, delay_ms: float, call: Callable[[], None]
) -> Callable[[], None]:
    """Schedule a call after a delay in virtual time and return a function that cancels it."""
    is_cancelled = False

    def cancel() -> None:
        nonlocal is_cancelled
        is_cancelled = True

    def run() -> None:
        if not is_cancelled:
            call()

    heapq.heappush(
        simulation.events, (simulation.now_ms + delay_ms, next(simulation.event_numbers), run)
    )
    return cancel


def count_parts(simulation: Simulation, shard: str, snapshot: int) -> int:
    """Return the number of parts of a shard in a snapshot."""
    parts, since = simulation.splits.get(shard, (1, 0))
    return parts if snapshot >= since else 1


def load_snapshot(simulation: Simulation, endpoint: FakeEndpoint, snapshot: int) -> None:
    """Load the parts of a snapshot that are assigned to an endpoint."""
    names = list(simulation.endpoints)
    held = endpoint.holdings[snapshot] = set()
    for number in range(simulation.shard_count):
        shard = f"s{number}"
        parts = count_parts(simulation, shard, snapshot)
        for part in range(parts):
            first = (number + part) * simulation.replicas
            replica_names = {names[(first + r) % len(names)] for r in range(simulation.replicas)}
            if endpoint.name in replica_names:
                held.add((shard, part, parts))


def publish_view(simulation: Simulation, endpoint: FakeEndpoint) -> None:
    """Publish the holder's view of an endpoint on the blackboard."""
    assert simulation.board is not None
    state = endpoint.state
    if endpoint.vanished_at_ms is not None and simulation.now_ms - endpoint.vanished_at_ms >= 1_000:
        state = EndpointState.GONE
    simulation.board.endpoint_views[endpoint.name] = make_view(
        endpoint.name,
        {snapshot: sorted(held) for snapshot, held in endpoint.holdings.items()},
        holder=f"e-{endpoint.zone}",
        state=state,
        incarnation=str(endpoint.incarnation),
        busy=len(endpoint.running),
        queued=len(endpoint.queue),
    )


def _deliver_reply(simulation: Simulation, leg: FakeLeg, reply: LegReply) -> None:
    """Deliver a reply to the controller, subject to the reply faults."""
    on_reply, faults, rng = leg.on_reply, simulation.reply_faults, simulation.rng
    previous_reply, simulation.last_reply = simulation.last_reply, reply
    if rng.random() < faults.get("doubled", 0):
        call_later(simulation, 3, lambda: on_reply(reply))
    if rng.random() < faults.get("late", 0):
        # Delivered even if the leg is cancelled by then, which the controller must tolerate.
        call_later(simulation, LATE_REPLY_DELAY_MS, lambda: on_reply(reply))
    elif rng.random() < faults.get("crossed", 0) and previous_reply is not None:
        crossed = previous_reply.copy()
        if (previous_reply["shard"], previous_reply["part"]) != (reply["shard"], reply["part"]):
            crossed["leg_id"] = reply["leg_id"]
        on_reply(crossed)
    elif not leg.is_cancelled:
        on_reply(reply)


def _send_reply(
    simulation: Simulation, endpoint: FakeEndpoint, leg: FakeLeg, outcome: LegOutcome
) -> None:
    rows = []
    request = leg.request
    if outcome is LegOutcome.OK:
        names = ("request_id", "shard", "part", "parts", "snapshot")
        rows = [{name: request[name] for name in names}]  # type: ignore[literal-required]
    reply = reply_to(request, outcome, rows=rows)
    delay_ms = ONE_WAY_DELAY_MS[endpoint.zone == ZONES[0]]
    call_later(simulation, delay_ms, lambda: _deliver_reply(simulation, leg, reply))


def _service_ms(simulation: Simulation, endpoint: FakeEndpoint, leg: FakeLeg) -> float:
    """Draw a service time from a generator seeded by the request, the part and its run count.

    Simulations with and without hedging thus draw the same time for the first leg of a part.
    """
    request = leg.request
    part_key = request["shard"], request["part"]
    earlier = sum(
        1
        for executed in simulation.executed_parts[request["request_id"]]
        if executed[:2] == part_key
    )
    rng = Random(f"{simulation.seed}/{request['request_id']}/{part_key}/{earlier}")
    slowdown = simulation.slowdown * endpoint.slowdown
    time_ms = simulation.service_ms * slowdown * rng.lognormvariate(0, simulation.spread)
    share, factor = simulation.stragglers
    return time_ms * factor if rng.random() < share else time_ms


def _start_queued_legs(simulation: Simulation, endpoint: FakeEndpoint) -> None:
    while endpoint.queue and len(endpoint.running) < endpoint.slots:
        leg = endpoint.queue.popleft()
        if leg.is_cancelled:
            continue
        endpoint.running.append(leg)
        leg.is_running = True
        request = leg.request
        executed = simulation.executed_parts.setdefault(request["request_id"], [])
        time_ms = _service_ms(simulation, endpoint, leg)
        executed.append((request["shard"], request["part"], request["snapshot"]))
        call_later(simulation, time_ms, lambda leg=leg: _finish_leg(simulation, endpoint, leg))  # type: ignore[misc]


def _finish_leg(simulation: Simulation, endpoint: FakeEndpoint, leg: FakeLeg) -> None:
    if leg not in endpoint.running:
        return
    endpoint.running.remove(leg)
    if endpoint.is_silent:
        return
    if simulation.rng.random() < simulation.reply_faults.get("lost", 0):
        _send_reply(simulation, endpoint, leg, LegOutcome.LOST)
    else:
        _send_reply(simulation, endpoint, leg, LegOutcome.OK)
    _start_queued_legs(simulation, endpoint)


def _receive_leg(simulation: Simulation, endpoint: FakeEndpoint, leg: FakeLeg) -> None:
    """Queue a leg that reached its endpoint, or refuse it."""
    request = leg.request
    held = endpoint.holdings.get(request["snapshot"], set())
    if leg.is_cancelled:
        return
    if endpoint.vanished_at_ms is not None:
        _send_reply(simulation, endpoint, leg, LegOutcome.REFUSED)
    elif endpoint.state is EndpointState.DRAINING:
        _send_reply(simulation, endpoint, leg, LegOutcome.DRAINING)
    elif endpoint.is_shedding or len(endpoint.queue) >= QUEUE_LIMIT:
        _send_reply(simulation, endpoint, leg, LegOutcome.SHEDDING)
    elif (request["shard"], request["part"], request["parts"]) not in held:
        _send_reply(simulation, endpoint, leg, LegOutcome.SNAPSHOT_GONE)
    else:
        endpoint.queue.append(leg)
        _start_queued_legs(simulation, endpoint)
        if endpoint.is_silent:
            call_later(
                simulation,
                SILENT_ENDPOINT_TIMEOUT_MS,
                lambda: _send_reply(simulation, endpoint, leg, LegOutcome.LOST),
            )


def _send_leg(
    simulation: Simulation, request: LegRequest, on_reply: OnLegReply
) -> Callable[[], None]:
    endpoint = simulation.endpoints[request["endpoint"]]
    leg = FakeLeg(request, on_reply)
    delay_ms = ONE_WAY_DELAY_MS[endpoint.zone == ZONES[0]]
    call_later(simulation, delay_ms, lambda: _receive_leg(simulation, endpoint, leg))

    def cancel() -> None:
        leg.is_cancelled = True
        if leg in endpoint.running:
            endpoint.running.remove(leg)
            _start_queued_legs(simulation, endpoint)

    return cancel


def set_up_controller(simulation: Simulation) -> ActiveBundle:
    """Create the controller and return the bundle in force."""
    tunables = Tunables(**{name: limits.default for name, limits in TUNABLES.items()})
    settings = Settings("e-north", "north", "", 0, "", 0, (), (), "", {}, "", None, None, tunables)
    board = simulation.board = Blackboard(settings, "1")
    for zone in ZONES[1 : simulation.zones]:
        member = Member(f"e-{zone}", "1", zone, "", 0, Phase.READY, float("inf"), 1, "")
        board.members[member.instance] = member
    cancel_by_leg_id: dict[str, Callable[[], None]] = {}
    sent_keys: set[tuple[str, str, int, int]] = set()

    def execute(request: LegRequest, on_reply: OnLegReply) -> Callable[[], None]:
        key = (request["request_id"], request["shard"], request["part"], request["snapshot"])
        simulation.sent_legs.append(
            SentLeg(simulation.now_ms, request["endpoint"], key in sent_keys)
        )
        sent_keys.add(key)
        cancel = cancel_by_leg_id[request["leg_id"]] = _send_leg(simulation, request, on_reply)
        return cancel

    def send(_: str, legs: list[LegRequest], on_reply: OnLegReply) -> Callable[[], None]:
        cancels = [execute(leg, on_reply) for leg in legs]
        return lambda: [cancel() for cancel in cancels] and None

    def cancel_legs(_: str, leg_ids: list[str]) -> None:
        for leg_id in leg_ids:
            cancel_by_leg_id[leg_id]()

    simulation.controller = create_query_controller(
        board,
        create_metrics(),
        send,
        cancel_legs,
        execute,
        lambda name: f"e-{simulation.endpoints[name].zone}",
        lambda: simulation.now_ms,
        Random(simulation.seed),
        lambda delay_ms, call: call_later(simulation, delay_ms, call),
    )
    zones = {endpoint.name: endpoint.zone for endpoint in simulation.endpoints.values()}
    shards = [f"s{number}" for number in range(simulation.shard_count)]
    active = make_bundle(
        zones, shards, per_100=simulation.extra_legs_per_100, burst=simulation.extra_legs_burst
    )
    for name, spec in simulation.kinds.items():
        active.content["kinds"][name] = {**spec, "hedge": spec["hedge"] and simulation.hedge}
    return active


def run_simulation(simulation: Simulation) -> None:
    """Process events until every request has been answered."""
    active = set_up_controller(simulation)
    assert simulation.controller is not None
    run_query = simulation.controller.run_query
    pending: set[asyncio.Task[None]] = set()

    async def run_request(request: QueryRequest) -> None:
        started_ms = simulation.now_ms
        answer = await run_query(request, active)
        simulation.answers.append((request, answer, simulation.now_ms - started_ms))

    def start_query(number: int, kind: str, shards: tuple[str, ...]) -> None:
        spec = simulation.kinds[kind]
        request = QueryRequest(
            f"q{number}",
            "caller",
            kind,
            shards,
            simulation.now_ms + spec["deadline_max_ms"],
            spec["idempotent"],
            {},
        )
        task = asyncio.ensure_future(run_request(request))
        pending.add(task)
        task.add_done_callback(pending.discard)

    def publish_periodically(endpoint: FakeEndpoint) -> None:
        publish_view(simulation, endpoint)
        call_later(simulation, VIEW_INTERVAL_MS, lambda: publish_periodically(endpoint))

    async def process_events() -> None:
        last_ms = max(at_ms for at_ms, _, _ in simulation.planned_requests)
        for number, (at_ms, kind, shards) in enumerate(simulation.planned_requests):
            call_later(simulation, at_ms, lambda n=number, k=kind, s=shards: start_query(n, k, s))  # type: ignore[misc]
        for endpoint in simulation.endpoints.values():
            publish_view(simulation, endpoint)
            first_ms = simulation.rng.uniform(0, VIEW_INTERVAL_MS)
            call_later(simulation, first_ms, lambda e=endpoint: publish_periodically(e))  # type: ignore[misc]
        while simulation.now_ms <= last_ms or pending:
            simulation.now_ms, _, call = heapq.heappop(simulation.events)
            call()
            await asyncio.sleep(0)

    asyncio.run(process_events())
