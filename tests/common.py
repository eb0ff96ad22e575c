"""Loading of test functions by unittest."""

import asyncio
import inspect
import unittest
from collections.abc import Callable, Coroutine
from typing import Any


def _as_sync(function: Callable[[], Any]) -> Callable[[], None]:
    """Wrap a coroutine function so that unittest runs it on its own event loop."""
    if not inspect.iscoroutinefunction(function):
        return function
    coroutine_function: Callable[[], Coroutine[Any, Any, None]] = function

    def run() -> None:
        asyncio.run(coroutine_function())

    run.__name__ = function.__name__
    run.__module__ = function.__module__
    run.__doc__ = function.__doc__
    return run


class NamedFunctionTestCase(unittest.FunctionTestCase):
    """A test function whose id is `module.function`, as in KNOWN-RED.txt."""

    def id(self) -> str:
        """Return the dotted name of the test function."""
        function = self._testFunc  # type: ignore[attr-defined]
        return f"{function.__module__}.{function.__name__}"


def function_suite(namespace: dict[str, Any]) -> Callable[..., unittest.TestSuite]:
    """Return a `load_tests` hook that collects the `test_` functions of a module.

    Parameters
    ----------
    namespace : dict
        `globals()` of the module, read when the tests are loaded.
    """

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
    ) -> unittest.TestSuite:
        suite = unittest.TestSuite()
        for name, function in list(namespace.items()):
            if not name.startswith("test_") or function.__module__ != namespace["__name__"]:
                continue
            suite.addTest(NamedFunctionTestCase(_as_sync(function)))
        return suite

    return load_tests
