"""Budget of second arrivals at a service, kept within bounds that hold for all instances together.

In every window of time an instance spends at most a share of the requests that it sent itself, and
its share of the fixed part. The sum over all instances then stays inside the published budget
without a call per request.
"""

from collections import deque

from .const import (
    BUDGET_EXTRA_SHARE,
    BUDGET_FIRST_SHARE,
    BUDGET_RATIO_SHARE,
    BUDGET_SLOTS,
)


class ServiceWindow:
    """What was sent to one service within the window.

    Attributes
    ----------
    spent_ms : deque of float
        Times of the second arrivals.
    requests : list of int
        Requests by slot of time; `slot` is the number of the newest slot.
    """

    __slots__ = ("requests", "slot", "spent_ms")

    def __init__(self) -> None:
        self.spent_ms: deque[float] = deque()
        self.requests = [0] * BUDGET_SLOTS
        self.slot = 0


class ArrivalBudget:
    """Windows of all services, and the bounds of this instance.

    Attributes
    ----------
    fixed : float
        Share of the fixed part that this instance may spend in a window.
    started_ms : float or None
        Time of the first request: what an earlier process spent in that window is not known.
    """

    __slots__ = ("fixed", "ratio", "refused_total", "services", "started_ms", "window_ms")

    def __init__(self, ratio: float, extra: float, window_s: float, instances: int) -> None:
        self.ratio = 0.0
        self.fixed = 0.0
        self.window_ms = window_s * 1000
        self.services: dict[str, ServiceWindow] = {}
        self.refused_total = 0
        self.started_ms: float | None = None
        set_instances(self, ratio, extra, window_s, instances)


def set_instances(
    budget: ArrivalBudget, ratio: float, extra: float, window_s: float, instances: int
) -> None:
    """Divide the budget among another number of instances.

    Parameters
    ----------
    ratio : float
        Second arrivals that each request allows.
    extra : float
        Second arrivals that are allowed besides, in `window_s` seconds.
    """
    budget.ratio = ratio * BUDGET_RATIO_SHARE
    budget.fixed = max(1.0, extra * BUDGET_EXTRA_SHARE / max(1, instances))
    budget.window_ms = window_s * 1000


def _window(budget: ArrivalBudget, service: str, now_ms: float) -> ServiceWindow:
    """Return the window of a service, without what has left it."""
    window = budget.services.get(service)
    if window is None:
        window = budget.services[service] = ServiceWindow()
    slot = int(now_ms * BUDGET_SLOTS / budget.window_ms)
    for passed in range(window.slot + 1, min(slot, window.slot + BUDGET_SLOTS) + 1):
        window.requests[passed % BUDGET_SLOTS] = 0
    window.slot = max(window.slot, slot)
    spent_ms = window.spent_ms
    while spent_ms and spent_ms[0] <= now_ms - budget.window_ms:
        spent_ms.popleft()
    return window


def earn(budget: ArrivalBudget, service: str, now_ms: float) -> None:
    """Count a request to a service."""
    if budget.started_ms is None:
        budget.started_ms = now_ms
    window = _window(budget, service, now_ms)
    window.requests[window.slot % BUDGET_SLOTS] += 1


def available(budget: ArrivalBudget, service: str, now_ms: float) -> bool:
    """Tell whether there is budget for one more arrival."""
    window = _window(budget, service, now_ms)
    age_ms = now_ms - (now_ms if budget.started_ms is None else budget.started_ms)
    share = min(1.0, BUDGET_FIRST_SHARE + age_ms / budget.window_ms)
    fixed = max(1.0, budget.fixed * share)
    return len(window.spent_ms) + 1 <= fixed + budget.ratio * sum(window.requests)


def spend(budget: ArrivalBudget, service: str, now_ms: float) -> bool:
    """Take the budget for one more arrival of a request at a service, if there is enough."""
    if not available(budget, service, now_ms):
        budget.refused_total += 1
        return False
    budget.services[service].spent_ms.append(now_ms)
    return True
