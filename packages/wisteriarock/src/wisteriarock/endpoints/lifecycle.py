"""State machines of an endpoint and of a connection to it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from transitions import Machine

from wisteriarock.membership.models import EndpointState
from wisteriarock.settings.models import Tunables

from .const import DRAINING_REPLY_HOLDS_MS, GONE_AFTER_REPORTS
from .models import EndpointReport

_S = EndpointState

_ENDPOINT_TRANSITIONS: list[Any] = [
    ["warm", [_S.UNKNOWN, _S.COLD, _S.EJECTED, _S.DRAINING, _S.GONE], _S.READY],
    ["cool", [_S.UNKNOWN, _S.READY, _S.EJECTED, _S.DRAINING, _S.GONE], _S.COLD],
    ["drain", [_S.UNKNOWN, _S.COLD, _S.READY, _S.EJECTED, _S.GONE], _S.DRAINING],
    ["eject", [_S.UNKNOWN, _S.COLD, _S.READY, _S.DRAINING, _S.GONE], _S.EJECTED],
    ["lose", [_S.UNKNOWN, _S.COLD, _S.READY, _S.EJECTED, _S.DRAINING], _S.GONE],
    ["lose_sight", [_S.COLD, _S.READY, _S.EJECTED, _S.DRAINING, _S.GONE], _S.UNKNOWN],
]
_TRIGGERS = {
    _S.READY: "warm",
    _S.COLD: "cool",
    _S.DRAINING: "drain",
    _S.EJECTED: "eject",
    _S.GONE: "lose",
    _S.UNKNOWN: "lose_sight",
}


class ConnectionState(StrEnum):
    """State of a connection to an endpoint."""

    CONNECTING = "connecting"
    IDLE = "idle"
    BUSY = "busy"
    SUSPECT = "suspect"
    CLOSED = "closed"


_C = ConnectionState
_CONNECTION_TRANSITIONS: list[Any] = [
    ["connected", _C.CONNECTING, _C.BUSY],
    ["use", _C.IDLE, _C.BUSY],
    ["release", [_C.BUSY, _C.SUSPECT], _C.IDLE],
    ["suspect", [_C.CONNECTING, _C.BUSY], _C.SUSPECT],
    ["close", [_C.CONNECTING, _C.IDLE, _C.BUSY, _C.SUSPECT], _C.CLOSED],
]


def _endpoint_machine() -> Machine:
    return Machine(
        model=None,
        states=EndpointState,
        transitions=_ENDPOINT_TRANSITIONS,
        initial=EndpointState.UNKNOWN,
        auto_transitions=False,
    )


def _connection_table() -> dict[tuple[ConnectionState, str], ConnectionState]:
    machine = Machine(
        model=None,
        states=ConnectionState,
        transitions=_CONNECTION_TRANSITIONS,
        initial=ConnectionState.CONNECTING,
        auto_transitions=False,
    )
    return {
        (ConnectionState[str(t.source)], name): ConnectionState[str(t.dest)]
        for name, event in machine.events.items()
        for transitions in event.transitions.values()
        for t in transitions
    }


# A trigger of the library costs 14 us and a connection changes state twice for each leg, so its
# machine is checked once and read as a table.
_CONNECTION_TABLE = _connection_table()


def next_connection_state(state: ConnectionState, trigger: str) -> ConnectionState:
    """Return the state after a trigger.

    Raises
    ------
    RuntimeError
        The connection is in a state that does not allow the trigger.
    """
    following = _CONNECTION_TABLE.get((state, trigger))
    if following is None:
        raise RuntimeError(f"connection state {state}: trigger {trigger!r} is not allowed")
    return following


_MACHINE = _endpoint_machine()


# Compared by identity: `transitions` registers no model that equals one it has.
@dataclass(eq=False)
class EndpointLife:
    """Facts from which the state of an endpoint follows, and the state itself.

    Attributes
    ----------
    state : EndpointState
        Changed by the machine only.
    report : EndpointReport or None
        The last report.
    failures, report_failures : int
        Legs, and reports, that failed in a row.
    ejected_until_ms, cold_until_ms : float
        Monotonic times; 0 when not ejected and not in slow start.
    restarted_at_ms : float
        When a new incarnation was first seen; 0 if there was none.
    leaving : bool
        The platform's list says that the endpoint leaves.
    told_draining_at_ms : float or None
        When the endpoint last answered a leg with `draining`, None if it did not.
    """

    state: EndpointState = EndpointState.UNKNOWN
    incarnation: str = ""
    report: EndpointReport | None = None
    failures: int = 0
    report_failures: int = 0
    ejected_until_ms: float = 0.0
    cold_until_ms: float = 0.0
    restarted_at_ms: float = 0.0
    leaving: bool = False
    told_draining_at_ms: float | None = None


def create_life(known_incarnation: str = "") -> EndpointLife:
    """Return the life of an endpoint that has not reported.

    Parameters
    ----------
    known_incarnation : str
        From the view of the former holder; empty if there is none. A report with another
        incarnation then starts a slow start.
    """
    life = EndpointLife(incarnation=known_incarnation)
    _MACHINE.add_model(life, initial=EndpointState.UNKNOWN)
    return life


def forget_life(life: EndpointLife) -> None:
    """Release an endpoint that is no longer held from the machine."""
    _MACHINE.remove_model(life)


def _wanted_state(life: EndpointLife, now_ms: float) -> EndpointState:
    if life.report_failures >= GONE_AFTER_REPORTS:
        return EndpointState.GONE
    if is_draining(life):
        return EndpointState.DRAINING
    if now_ms < life.ejected_until_ms:
        return EndpointState.EJECTED
    if life.report is None:
        return EndpointState.UNKNOWN
    if life.report["state"] == "cold" or now_ms < life.cold_until_ms:
        return EndpointState.COLD
    return EndpointState.READY


def is_draining(life: EndpointLife) -> bool:
    """Tell whether any source says that the endpoint leaves."""
    reported = life.report is not None and life.report["state"] == "draining"
    return reported or life.leaving or life.told_draining_at_ms is not None


def update(life: EndpointLife, now_ms: float) -> bool:
    """Bring the state in line with the facts and the time; tell whether it changed."""
    wanted = _wanted_state(life, now_ms)
    if wanted is life.state:
        return False
    model: Any = life
    model.trigger(_TRIGGERS[wanted])
    return True


def on_report(
    life: EndpointLife, report: EndpointReport, now_ms: float, tunables: Tunables
) -> bool:
    """Take a report; a new incarnation starts a slow start. Tell whether the state changed."""
    if life.incarnation and report["incarnation"] != life.incarnation:
        life.cold_until_ms = now_ms + tunables.slow_start_ms
        life.restarted_at_ms = now_ms
        life.leaving = False
        life.failures = 0
        life.ejected_until_ms = 0.0
        life.told_draining_at_ms = None
    life.incarnation = report["incarnation"]
    life.report = report
    life.report_failures = 0
    told_ms = life.told_draining_at_ms
    if told_ms is not None and now_ms - told_ms > DRAINING_REPLY_HOLDS_MS:
        life.told_draining_at_ms = None
    return update(life, now_ms)


def on_report_failure(life: EndpointLife, now_ms: float) -> bool:
    """Count a report that failed on a new connection; tell whether the state changed."""
    life.report_failures += 1
    return update(life, now_ms)


def on_success(life: EndpointLife) -> None:
    """Note that the endpoint answered a leg, which it does not when it is gone."""
    life.failures = life.report_failures = 0


def on_failure(life: EndpointLife, now_ms: float, tunables: Tunables) -> bool:
    """Count a leg that failed; too many in a row eject the endpoint. Tell if the state changed."""
    life.failures += 1
    if life.failures < tunables.eject_after_failures:
        return False
    life.failures = 0
    life.ejected_until_ms = now_ms + tunables.eject_ms
    return update(life, now_ms)


def on_draining_reply(life: EndpointLife, now_ms: float) -> bool:
    """Note that the endpoint refused a leg as it drains; tell whether the state changed."""
    life.told_draining_at_ms = now_ms
    return update(life, now_ms)


def on_listed(life: EndpointLife, leaving: bool, now_ms: float) -> bool:
    """Take what the platform's list says; tell whether the state changed."""
    life.leaving = leaving
    return update(life, now_ms)
