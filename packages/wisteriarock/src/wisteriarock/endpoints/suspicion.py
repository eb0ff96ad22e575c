"""Decides when a connection is silent for too long, and which legs a probe shows to be lost."""

from collections.abc import Iterable
from dataclasses import dataclass

from .const import USUAL_TIME_DEVIATIONS, USUAL_TIME_WEIGHT


@dataclass(slots=True)
class UsualTime:
    """Moving mean and mean deviation of the time from the write of a leg to its reply."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0


def add_sample(usual: UsualTime, service_ms: float) -> None:
    """Take the time of a leg that was answered."""
    if usual.mean_ms == 0.0:
        usual.mean_ms, usual.deviation_ms = service_ms, service_ms / 2
        return
    error_ms = service_ms - usual.mean_ms
    usual.mean_ms += USUAL_TIME_WEIGHT * error_ms
    usual.deviation_ms += USUAL_TIME_WEIGHT * (abs(error_ms) - usual.deviation_ms)


def silence_bound_ms(usual: UsualTime | None, silence_suspect_ms: float) -> float:
    """Return how long a leg may go without a reply byte before its connection is suspect."""
    if usual is None:
        return silence_suspect_ms
    usual_ms = usual.mean_ms + USUAL_TIME_DEVIATIONS * usual.deviation_ms
    return max(silence_suspect_ms, usual_ms)


@dataclass(slots=True, frozen=True)
class OpenLeg:
    """A leg that has been written and not answered; `silent` when it is over its bound."""

    number: int
    written_ms: float
    silent: bool


def lost_legs(legs: Iterable[OpenLeg], asked_ms: float, answered_ms: float, busy: int) -> list[int]:
    """Return the numbers of the silent legs that the endpoint is not working on.

    The holder is the only sender of an endpoint, so `busy` below the number of legs that are still
    open some time after the probe means that the difference was lost on the way to or from it.

    Parameters
    ----------
    legs : iterable of OpenLeg
        Open when the probe was sent, and still open when replies in flight have had time to come.
    asked_ms, answered_ms : float
        When the probe was written and answered.
    busy : int
        Slots in use at the endpoint, from the probe.
    """
    # A leg written within the probe's round trip may not have reached the endpoint yet.
    sure_ms = asked_ms - (answered_ms - asked_ms)
    known = sorted((e for e in legs if e.written_ms <= sure_ms), key=lambda e: e.written_ms)
    lost = max(0, len(known) - busy)
    return [e.number for e in known if e.silent][:lost]
