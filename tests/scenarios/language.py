"""Read scenarios and play them: settings, faults and requests in time."""

from collections.abc import Callable
from functools import cache
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from wisteriarock.membership.models import EndpointState

from tests.scenarios.fakes import FakeEndpoint, World, after, load_snapshot
from tests.wisteriarock.query.fixtures import ZONES, make_kind

HERE = Path(__file__).parent


class Scenario(NamedTuple):
    """A parsed scenario; statements are (name, arguments)."""

    title: str
    seeds: list[int]
    settings: list[tuple[str, list[Any]]]
    faults: list[tuple[float, str, list[Any]]]
    requests: list[tuple[float, float, float, str, int]]
    claims: list[tuple[str, list[Any]]]


def _value(token: Token) -> Any:
    if token.type == "INT":
        return int(token)
    return float(token) if token.type == "NUMBER" else str(token)


def _statement(tree: Tree[Token]) -> tuple[str, list[Any]]:
    return str(tree.data), [_value(child) for child in tree.children if isinstance(child, Token)]


@cache
def _parser() -> Lark:
    return Lark((HERE / "grammar.lark").read_text(encoding="utf-8"), parser="earley")


def read(path: Path) -> Scenario:
    """Parse a scenario file."""
    tree = _parser().parse(path.read_text(encoding="utf-8"))
    found = Scenario(str(tree.children[0]).strip(), [], [], [], [], [])
    for node in tree.children[1:]:
        assert isinstance(node, Tree)
        parts = [_statement(child) for child in node.children if isinstance(child, Tree)]
        if node.data == "given":
            found.settings.extend(part for part in parts if part[0] != "seeds")
            found.seeds.extend(seed for name, seeds in parts if name == "seeds" for seed in seeds)
        elif node.data == "fault":
            found.faults.append((float(str(node.children[0])), *parts[0]))
        elif node.data == "requests":
            found.requests.append(tuple(_value(t) for t in node.children))  # type: ignore[arg-type]
        else:
            found.claims.extend(parts)
    return found


def _endpoints(world: World, number: int, slots: int, zones: int) -> None:
    world.slots, world.zones = slots, zones
    for index in range(number):
        name = f"n{index}"
        world.endpoints[name] = FakeEndpoint(name, ZONES[index % zones], slots)


def _shards(world: World, number: int, replicas: int, snapshot: int) -> None:
    world.shard_count, world.replicas = number, replicas
    for endpoint in world.endpoints.values():
        load_snapshot(world, endpoint, snapshot)


def _early(world: World, name: str, after_ms: float, share: float, within_ms: float) -> None:
    world.kinds[name] = make_kind(
        coverage="early",
        early_after_ms=after_ms,
        early_min_coverage=share / 100,
        deadline_max_ms=within_ms,
    )


def _once(world: World, name: str, within_ms: float) -> None:
    world.kinds[name] = make_kind(idempotent=False, hedge=False, deadline_max_ms=within_ms)


def _set(name: str) -> Callable[..., None]:
    def change(world: World, *values: Any) -> None:
        setattr(world, name, values if len(values) > 1 else values[0])

    return change


def _service_time(world: World, median_ms: float, spread: float) -> None:
    world.service_ms, world.spread = median_ms, spread


def _budget(world: World, per_100: float, burst: float) -> None:
    world.per_100, world.burst = per_100, burst


def _waiting(world: World, name: str, within_ms: float) -> None:
    world.kinds[name] = make_kind(deadline_max_ms=within_ms)


SETTINGS: dict[str, Callable[..., None]] = {
    "endpoints": _endpoints,
    "shards": _shards,
    "service_time": _service_time,
    "budget": _budget,
    "waiting": _waiting,
    "early": _early,
    "once": _once,
}


def _vanishes(world: World, name: str) -> None:
    endpoint = world.endpoints[name]
    endpoint.vanished_at_ms = world.now_ms
    endpoint.running.clear()
    endpoint.queue.clear()


def _goes_silent(world: World, name: str) -> None:
    world.endpoints[name].is_silent = True


def _returns(world: World, name: str) -> None:
    endpoint = world.endpoints[name]
    endpoint.vanished_at_ms = None
    endpoint.is_silent = False
    endpoint.incarnation += 1


def _drains(world: World, name: str) -> None:
    world.endpoints[name].state = EndpointState.DRAINING


def _sheds(world: World, name: str) -> None:
    world.endpoints[name].is_shedding = True


def _slow_endpoint(world: World, name: str, times: float) -> None:
    world.endpoints[name].slower = times


def _split(world: World, shard: str, parts: int, snapshot: int) -> None:
    world.splits[shard] = (parts, snapshot)


def _one_by_one(change: Callable[[World, FakeEndpoint, int], Any]) -> Callable[..., None]:
    def begin(world: World, snapshot: int, every_ms: float) -> None:
        for number, endpoint in enumerate(world.endpoints.values()):
            after(world, number * every_ms, lambda e=endpoint: change(world, e, snapshot))  # type: ignore[misc]

    return begin


def _leave(_: World, endpoint: FakeEndpoint, snapshot: int) -> None:
    endpoint.holdings.pop(snapshot, None)


def _straggle(world: World, share: float, factor: float) -> None:
    world.straggle = (share / 100, factor)


def _replies(world: World, share: float, fault: str) -> None:
    world.reply_faults[fault] = share / 100


FAULTS: dict[str, Callable[..., None]] = {
    "vanishes": _vanishes,
    "goes_silent": _goes_silent,
    "returns": _returns,
    "drains": _drains,
    "sheds": _sheds,
    "slow_endpoint": _slow_endpoint,
    "split": _split,
    "arrives": _one_by_one(load_snapshot),
    "leaves": _one_by_one(_leave),
    "straggle": _straggle,
    "slower": _set("slower"),
    "replies": _replies,
}


def prepare(scenario: Scenario, seed: int, hedge: bool = True) -> World:
    """Return the world of a scenario before its first event."""
    world = World(seed, hedge, rng=Random(seed))
    for name, values in scenario.settings:
        SETTINGS[name](world, *values)
    for at_ms, name, values in scenario.faults:
        after(world, at_ms, lambda n=name, v=values: FAULTS[n](world, *v))  # type: ignore[misc]
    chance = Random(seed)
    names = [f"s{number}" for number in range(world.shard_count)]
    for every_ms, from_ms, to_ms, name, number in scenario.requests:
        steps = int((to_ms - from_ms) / every_ms)
        for step in range(steps):
            at_ms = from_ms + (step + chance.random()) * every_ms
            world.asked.append((at_ms, name, tuple(chance.sample(names, number))))
    return world
