"""Run every scenario file with each of its seeds."""

from collections.abc import Callable
from pathlib import Path

from tests.common import function_suite
from tests.scenarios.checks import check
from tests.scenarios.fakes import Simulation, run_simulation
from tests.scenarios.language import Scenario, create_simulation, read_scenario

SCENARIOS_FOLDER = Path(__file__).parent


def _run(scenario: Scenario, seed: int, hedge: bool) -> Simulation:
    simulation = create_simulation(scenario, seed, hedge)
    run_simulation(simulation)
    return simulation


def _make_test(path: Path) -> Callable[[], None]:
    def run() -> None:
        scenario = read_scenario(path)
        for seed in scenario.seeds:
            simulation = _run(scenario, seed, hedge=True)
            compares_hedging = any(name == "p99" for name, _ in scenario.claims)
            without_hedging = _run(scenario, seed, hedge=False) if compares_hedging else None
            for name, values in scenario.claims:
                try:
                    check(name, values, simulation, without_hedging)
                except AssertionError as error:
                    raise AssertionError(f"seed {seed}, {name} {values}: {error}") from error

    run.__name__ = f"test_{path.stem}"
    run.__module__ = __name__
    return run


for _path in sorted(SCENARIOS_FOLDER.glob("*.scenario")):
    globals()[f"test_{_path.stem}"] = _make_test(_path)


load_tests = function_suite(globals())
