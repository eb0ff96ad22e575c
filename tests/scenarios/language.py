"""Parser of scenario files, which sets up a simulation with settings, faults and requests."""

from collections.abc import Callable
from functools import cache
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from wisteriarock.membership.models import EndpointState

from tests.scenarios.fakes import FakeEndpoint, Simulation, call_later, load_snapshot
from tests.wisteriarock.query.fixtures import ZONES, make_kind

SCENARIOS_FOLDER = Path(__file__).parent


class Scenario(NamedTuple):
    """A parsed scenario; each statement is a name with its arguments."""

    title: str
    seeds: list[int]
    settings: list[tuple[str, list[Any]]]
    faults: list[tuple[float, str, list[Any]]]
    requests: list[tuple[float, float, float, str, int]]
    claims: list[tuple[str, list[Any]]]


def _parse_value(token: Token) -> Any:
    if token.type == "INT":
        return int(token)
    return float(token) if token.type == "NUMBER" else str(token)


def _parse_statement(tree: Tree[Token]) -> tuple[str, list[Any]]:
    return str(tree.data), [
        _parse_value(child) for child in tree.children if isinstance(child, Token)
    ]


@cache
def _parser() -> Lark:
    return Lark((SCENARIOS_FOLDER / "grammar.lark").read_text(encoding="utf-8"), parser="earley")


def read_scenario(path: Path) -> Scenario:
    """Parse a scenario file."""
    tree = _parser().parse(path.read_text(encoding="utf-8"))
    scenario = Scenario(str(tree.children[0]).strip(), [], [], [], [], [])
    for node in tree.children[1:]:
        assert isinstance(node, Tree)
        statements = [_parse_statement(child) for child in node.children if isinstance(child, Tree)]
        if node.data == "given":
            scenario.settings.extend(
                statement for statement in statements if statement[0] != "seeds"
            )
            scenario.seeds.extend(
                seed for name, seeds in statements if name == "seeds" for seed in seeds
            )
        elif node.data == "fault":
            scenario.faults.append((float(str(node.children[0])), *statements[0]))
        elif node.data == "requests":
            scenario.requests.append(tuple(_parse_value(t) for t in node.children))  # type: ignore[arg-type]
        else:
            scenario.claims.extend(statements)
    return scenario


def _endpoints(simulation: Simulation, number: int, slots: int, zones: int) -> None:
    simulation.slots, simulation.zones = slots, zones
    for index in range(number):
        name = f"n{index}"
        simulation.endpoints[name] = FakeEndpoint(name, ZONES[index % zones], slots)


def _shards(simulation: Simulation, number: int, replicas: int, snapshot: int) -> None:
    simulation.shard_count, simulation.replicas = number, replicas
    for endpoint in simulation.endpoints.values():
        load_snapshot(simulation, endpoint, snapshot)


def _early(
    simulation: Simulation, name: str, after_ms: float, share: float, within_ms: float
) -> None:
    simulation.kinds[name] = make_kind(
        coverage="early",
        early_after_ms=after_ms,
        early_min_coverage=share / 100,
        deadline_max_ms=within_ms,
    )


def _once(simulation: Simulation, name: str, within_ms: float) -> None:
    simulation.kinds[name] = make_kind(idempotent=False, hedge=False, deadline_max_ms=within_ms)


def _set_field(name: str) -> Callable[..., None]:
    def change(simulation: Simulation, *values: Any) -> None:
        setattr(simulation, name, values if len(values) > 1 else values[0])

    return change


def _service_time(simulation: Simulation, median_ms: float, spread: float) -> None:
    simulation.service_ms, simulation.spread = median_ms, spread


def _budget(simulation: Simulation, per_100: float, burst: float) -> None:
    simulation.extra_legs_per_100, simulation.extra_legs_burst = per_100, burst


def _waiting(simulation: Simulation, name: str, within_ms: float) -> None:
    simulation.kinds[name] = make_kind(deadline_max_ms=within_ms)


SETTINGS: dict[str, Callable[..., None]] = {
    "endpoints": _endpoints,
    "shards": _shards,
    "service_time": _service_time,
    "budget": _budget,
    "waiting": _waiting,
    "early": _early,
    "once": _once,
}


def _vanishes(simulation: Simulation, name: str) -> None:
    endpoint = simulation.endpoints[name]
    endpoint.vanished_at_ms = simulation.now_ms
    endpoint.running.clear()
    endpoint.queue.clear()


def _goes_silent(simulation: Simulation, name: str) -> None:
    simulation.endpoints[name].is_silent = True


def _returns(simulation: Simulation, name: str) -> None:
    endpoint = simulation.endpoints[name]
    endpoint.vanished_at_ms = None
    endpoint.is_silent = False
    endpoint.incarnation += 1


def _drains(simulation: Simulation, name: str) -> None:
    simulation.endpoints[name].state = EndpointState.DRAINING


def _sheds(simulation: Simulation, name: str) -> None:
    simulation.endpoints[name].is_shedding = True


def _slow_endpoint(simulation: Simulation, name: str, factor: float) -> None:
    simulation.endpoints[name].slowdown = factor


def _split(simulation: Simulation, shard: str, parts: int, snapshot: int) -> None:
    simulation.splits[shard] = (parts, snapshot)


def _staggered(change: Callable[[Simulation, FakeEndpoint, int], Any]) -> Callable[..., None]:
    def schedule(simulation: Simulation, snapshot: int, every_ms: float) -> None:
        for number, endpoint in enumerate(simulation.endpoints.values()):
            call_later(
                simulation,
                number * every_ms,
                lambda e=endpoint: change(simulation, e, snapshot),  # type: ignore[misc]
            )

    return schedule


def _unload_snapshot(_: Simulation, endpoint: FakeEndpoint, snapshot: int) -> None:
    endpoint.holdings.pop(snapshot, None)


def _straggle(simulation: Simulation, share: float, factor: float) -> None:
    simulation.stragglers = (share / 100, factor)


def _replies(simulation: Simulation, share: float, fault: str) -> None:
    simulation.reply_faults[fault] = share / 100


FAULTS: dict[str, Callable[..., None]] = {
    "vanishes": _vanishes,
    "goes_silent": _goes_silent,
    "returns": _returns,
    "drains": _drains,
    "sheds": _sheds,
    "slow_endpoint": _slow_endpoint,
    "split": _split,
    "arrives": _staggered(load_snapshot),
    "leaves": _staggered(_unload_snapshot),
    "straggle": _straggle,
    "slower": _set_field("slowdown"),
    "replies": _replies,
}


def create_simulation(scenario: Scenario, seed: int, hedge: bool = True) -> Simulation:
    """Return the simulation of a scenario in its initial state, with all events scheduled."""
    simulation = Simulation(seed, hedge, rng=Random(seed))
    for name, values in scenario.settings:
        SETTINGS[name](simulation, *values)
    for at_ms, name, values in scenario.faults:
        call_later(simulation, at_ms, lambda n=name, v=values: FAULTS[n](simulation, *v))  # type: ignore[misc]
    rng = Random(seed)
    shards = [f"s{number}" for number in range(simulation.shard_count)]
    for every_ms, from_ms, to_ms, kind, shard_count in scenario.requests:
        steps = int((to_ms - from_ms) / every_ms)
        for step in range(steps):
            at_ms = from_ms + (step + rng.random()) * every_ms
            simulation.planned_requests.append(
                (at_ms, kind, tuple(rng.sample(shards, shard_count)))
            )
    return simulation
