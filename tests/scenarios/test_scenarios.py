"""Play every scenario file with each of its seeds."""

from collections.abc import Callable
from pathlib import Path

from tests.common import function_suite
from tests.scenarios.checks import check
from tests.scenarios.fakes import World, play
from tests.scenarios.language import Scenario, prepare, read

HERE = Path(__file__).parent


def _play(scenario: Scenario, seed: int, hedge: bool) -> World:
    world = prepare(scenario, seed, hedge)
    play(world)
    return world


def _test_of(path: Path) -> Callable[[], None]:
    def run() -> None:
        scenario = read(path)
        for seed in scenario.seeds:
            world = _play(scenario, seed, hedge=True)
            compared = any(name == "p99" for name, _ in scenario.claims)
            without = _play(scenario, seed, hedge=False) if compared else None
            for name, values in scenario.claims:
                try:
                    check(name, values, world, without)
                except AssertionError as error:
                    raise AssertionError(f"seed {seed}, {name} {values}: {error}") from error

    run.__name__ = f"test_{path.stem}"
    run.__module__ = __name__
    return run


for _path in sorted(HERE.glob("*.scenario")):
    globals()[f"test_{_path.stem}"] = _test_of(_path)


load_tests = function_suite(globals())
