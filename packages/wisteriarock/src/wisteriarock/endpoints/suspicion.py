"""Decides when a connection is silent for too long, and which legs a probe shows to be lost."""

from collections.abc import Iterable
from dataclasses import dataclass

from .const import (
    DISTRUST_MS,
    LEAST_SHARE,
    MIN_LEG_MS,
    REPLY_JITTER_MS,
    REPORT_IDLE_MS,
    REPORT_SETTLED_MS,
    UNTRUSTED_WAIT_MS,
    USUAL_TIME_DEVIATIONS,
    USUAL_TIME_FRESH_MS,
    USUAL_TIME_WEIGHT,
)


@dataclass(slots=True)
class UsualTime:
    """Moving mean and mean deviation of the time from the write of a leg to its reply."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0
    sampled_ms: float = float("-inf")


def add_sample(usual: UsualTime, service_ms: float, now_ms: float) -> None:
    """Take the time of a leg that was answered."""
    usual.sampled_ms = now_ms
    if usual.mean_ms == 0.0:
        usual.mean_ms, usual.deviation_ms = service_ms, service_ms / 2
        return
    error_ms = service_ms - usual.mean_ms
    usual.mean_ms += USUAL_TIME_WEIGHT * error_ms
    usual.deviation_ms += USUAL_TIME_WEIGHT * (abs(error_ms) - usual.deviation_ms)


def least_time_ms(usual: UsualTime | None, now_ms: float) -> float:
    """Return the time below which no leg of a kind is answered.

    It is forgotten when no leg was answered for a while: legs that are dropped because of it give
    no samples that could correct it.
    """
    if usual is None or now_ms - usual.sampled_ms > USUAL_TIME_FRESH_MS:
        return MIN_LEG_MS
    return max(MIN_LEG_MS, LEAST_SHARE * usual.mean_ms)


def silence_bound_ms(usual: UsualTime | None, silence_suspect_ms: float) -> float:
    """Return how long a leg may go without a reply byte before its connection is suspect."""
    if usual is None:
        return silence_suspect_ms
    usual_ms = usual.mean_ms + USUAL_TIME_DEVIATIONS * usual.deviation_ms
    return max(silence_suspect_ms, usual_ms)


@dataclass(slots=True, frozen=True)
class OpenLeg:
    """A leg that has been written and not answered; `silent_ms` is the time over its bound."""

    number: int
    written_ms: float
    silent_ms: float


@dataclass(slots=True, frozen=True)
class Probe:
    """A report asked for on a healthy connection.

    `busy` is the number of slots in use at the endpoint, None if its reports are not trusted.
    """

    asked_ms: float
    answered_ms: float
    busy: int | None


def settled_before(probe: Probe) -> float:
    """Return the time up to which a leg was written that had reached the endpoint at the probe."""
    return probe.asked_ms - max(REPLY_JITTER_MS, probe.answered_ms - probe.asked_ms)


def ran_at_probe(probe: Probe, written_ms: float, answered_ms: float) -> bool:
    """Tell whether a leg that has been answered since had a slot when the report was made."""
    was_there = written_ms <= settled_before(probe)
    return was_there and answered_ms > probe.answered_ms + REPLY_JITTER_MS


def lost_legs(legs: Iterable[OpenLeg], probe: Probe, ran: int) -> list[int]:
    """Return the numbers of the silent legs that the endpoint is not working on.

    The holder is the only sender of an endpoint. Of the slots in use, some had legs that have been
    answered since; if fewer are left than legs are open, the difference was lost on the way.

    Parameters
    ----------
    legs : iterable of OpenLeg
        Still open when replies in flight at the probe have had time to come.
    probe : Probe
        Without a trusted report, a leg is lost once it has been silent for long.
    ran : int
        Legs answered since for which `ran_at_probe` holds.
    """
    if probe.busy is None:
        return [leg.number for leg in legs if leg.silent_ms >= UNTRUSTED_WAIT_MS]
    sure_ms = settled_before(probe)
    known = sorted((e for e in legs if e.written_ms <= sure_ms), key=lambda e: e.written_ms)
    lost = len(known) - max(0, probe.busy - ran)
    return [e.number for e in known if e.silent_ms > 0][: max(0, lost)]


@dataclass(slots=True)
class ReportTrust:
    """Whether the reported slots in use agree with the legs sent from here."""

    distrusted_until_ms: float = 0.0
    last_leg_ended_ms: float = 0.0


def is_trusted(trust: ReportTrust, now_ms: float) -> bool:
    """Tell whether reports may be used to find lost legs."""
    return now_ms >= trust.distrusted_until_ms


def distrust(trust: ReportTrust, now_ms: float) -> None:
    """Note that a report was wrong: it lags, or it misleads."""
    trust.distrusted_until_ms = now_ms + DISTRUST_MS


@dataclass(slots=True)
class ReportCheck:
    """A report that counts fewer slots than legs have been sent; `answered` legs prove it wrong."""

    asked_ms: float
    busy: int
    answered: int = 0


def check_report(
    trust: ReportTrust, written_ms: Iterable[float], busy: int, asked_ms: float
) -> ReportCheck | None:
    """Compare a report with the legs sent from here.

    Parameters
    ----------
    trust : ReportTrust
        Changed when the report counts slots although no leg has run for a while.
    written_ms : iterable of float
        When the legs that are open now were written.
    busy : int
        Slots in use at the endpoint.
    asked_ms : float
        When the report was asked for.

    Returns
    -------
    ReportCheck or None
        To be kept by the legs that `is_settled`, if the report leaves one of them out.
    """
    written = list(written_ms)
    idle_ms = asked_ms - trust.last_leg_ended_ms
    if not written and busy > 0 and idle_ms > REPORT_IDLE_MS:
        distrust(trust, asked_ms)
    settled = sum(1 for time_ms in written if is_settled(time_ms, asked_ms))
    return ReportCheck(asked_ms, busy) if settled > busy else None


def is_settled(written_ms: float, asked_ms: float) -> bool:
    """Tell whether a leg was written long enough before a report to be counted in it."""
    return asked_ms - written_ms > REPORT_SETTLED_MS


def note_answer(trust: ReportTrust, check: ReportCheck, now_ms: float) -> None:
    """Note that a leg was answered which a report may have left out."""
    if now_ms - check.asked_ms <= REPORT_SETTLED_MS:
        # It may have ended at the endpoint before the report was made.
        return
    check.answered += 1
    if check.answered > check.busy:
        distrust(trust, now_ms)
