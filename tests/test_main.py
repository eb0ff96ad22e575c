"""Tests of the selection of tests on the command line."""

import unittest

from tests.__main__ import select_cases
from tests.common import NamedFunctionTestCase, function_suite


def test_modules_that_fail_to_import_are_selected():
    """Guards against a run that passes because the module under test cannot be imported."""
    failed = unittest.defaultTestLoader.loadTestsFromName("tests.no_such_module")
    (missing,) = failed
    other = NamedFunctionTestCase(test_modules_that_fail_to_import_are_selected)
    assert missing.id().endswith("no_such_module")
    name = missing.id().removeprefix("unittest.loader._FailedTest.")
    for prefixes in ((), (name,), (name[:5],), (f"{name}.test_one",)):
        assert missing in select_cases([missing, other], prefixes), prefixes
    assert select_cases([missing, other], ("tests.test_main",)) == [other]
    assert select_cases([missing], (f"{name}_2",)) == []


load_tests = function_suite(globals())
