"""Run every test, pass over exactly those in KNOWN-RED.txt, and print a closing line."""

import faulthandler
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
HANG_LIMIT_S = 1_800
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def _known_red() -> set[str]:
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


def main() -> int:
    """Run the tests named on the command line as dotted prefixes, or all of them."""
    prefixes = tuple(sys.argv[1:])
    suite = unittest.TestLoader().discover(str(ROOT / "tests"), "test_*.py", str(ROOT))
    cases = [case for case in _flatten(suite) if not prefixes or case.id().startswith(prefixes)]
    # A run that hangs ends with the stacks of all threads instead of blocking CI.
    faulthandler.dump_traceback_later(HANG_LIMIT_S, exit=True)
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(cases))
    # A test with failing subtests is listed once for each of them; count it once.
    red = set()
    for case, _ in [*result.failures, *result.errors]:
        red.add(getattr(case, "test_case", case).id())
    listed = _known_red()
    for name in sorted(red & listed):
        print(f"known red, passed over: {name}")
    for name in sorted(listed - red) if not prefixes else []:
        print(f"known red but green now, remove it from KNOWN-RED.txt: {name}")
    failed = red - listed
    if not cases or result.testsRun < len(cases):
        print("no test was run, or the run ended early")
        return 1
    print(f"{result.testsRun - len(red)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
