"""Types of fault runs."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wisteriastandins.launcher import RunningProcesses
from wisteriastandins.load.models import LoadResult
from wisteriastandins.topology.models import LoadPlan


class Target(NamedTuple):
    """The deployment that a fault acts on."""

    plan: LoadPlan
    running: RunningProcesses


# Returns an error message if a stand-in rejected the change, or None.
FaultAction = Callable[[Target], Awaitable[str | None]]


class Fault(NamedTuple):
    """A fault or planned change, with the actions that begin and end it under load.

    A planned change must not harm any request: no error, refusal or unknown outcome is accepted.
    """

    name: str
    planned: bool
    begin: FaultAction
    end: FaultAction


class FaultResult(NamedTuple):
    """Result of the load during a fault; `problems` is empty if the run passed."""

    fault: str
    result: LoadResult | None
    problems: list[str]
