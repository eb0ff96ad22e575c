"""Data of fault runs."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wisteriastandins.launcher import Running
from wisteriastandins.load.models import LoadResult
from wisteriastandins.topology.models import LoadPlan


class Target(NamedTuple):
    """The deployment that a fault acts on."""

    plan: LoadPlan
    running: Running


# Returns why a stand-in did not take the change, or None.
FaultAction = Callable[[Target], Awaitable[str | None]]


class Fault(NamedTuple):
    """A fault or a planned change: what begins it during the load, and what ends it later.

    A planned change may harm no request: no error, refusal or unknown outcome is accepted.
    """

    name: str
    planned: bool
    begin: FaultAction
    end: FaultAction


class FaultResult(NamedTuple):
    """Result of the load during a fault; `problems` is empty when the run was as it must be."""

    fault: str
    result: LoadResult | None
    problems: list[str]
