"""Fit a line to measured costs."""

from collections.abc import Sequence
from statistics import StatisticsError, correlation, linear_regression

from .models import Effort, Fit, Probe, SlopeResult

MIN_SIZES = 3


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, costs : sequence of float
        Coordinates of the points; the sizes must not all be equal.

    Returns
    -------
    Fit
        `r2` is 1 if all costs are equal: the line passes through all points.
    """
    slope, intercept = linear_regression(sizes, costs)
    try:
        r2 = correlation(sizes, costs) ** 2
    except StatisticsError:
        r2 = 1.0
    return Fit(slope, intercept, r2)


def run_probe(probe: Probe, effort: Effort) -> SlopeResult:
    """Measure a probe at each of its sizes.

    Raises
    ------
    ValueError
        If the probe has fewer than three sizes.
    """
    if len(probe.sizes) < MIN_SIZES:
        raise ValueError(f"The probe '{probe.title}' has fewer than {MIN_SIZES} sizes.")
    costs = tuple(probe.measure(size, effort) for size in probe.sizes)
    return SlopeResult(probe, costs, fit_line(probe.sizes, costs))
