"""State machines of endpoints and of connections to them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from transitions import Machine

from wisteriarock.membership.models import EndpointState
from wisteriarock.settings.models import Tunables

from .const import DRAINING_REPLY_VALID_MS, GONE_AFTER_REPORT_FAILURES
from .models import EndpointReport

_S = EndpointState

_ENDPOINT_TRANSITIONS: list[Any] = [
    ["become_ready", [_S.UNKNOWN, _S.COLD, _S.EJECTED, _S.DRAINING, _S.GONE], _S.READY],
    ["become_cold", [_S.UNKNOWN, _S.READY, _S.EJECTED, _S.DRAINING, _S.GONE], _S.COLD],
    ["start_draining", [_S.UNKNOWN, _S.COLD, _S.READY, _S.EJECTED, _S.GONE], _S.DRAINING],
    ["eject", [_S.UNKNOWN, _S.COLD, _S.READY, _S.DRAINING, _S.GONE], _S.EJECTED],
    ["become_gone", [_S.UNKNOWN, _S.COLD, _S.READY, _S.EJECTED, _S.DRAINING], _S.GONE],
    ["become_unknown", [_S.COLD, _S.READY, _S.EJECTED, _S.DRAINING, _S.GONE], _S.UNKNOWN],
]
_TRIGGERS = {
    _S.READY: "become_ready",
    _S.COLD: "become_cold",
    _S.DRAINING: "start_draining",
    _S.EJECTED: "eject",
    _S.GONE: "become_gone",
    _S.UNKNOWN: "become_unknown",
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


def _create_endpoint_machine() -> Machine:
    return Machine(
        model=None,
        states=EndpointState,
        transitions=_ENDPOINT_TRANSITIONS,
        initial=EndpointState.UNKNOWN,
        auto_transitions=False,
    )


def _create_connection_table() -> dict[tuple[ConnectionState, str], ConnectionState]:
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


# A trigger of `transitions` costs 14 us and a connection changes state twice for each leg.
# Therefore the machine is converted to a lookup table at import.
_CONNECTION_TABLE = _create_connection_table()


def next_connection_state(state: ConnectionState, trigger: str) -> ConnectionState:
    """Return the state after a trigger.

    Raises
    ------
    RuntimeError
        If the state does not allow the trigger.
    """
    next_state = _CONNECTION_TABLE.get((state, trigger))
    if next_state is None:
        raise RuntimeError(f"connection state {state}: trigger {trigger!r} is not allowed")
    return next_state


_ENDPOINT_MACHINE = _create_endpoint_machine()


# Compared by identity: `transitions` ignores a model that equals one already registered.
@dataclass(eq=False)
class EndpointLifecycle:
    """State of an endpoint, and the data from which it is derived.

    Attributes
    ----------
    state : EndpointState
        Changed only by the state machine.
    report : EndpointReport or None
        The most recent report.
    failures, report_failures : int
        Numbers of consecutive failed legs and failed reports.
    ejected_until_ms, cold_until_ms : float
        Monotonic times at which the ejection and the slow start end; 0 if there is none.
    restarted_at_ms : float
        Monotonic time at which the last new incarnation was first reported; 0 if there was none.
    leaving : bool
        Whether the platform lists the endpoint as leaving.
    draining_reply_at_ms : float or None
        Monotonic time at which the endpoint last refused a leg as `draining`, if that still counts.
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
    draining_reply_at_ms: float | None = None


def create_lifecycle(known_incarnation: str = "") -> EndpointLifecycle:
    """Create the lifecycle of an endpoint that has not reported yet.

    Parameters
    ----------
    known_incarnation : str
        From the view of the previous holder; empty if there is none. If it is set, a report with
        another incarnation begins a slow start.
    """
    lifecycle = EndpointLifecycle(incarnation=known_incarnation)
    _ENDPOINT_MACHINE.add_model(lifecycle, initial=EndpointState.UNKNOWN)
    return lifecycle


