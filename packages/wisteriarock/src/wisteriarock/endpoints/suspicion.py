"""Decides when a connection has been silent too long, and which legs are lost after a probe."""

from collections.abc import Iterable
from dataclasses import dataclass

from .const import (
    MIN_LEG_MS,
    MIN_SERVICE_TIME_SHARE,
    REPLY_JITTER_MS,
    REPORT_DISTRUST_MS,
    REPORT_END_LAG_MS,
    REPORT_START_LAG_MS,
    SERVICE_TIME_DEVIATIONS,
    SERVICE_TIME_EWMA_WEIGHT,
    SERVICE_TIME_MAX_AGE_MS,
    UNTRUSTED_REPORT_WAIT_MS,
)


@dataclass(slots=True)
class ServiceTimeEstimate:
    """Moving average and mean deviation of the time between sending a leg and its reply."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0
    last_sample_at_ms: float = float("-inf")


def add_sample(estimate: ServiceTimeEstimate, service_ms: float, now_ms: float) -> None:
    """Add the service time of an answered leg."""
    estimate.last_sample_at_ms = now_ms
    if estimate.mean_ms == 0.0:
        estimate.mean_ms, estimate.deviation_ms = service_ms, service_ms / 2
        return
    error_ms = service_ms - estimate.mean_ms
    estimate.mean_ms += SERVICE_TIME_EWMA_WEIGHT * error_ms
    estimate.deviation_ms += SERVICE_TIME_EWMA_WEIGHT * (abs(error_ms) - estimate.deviation_ms)


def min_service_time_ms(estimate: ServiceTimeEstimate | None, now_ms: float) -> float:
    """Return the time within which no leg of a kind is expected to be answered.

    The estimate is ignored if its last sample is too old: legs dropped because of the estimate add
    no samples that could correct it.
    """
    if estimate is None or now_ms - estimate.last_sample_at_ms > SERVICE_TIME_MAX_AGE_MS:
        return MIN_LEG_MS
    return max(MIN_LEG_MS, MIN_SERVICE_TIME_SHARE * estimate.mean_ms)


def silence_bound_ms(estimate: ServiceTimeEstimate | None, silence_suspect_ms: float) -> float:
    """Return how long a leg may receive no byte before its connection is suspect."""
    if estimate is None:
        return silence_suspect_ms
    long_ms = estimate.mean_ms + SERVICE_TIME_DEVIATIONS * estimate.deviation_ms
    return max(silence_suspect_ms, long_ms)


@dataclass(slots=True, frozen=True)
class UnansweredLeg:
    """A leg that was written and not answered; `overdue_ms` is the time since its silence bound."""

    number: int
    written_at_ms: float
    overdue_ms: float


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Result of a report fetched on a healthy connection.

    `busy` is the number of slots in use at the endpoint; None if its reports are not trusted.
    """

    requested_at_ms: float
    answered_at_ms: float
    busy: int | None


def arrival_cutoff_ms(probe: ProbeResult) -> float:
    """Return the time before which a written leg had reached the endpoint when it was probed."""
    return probe.requested_at_ms - max(
        REPLY_JITTER_MS, probe.answered_at_ms - probe.requested_at_ms
    )


def was_running_at_probe(probe: ProbeResult, written_at_ms: float, answered_at_ms: float) -> bool:
    """Return whether a leg answered since the probe was running when the report was made."""
    had_arrived = written_at_ms <= arrival_cutoff_ms(probe)
    return had_arrived and answered_at_ms > probe.answered_at_ms + REPLY_JITTER_MS


def select_lost_legs(
    legs: Iterable[UnansweredLeg], probe: ProbeResult, answered_since: int
) -> list[int]:
    """Return the numbers of the silent legs that the endpoint is not working on.

    Only the holder sends legs to an endpoint. Some of the busy slots ran legs that have been
    answered since the probe. If fewer slots remain than there are unanswered legs, the difference
    is the number of legs lost in transit.

    Parameters
    ----------
    legs : iterable of UnansweredLeg
        Legs unanswered after the replies in flight at the probe had time to arrive.
    probe : ProbeResult
        If its report is not trusted, only legs that have been silent for long are lost.
    answered_since : int
        Number of legs for which `was_running_at_probe` returns true.
    """
    if probe.busy is None:
        return [leg.number for leg in legs if leg.overdue_ms >= UNTRUSTED_REPORT_WAIT_MS]
    cutoff_ms = arrival_cutoff_ms(probe)
    arrived = sorted(
        (leg for leg in legs if leg.written_at_ms <= cutoff_ms), key=lambda leg: leg.written_at_ms
    )
    lost_count = len(arrived) - max(0, probe.busy - answered_since)
    return [leg.number for leg in arrived if leg.overdue_ms > 0][: max(0, lost_count)]


@dataclass(slots=True)
class ReportTrust:
    """Whether the reported busy slots are consistent with the legs sent by this instance."""

    distrusted_until_ms: float = 0.0
    last_leg_ended_at_ms: float = 0.0


def is_trusted(trust: ReportTrust, now_ms: float) -> bool:
    """Return whether reports may be used to find lost legs."""
    return now_ms >= trust.distrusted_until_ms


def distrust(trust: ReportTrust, now_ms: float) -> None:
    """Distrust reports for a while after one that was outdated or wrong."""
    trust.distrusted_until_ms = now_ms + REPORT_DISTRUST_MS


@dataclass(slots=True)
class DoubtfulReport:
    """A report with fewer busy slots than legs that should be counted in it.

    `answered` counts such legs answered since; more of them than `busy` prove the report wrong.
    """

    requested_at_ms: float
    busy: int
    answered: int = 0


def check_report(
    trust: ReportTrust, written_at_ms: Iterable[float], busy: int, requested_at_ms: float
) -> DoubtfulReport | None:
    """Compare a report with the legs sent by this instance.

    Parameters
    ----------
    trust : ReportTrust
        Changed if the report has busy slots although no leg has run for a while.
    written_at_ms : iterable of float
        Times at which the unanswered legs were written.
    busy : int
        Slots in use at the endpoint.
    requested_at_ms : float
        Time at which the report was requested.

    Returns
    -------
    DoubtfulReport or None
        Set if the report leaves out a leg for which `is_expected_in_report` returns true. All
        such legs share it.
    """
    written = list(written_at_ms)
    idle_ms = requested_at_ms - trust.last_leg_ended_at_ms
    if not written and busy > 0 and idle_ms > REPORT_END_LAG_MS:
        distrust(trust, requested_at_ms)
    expected = sum(1 for time_ms in written if is_expected_in_report(time_ms, requested_at_ms))
    return DoubtfulReport(requested_at_ms, busy) if expected > busy else None


def is_expected_in_report(written_at_ms: float, requested_at_ms: float) -> bool:
    """Return whether a leg was written long enough before a report to be counted in it."""
    return requested_at_ms - written_at_ms > REPORT_START_LAG_MS


def record_answered_leg(trust: ReportTrust, report: DoubtfulReport, now_ms: float) -> None:
    """Record the answer of a leg that a doubtful report may have left out."""
    if now_ms - report.requested_at_ms <= REPORT_START_LAG_MS:
        # The leg may have ended before the report was made.
        return
    report.answered += 1
    if report.answered > report.busy:
        distrust(trust, now_ms)
