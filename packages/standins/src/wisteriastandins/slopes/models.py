"""Data structures of the slope measurement."""

from collections.abc import Callable
from typing import NamedTuple


class Effort(NamedTuple):
    """How many measurements a probe makes, and how long each takes.

    Attributes
    ----------
    repetitions : int
        Repetitions at each size; the cost is their median.
    min_s : float
        Minimum processor time of a repetition in seconds; short calls are repeated to reach it.
    """

    repetitions: int
    min_s: float


class Probe(NamedTuple):
    """A cost that is measured at several sizes.

    Attributes
    ----------
    title : str
        The measured cost, and the sizes that stay constant.
    size_name : str
        What the sizes count.
    unit : str
        Unit of the cost: `us` (processor time) or `bytes`.
    sizes : tuple of int
        Sizes to measure, at least three.
    measure : callable
        Returns the cost at a size.
    """

    title: str
    size_name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int, Effort], float]


class Fit(NamedTuple):
    """A line fitted by least squares; `r2` is the square of the correlation coefficient."""

    slope: float
    intercept: float
    r2: float


class SlopeResult(NamedTuple):
    """A probe, its cost at each of its sizes, and the fitted line."""

    probe: Probe
    costs: tuple[float, ...]
    fit: Fit