def remove_lifecycle(lifecycle: EndpointLifecycle) -> None:
    """Remove the lifecycle of an endpoint that is no longer held from the state machine."""
    _ENDPOINT_MACHINE.remove_model(lifecycle)


def _derive_state(lifecycle: EndpointLifecycle, now_ms: float) -> EndpointState:
    if lifecycle.report_failures >= GONE_AFTER_REPORT_FAILURES:
        return EndpointState.GONE
    if is_draining(lifecycle):
        return EndpointState.DRAINING
    if now_ms < lifecycle.ejected_until_ms:
        return EndpointState.EJECTED
    if lifecycle.report is None:
        return EndpointState.UNKNOWN
    if lifecycle.report["state"] == "cold" or now_ms < lifecycle.cold_until_ms:
        return EndpointState.COLD
    return EndpointState.READY


def is_draining(lifecycle: EndpointLifecycle) -> bool:
    """Return whether the report, the platform or a reply says that the endpoint is draining."""
    reported = lifecycle.report is not None and lifecycle.report["state"] == "draining"
    return reported or lifecycle.leaving or lifecycle.draining_reply_at_ms is not None


def update_state(lifecycle: EndpointLifecycle, now_ms: float) -> bool:
    """Update the state from the data and the time; return whether it changed."""
    derived_state = _derive_state(lifecycle, now_ms)
    if derived_state is lifecycle.state:
        return False
    model: Any = lifecycle
    model.trigger(_TRIGGERS[derived_state])
    return True


def on_report(
    lifecycle: EndpointLifecycle, report: EndpointReport, now_ms: float, tunables: Tunables
) -> bool:
    """Apply a report; return whether the state changed.

    A new incarnation begins a slow start.
    """
    if lifecycle.incarnation and report["incarnation"] != lifecycle.incarnation:
        lifecycle.cold_until_ms = now_ms + tunables.slow_start_ms
        lifecycle.restarted_at_ms = now_ms
        lifecycle.leaving = False
        lifecycle.failures = 0
        lifecycle.ejected_until_ms = 0.0
        lifecycle.draining_reply_at_ms = None
    lifecycle.incarnation = report["incarnation"]
    lifecycle.report = report
    lifecycle.report_failures = 0
    reply_at_ms = lifecycle.draining_reply_at_ms
    if reply_at_ms is not None and now_ms - reply_at_ms > DRAINING_REPLY_VALID_MS:
        lifecycle.draining_reply_at_ms = None
    return update_state(lifecycle, now_ms)


def on_report_failure(lifecycle: EndpointLifecycle, now_ms: float) -> bool:
    """Count a report that failed on a new connection; return whether the state changed."""
    lifecycle.report_failures += 1
    return update_state(lifecycle, now_ms)


def on_leg_answered(lifecycle: EndpointLifecycle) -> None:
    """Reset the failure counts: an endpoint that answers a leg is not gone."""
    lifecycle.failures = lifecycle.report_failures = 0


def on_leg_failure(lifecycle: EndpointLifecycle, now_ms: float, tunables: Tunables) -> bool:
    """Count a failed leg; return whether the state changed.

    Too many consecutive failures eject the endpoint.
    """
    lifecycle.failures += 1
    if lifecycle.failures < tunables.eject_after_failures:
        return False
    lifecycle.failures = 0
    lifecycle.ejected_until_ms = now_ms + tunables.eject_ms
    return update_state(lifecycle, now_ms)


def on_draining_reply(lifecycle: EndpointLifecycle, now_ms: float) -> bool:
    """Record that the endpoint refused a leg as draining; return whether the state changed."""
    lifecycle.draining_reply_at_ms = now_ms
    return update_state(lifecycle, now_ms)


def on_platform_list(lifecycle: EndpointLifecycle, leaving: bool, now_ms: float) -> bool:
    """Apply the endpoint's entry in the platform's list; return whether the state changed."""
    lifecycle.leaving = leaving
    return update_state(lifecycle, now_ms)
