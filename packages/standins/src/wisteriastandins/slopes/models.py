"""Data of the measured slopes."""

from collections.abc import Callable
from typing import NamedTuple


class Effort(NamedTuple):
    """How long a probe measures.

    Attributes
    ----------
    repetitions : int
        Repetitions at each size; their median counts.
    min_s : float
        Processor time of a repetition in seconds, reached by repeating the call.
    """

    repetitions: int
    min_s: float


class Probe(NamedTuple):
    """A cost and the size that it is measured against.

    Attributes
    ----------
    what : str
        The cost, and what is held fixed.
    against : str
        What the sizes count.
    unit : str
        Unit of the cost: `us` (processor time) or `bytes`.
    sizes : tuple of int
        At least three.
    measure : callable
        Returns the cost at a size.
    """

    what: str
    against: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int, Effort], float]


class Fit(NamedTuple):
    """A line by least squares; `r2` is the square of the correlation."""

    slope: float
    intercept: float
    r2: float


class SlopeResult(NamedTuple):
    """A probe, its cost at each of its sizes, and the line through them."""

    probe: Probe
    costs: tuple[float, ...]
    fit: Fit
