"""Generates the plan of faults for a seed."""

import random

from .const import FAULT_FREE_END_S
from .models import Fault, FaultKind

# Mean rate of faults or series of faults; several faults overlap at this rate.
FAULTS_PER_S = 0.9
# Share of faults that start a series, and the range of pauses within a series.
SERIES_SHARE = 0.3
SERIES_PAUSE_S = (0.1, 1.5)
MIN_DURATION_S, MAX_DURATION_S = 0.3, 6.0
# Number of returns of the store in a run, and the longest time from the copy to the end of one.
RETURNS = (1, 4)
RETURN_MAX_S = 7.0
# Relative frequency of fault kinds, 1 by default; low for kinds that affect the whole deployment.
_WEIGHTS = {
    FaultKind.KILL_ALL: 0.25,
    FaultKind.COLD_RETURN: 0.7,
    FaultKind.EVACUATE: 0.7,
    FaultKind.RESHARD: 0.4,
    FaultKind.DEADLY_REQUESTS: 0.5,
    FaultKind.LARGE_CHANGES: 0.4,
    FaultKind.HOT_CUSTOMER: 0.7,
    FaultKind.KEY_WITHDRAWN: 0.7,
    FaultKind.CONFIGURE: 2.0,
    FaultKind.STOP: 2.0,
    FaultKind.STORE_FORGETS: 1.5,
}


def make_plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, ordered by time, with a fault-free end.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    length_s : float
        Duration of the run.
    """
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind is not FaultKind.STORE_RETURN]
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    end_s = length_s - FAULT_FREE_END_S
    faults = []
    at_s = rng.expovariate(FAULTS_PER_S)
    while at_s < end_s:
        (kind,) = rng.choices(kinds, weights)
        count = rng.randint(2, 4) if rng.random() < SERIES_SHARE else 1
        fault_at_s = at_s
        for _ in range(count):
            duration_s = min(
                rng.uniform(MIN_DURATION_S, MAX_DURATION_S), max(0.0, end_s - fault_at_s)
            )
            if fault_at_s < end_s:
                faults.append(Fault(fault_at_s, kind, rng.randrange(1_000), duration_s))
            fault_at_s += rng.uniform(*SERIES_PAUSE_S)
        at_s += rng.expovariate(FAULTS_PER_S)
    return sorted(faults)


def make_returns(seed: int, length_s: float) -> list[Fault]:
    """Return returns of the store, some of them within seconds, beside the other faults."""
    rng = random.Random(f"returns {seed}")
    end_s = length_s - FAULT_FREE_END_S
    faults = []
    for _ in range(rng.randint(*RETURNS)):
        at_s = rng.uniform(0.0, max(0.0, end_s - RETURN_MAX_S))
        faults.append(Fault(at_s, FaultKind.STORE_RETURN, rng.randrange(1_000), 0.0))
    return faults


def format_plan(plan: list[Fault]) -> list[str]:
    """Return one line of text for each fault."""
    return [
        f"{fault.at_s:7.2f} s {fault.kind} target={fault.target} for={fault.duration_s:.2f} s"
        for fault in plan
    ]
