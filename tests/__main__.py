"""Run the tests, ignore failures of those in KNOWN-RED.txt, and print a summary."""

import faulthandler
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
HANG_LIMIT_S = 1_800
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_IMPORT_FAILURE_PREFIX = "unittest.loader._FailedTest."


def _read_known_failures() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists: the first word of each entry."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(_flatten(item))
        else:
            cases.append(item)
    return cases


def select_cases(
    cases: list[unittest.TestCase], prefixes: tuple[str, ...]
) -> list[unittest.TestCase]:
    """Return the tests whose id starts with a prefix, or all of them if there is none.

    A module that cannot be imported appears as one failing test. It is selected if its name starts
    with a prefix, or if a prefix names a test in it.
    """
    if not prefixes:
        return cases
    selected = []
    for case in cases:
        name = case.id().removeprefix(_IMPORT_FAILURE_PREFIX)
        is_failed_module = name != case.id()
        if name.startswith(prefixes) or (
            is_failed_module and any(prefix.startswith(f"{name}.") for prefix in prefixes)
        ):
            selected.append(case)
    return selected


def main() -> int:
    """Run the tests named on the command line as dotted prefixes, or all of them."""
    prefixes = tuple(sys.argv[1:])
    suite = unittest.TestLoader().discover(str(ROOT / "tests"), "test_*.py", str(ROOT))
    cases = select_cases(_flatten(suite), prefixes)
    # If the run hangs, print the stacks of all threads and exit instead of blocking CI.
    faulthandler.dump_traceback_later(HANG_LIMIT_S, exit=True)
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(cases))
    # A test with failing subtests appears once for each of them; count it once.
    failing = set()
    for case, _ in [*result.failures, *result.errors]:
        failing.add(getattr(case, "test_case", case).id())
    known_failures = _read_known_failures()
    for name in sorted(failing & known_failures):
        print(f"known red, passed over: {name}")
    for name in sorted(known_failures - failing) if not prefixes else []:
        print(f"known red but green now, remove it from KNOWN-RED.txt: {name}")
    unexpected = failing - known_failures
    if not cases or result.testsRun < len(cases):
        print("no test was run, or the run ended early")
        return 1
    print(f"{result.testsRun - len(failing)} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
