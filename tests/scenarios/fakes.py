"""Fake endpoints on a virtual clock, behind the real query controller.

The holder of an endpoint is the instance of its zone. A leg waits in a queue, takes a slot, runs
and is answered. Faults change how, and `ran` records what truly happened.
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

SILENCE_MS = 400.0
VIEW_INTERVAL_MS = 500.0
QUEUE_LIMIT = 16
LATE_BY_MS = 400.0
ONE_WAY_MS = {True: 0.2, False: 5.0}


@dataclass
class FakeLeg:
    """A leg on its way; `endpoint` runs it in one of its slots."""

    request: LegRequest
    sink: OnLegReply
    is_cancelled: bool = False
    is_running: bool = False


@dataclass
class FakeEndpoint:
    """An endpoint as it truly is; its view lags."""

    name: str
    zone: str
    slots: int
    holdings: dict[int, set[tuple[str, int, int]]] = field(default_factory=dict)
    state: EndpointState = EndpointState.READY
    incarnation: int = 1
    vanished_at_ms: float | None = None
    is_silent: bool = False
    slower: float = 1.0
    is_shedding: bool = False
    running: list[FakeLeg] = field(default_factory=list)
    queue: deque[FakeLeg] = field(default_factory=deque)


@dataclass
class Sent:
    """A leg that the controller sent."""

    at_ms: float
    endpoint: str
    is_extra: bool


@dataclass
class World:
    """Everything of one play of a scenario with one seed."""

    seed: int
    hedge: bool = True
    slots: int = 2
    zones: int = 3
    shard_count: int = 0
    replicas: int = 3
    service_ms: float = 10.0
    spread: float = 0.3
    per_100: float = 5.0
    burst: float = 10.0
    kinds: dict[str, KindSpec] = field(default_factory=dict)
    endpoints: dict[str, FakeEndpoint] = field(default_factory=dict)
    splits: dict[str, tuple[int, int]] = field(default_factory=dict)
    straggle: tuple[float, float] = (0.0, 1.0)
    slower: float = 1.0
    reply_faults: dict[str, float] = field(default_factory=dict)
    now_ms: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=count)
    rng: Random = field(default_factory=Random)
    ran: dict[str, list[tuple[str, int, int]]] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    asked: list[tuple[float, str, tuple[str, ...]]] = field(default_factory=list)
    answers: list[tuple[QueryRequest, QueryAnswer, float]] = field(default_factory=list)
    last_reply: LegReply | None = None
    board: Blackboard | None = None
    controller: QueryController | None = None


def after(world: World, delay_ms: float, call: Callable[[], None]) -> Callable[[], None]:
    """Call a function at a later virtual time; returns its cancellation."""
    is_cancelled = False

    def cancel() -> None:
        nonlocal is_cancelled
        is_cancelled = True

    def run() -> None:
        if not is_cancelled:
            call()

    heapq.heappush(world.events, (world.now_ms + delay_ms, next(world.numbers), run))
    return cancel


def parts_of(world: World, shard: str, snapshot: int) -> int:
    """Return in how many partitions a shard is in a snapshot."""
    parts, since = world.splits.get(shard, (1, 0))
    return parts if snapshot >= since else 1


def load_snapshot(world: World, endpoint: FakeEndpoint, snapshot: int) -> None:
    """Give an endpoint the partitions of a snapshot that are its own."""
    names = list(world.endpoints)
    held = endpoint.holdings[snapshot] = set()
    for number in range(world.shard_count):
        shard = f"s{number}"
        parts = parts_of(world, shard, snapshot)
        for part in range(parts):
            first = (number + part) * world.replicas
            places = {names[(first + r) % len(names)] for r in range(world.replicas)}
            if endpoint.name in places:
                held.add((shard, part, parts))


def publish(world: World, endpoint: FakeEndpoint) -> None:
    """Put what the holder knows of an endpoint on the blackboard."""
    assert world.board is not None
    state = endpoint.state
    if endpoint.vanished_at_ms is not None and world.now_ms - endpoint.vanished_at_ms >= 1_000:
        state = EndpointState.GONE
    world.board.endpoint_views[endpoint.name] = make_view(
        endpoint.name,
        {snapshot: sorted(held) for snapshot, held in endpoint.holdings.items()},
        holder=f"e-{endpoint.zone}",
        state=state,
        incarnation=str(endpoint.incarnation),
        busy=len(endpoint.running),
        queued=len(endpoint.queue),
    )


def _deliver(world: World, leg: FakeLeg, reply: LegReply) -> None:
    """Hand a reply over, subject to the faults of replies."""
    sink, faults, rng = leg.sink, world.reply_faults, world.rng
    other, world.last_reply = world.last_reply, reply
    if rng.random() < faults.get("doubled", 0):
        after(world, 3, lambda: sink(reply))
    if rng.random() < faults.get("late", 0):
        # Delivered even if the leg is cancelled by then, which the controller must bear.
        after(world, LATE_BY_MS, lambda: sink(reply))
    elif rng.random() < faults.get("crossed", 0) and other is not None:
        crossed = other.copy()
        if (other["shard"], other["part"]) != (reply["shard"], reply["part"]):
            crossed["leg_id"] = reply["leg_id"]
        sink(crossed)
    elif not leg.is_cancelled:
        sink(reply)


def _answer(world: World, endpoint: FakeEndpoint, leg: FakeLeg, outcome: LegOutcome) -> None:
    rows = []
    asked = leg.request
    if outcome is LegOutcome.OK:
        names = ("request_id", "shard", "part", "parts", "snapshot")
        rows = [{name: asked[name] for name in names}]  # type: ignore[literal-required]
    reply = reply_to(asked, outcome, rows=rows)
    delay_ms = ONE_WAY_MS[endpoint.zone == ZONES[0]]
    after(world, delay_ms, lambda: _deliver(world, leg, reply))


def _service_ms(world: World, endpoint: FakeEndpoint, leg: FakeLeg) -> float:
    """Draw a service time that is the same for the first leg of a partition in each play."""
    asked = leg.request
    partition = asked["shard"], asked["part"]
    earlier = sum(1 for ran in world.ran[asked["request_id"]] if ran[:2] == partition)
    rng = Random(f"{world.seed}/{asked['request_id']}/{partition}/{earlier}")
    slower = world.slower * endpoint.slower
    time_ms = world.service_ms * slower * rng.lognormvariate(0, world.spread)
    share, factor = world.straggle
    return time_ms * factor if rng.random() < share else time_ms


def _run_next(world: World, endpoint: FakeEndpoint) -> None:
    while endpoint.queue and len(endpoint.running) < endpoint.slots:
        leg = endpoint.queue.popleft()
        if leg.is_cancelled:
            continue
        endpoint.running.append(leg)
        leg.is_running = True
        asked = leg.request
        ran = world.ran.setdefault(asked["request_id"], [])
        time_ms = _service_ms(world, endpoint, leg)
        ran.append((asked["shard"], asked["part"], asked["snapshot"]))
        after(world, time_ms, lambda leg=leg: _end(world, endpoint, leg))  # type: ignore[misc]


def _end(world: World, endpoint: FakeEndpoint, leg: FakeLeg) -> None:
    if leg not in endpoint.running:
        return
    endpoint.running.remove(leg)
    if endpoint.is_silent:
        return
    if world.rng.random() < world.reply_faults.get("lost", 0):
        _answer(world, endpoint, leg, LegOutcome.LOST)
    else:
        _answer(world, endpoint, leg, LegOutcome.OK)
    _run_next(world, endpoint)


def _arrive(world: World, endpoint: FakeEndpoint, leg: FakeLeg) -> None:
    """Take a leg at its endpoint, or refuse it."""
    asked = leg.request
    held = endpoint.holdings.get(asked["snapshot"], set())
    if leg.is_cancelled:
        return
    if endpoint.vanished_at_ms is not None:
        _answer(world, endpoint, leg, LegOutcome.REFUSED)
    elif endpoint.state is EndpointState.DRAINING:
        _answer(world, endpoint, leg, LegOutcome.DRAINING)
    elif endpoint.is_shedding or len(endpoint.queue) >= QUEUE_LIMIT:
        _answer(world, endpoint, leg, LegOutcome.SHEDDING)
    elif (asked["shard"], asked["part"], asked["parts"]) not in held:
        _answer(world, endpoint, leg, LegOutcome.SNAPSHOT_GONE)
    else:
        endpoint.queue.append(leg)
        _run_next(world, endpoint)
        if endpoint.is_silent:
            after(world, SILENCE_MS, lambda: _answer(world, endpoint, leg, LegOutcome.LOST))


def _execute(world: World, request: LegRequest, sink: OnLegReply) -> Callable[[], None]:
    endpoint = world.endpoints[request["endpoint"]]
    leg = FakeLeg(request, sink)
    delay_ms = ONE_WAY_MS[endpoint.zone == ZONES[0]]
    after(world, delay_ms, lambda: _arrive(world, endpoint, leg))

    def cancel() -> None:
        leg.is_cancelled = True
        if leg in endpoint.running:
            endpoint.running.remove(leg)
            _run_next(world, endpoint)

    return cancel


def build(world: World) -> ActiveBundle:
    """Create the controller and return the bundle in force."""
    tunables = Tunables(**{name: limits.default for name, limits in TUNABLES.items()})
    settings = Settings("e-north", "north", "", 0, "", 0, (), (), "", {}, "", None, None, tunables)
    board = world.board = Blackboard(settings, "1")
    for zone in ZONES[1 : world.zones]:
        member = Member(f"e-{zone}", "1", zone, "", 0, Phase.READY, float("inf"), 1, "")
        board.members[member.instance] = member
    open_legs: dict[str, Callable[[], None]] = {}
    seen: set[tuple[str, str, int, int]] = set()

    def execute(request: LegRequest, sink: OnLegReply) -> Callable[[], None]:
        key = (request["request_id"], request["shard"], request["part"], request["snapshot"])
        world.sent.append(Sent(world.now_ms, request["endpoint"], key in seen))
        seen.add(key)
        cancel = open_legs[request["leg_id"]] = _execute(world, request, sink)
        return cancel

    def send(_: str, legs: list[LegRequest], sink: OnLegReply) -> Callable[[], None]:
        cancels = [execute(leg, sink) for leg in legs]
        return lambda: [cancel() for cancel in cancels] and None

    def cancel_legs(_: str, leg_ids: list[str]) -> None:
        for leg_id in leg_ids:
            open_legs[leg_id]()

    world.controller = create_query_controller(
        board,
        create_metrics(),
        send,
        cancel_legs,
        execute,
        lambda name: f"e-{world.endpoints[name].zone}",
        lambda: world.now_ms,
        Random(world.seed),
        lambda delay_ms, call: after(world, delay_ms, call),
    )
    zones = {endpoint.name: endpoint.zone for endpoint in world.endpoints.values()}
    shards = [f"s{number}" for number in range(world.shard_count)]
    active = make_bundle(zones, shards, per_100=world.per_100, burst=world.burst)
    for name, spec in world.kinds.items():
        active.content["kinds"][name] = {**spec, "hedge": spec["hedge"] and world.hedge}
    return active


def play(world: World) -> None:
    """Run the events until every request has its answer."""
    active = build(world)
    assert world.controller is not None
    run_query = world.controller.run_query
    waiting: set[asyncio.Task[None]] = set()

    async def ask(request: QueryRequest) -> None:
        begun_ms = world.now_ms
        answer = await run_query(request, active)
        world.answers.append((request, answer, world.now_ms - begun_ms))

    def begin(number: int, kind: str, shards: tuple[str, ...]) -> None:
        spec = world.kinds[kind]
        request = QueryRequest(
            f"q{number}",
            "caller",
            kind,
            shards,
            world.now_ms + spec["deadline_max_ms"],
            spec["idempotent"],
            {},
        )
        task = asyncio.ensure_future(ask(request))
        waiting.add(task)
        task.add_done_callback(waiting.discard)

    def publish_again(endpoint: FakeEndpoint) -> None:
        publish(world, endpoint)
        after(world, VIEW_INTERVAL_MS, lambda: publish_again(endpoint))

    async def pump() -> None:
        last_ms = max(at_ms for at_ms, _, _ in world.asked)
        for number, (at_ms, kind, shards) in enumerate(world.asked):
            after(world, at_ms, lambda n=number, k=kind, s=shards: begin(n, k, s))  # type: ignore[misc]
        for endpoint in world.endpoints.values():
            publish(world, endpoint)
            first_ms = world.rng.uniform(0, VIEW_INTERVAL_MS)
            after(world, first_ms, lambda e=endpoint: publish_again(e))  # type: ignore[misc]
        while world.now_ms <= last_ms or waiting:
            world.now_ms, _, call = heapq.heappop(world.events)
            call()
            await asyncio.sleep(0)

    asyncio.run(pump())
