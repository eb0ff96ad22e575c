"""Decide which work starts, waits or is refused when there is too little room.

Customers of a higher priority go first, then routes of a higher priority. Customers of the same
rank share the room by start-time fair queueing, which gives weighted max-min shares: what one
leaves is used by the others. Among the work of one customer, the one with the least time goes
first. A customer that is served far less often than all goes before the ranks.
"""

import math
from collections.abc import Iterator

from .const import (
    COUNT_DECAY_MS,
    CUSTOMERS_MAX,
    EXTRA_RESERVE_SHARE,
    FLOOD_FACTOR,
    LEGS_DECAY_MS,
    PACE_WEIGHT,
    RETRY_AFTER_MIN_MS,
    STARVED_ASKED_MIN,
    STARVED_SHARE,
    WAITING_MAX,
    WAITING_PER_CUSTOMER_MAX,
)
from .models import CustomerUse, LegUse, OverloadState, Rank, Refusal, RefusalReason, Room, Work


def rank_of(customer_priority: int | None, route_priority: int) -> Rank:
    """Return the rank of a request; without a priority of its customer, its route decides."""
    first = route_priority if customer_priority is None else customer_priority
    return first, route_priority


def enter(room: Room, work: Work, now_ms: float) -> bool | Refusal:
    """Ask for room for new work.

    Returns
    -------
    bool or Refusal
        Whether the work starts now; False if it waits until `start_waiting` or `expire` calls one
        of its functions.
    """
    use = _use_of(room, work.customer, now_ms)
    for counts in (use, room.total):
        _decay(counts, now_ms)
        counts.asked += 1.0
    if not room.waiting_count and _has_room(room, work):
        _take(room, use, work)
        return True
    wait_ms = expected_wait_ms(room, work)
    if now_ms + wait_ms > work.start_by_ms:
        return _refusal(RefusalReason.UNSERVABLE, wait_ms)
    if now_ms + wait_ms > work.enter_by_ms:
        return _refusal(RefusalReason.BUSY, wait_ms)
    if len(use.waiting) >= WAITING_PER_CUSTOMER_MAX:
        return _refusal(RefusalReason.QUEUE_FULL, wait_ms)
    if room.waiting_count >= WAITING_MAX and not _displace(room, work):
        return _refusal(RefusalReason.QUEUE_FULL, wait_ms)
    position = sum(_order_in_queue(each) <= _order_in_queue(work) for each in use.waiting)
    use.waiting.insert(position, work)
    room.waiting_count += 1
    if _choose_next(room) is work and _has_room(room, work):
        _remove(room, work)
        _take(room, use, work)
        return True
    return False


def leave(room: Room, work: Work, held_ms: float) -> None:
    """Give back the places of work that has ended; `start_waiting` gives them to others."""
    room.used = max(0.0, room.used - work.places)
    room.used_ms = max(0.0, room.used_ms - _cost_ms(work))
    room.pace += PACE_WEIGHT * (held_ms / max(work.hold_ms, 1e-9) - room.pace)


def start_waiting(room: Room, now_ms: float) -> None:
    """Start waiting work as long as there is room; refuse what can no longer be served."""
    while room.waiting_count:
        work = _choose_next(room)
        if work.start_by_ms < now_ms:
            _remove(room, work)
            work.refuse(_refusal(RefusalReason.TOO_LATE, expected_wait_ms(room, work)))
            continue
        if not _has_room(room, work):
            return
        use = room.uses[work.customer]
        _remove(room, work)
        _take(room, use, work)
        work.start()


def withdraw(room: Room, work: Work) -> bool:
    """Remove work that no longer has to be done; return whether it was waiting."""
    use = room.uses.get(work.customer)
    if use is None or not any(each is work for each in use.waiting):
        return False
    _remove(room, work)
    return True


def expire(room: Room, work: Work) -> None:
    """Refuse work whose time has passed while it was waiting."""
    if withdraw(room, work):
        work.refuse(_refusal(RefusalReason.TOO_LATE, expected_wait_ms(room, work)))


def expected_wait_ms(room: Room, work: Work) -> float:
    """Estimate how long new work would wait for its places.

    Ahead of it is the waiting work of better ranks, its customer's own queue, and what the other
    customers of its rank may start meanwhile, in proportion to their weights. A starved customer
    waits only for its own queue.
    """
    is_starved = work.customer in room.uses and _is_starved(room, room.uses[work.customer])
    if not room.waiting_count and _has_room(room, work):
        return 0.0
    better_ms = own_ms = others_ms = 0.0
    other_weight = 0.0
    for name, use in room.uses.items():
        if is_starved and name != work.customer:
            continue
        same_rank = [each for each in use.waiting if each.rank == work.rank]
        better_ms += sum(_cost_ms(each) for each in use.waiting if each.rank < work.rank)
        if name == work.customer:
            own_ms = sum(_cost_ms(each) for each in same_rank)
        elif same_rank:
            others_ms += sum(_cost_ms(each) for each in same_rank)
            other_weight += same_rank[0].weight
    meanwhile_ms = (own_ms + _cost_ms(work)) * other_weight / max(work.weight, 1e-9)
    # Work that runs gives its places back one after the other.
    running_ms = min(1.0, work.places / room.used) * room.used_ms if room.used else 0.0
    ahead_ms = better_ms + own_ms + min(others_ms, meanwhile_ms) + running_ms
    return ahead_ms * room.pace / max(room.places, 1e-9)


def mark_short(state: OverloadState, service: str, until_ms: float) -> None:
    """Record a sign that a service is short of room."""
    state.short_until_ms[service] = max(state.short_until_ms.get(service, 0.0), until_ms)


def is_short(state: OverloadState, service: str, now_ms: float) -> bool:
    """Return whether a service was short of room lately; forget it if that is over."""
    until_ms = state.short_until_ms.get(service)
    if until_ms is None:
        return False
    room = state.services.get(service)
    if now_ms < until_ms or (room is not None and (room.used or room.waiting_count)):
        return True
    del state.short_until_ms[service]
    state.services.pop(service, None)
    return False


def record_legs(
    state: OverloadState, customer: str, weight: float, count: int, now_ms: float
) -> None:
    """Count legs that are sent for a customer."""
    use = state.legs.get(customer)
    if use is None:
        if len(state.legs) >= CUSTOMERS_MAX:
            del state.legs[min(state.legs, key=lambda name: state.legs[name].counted_at_ms)]
        use = state.legs[customer] = LegUse(weight, now_ms)
    use.legs = _legs_now(use, now_ms) + count
    use.weight, use.counted_at_ms = weight, now_ms


def may_send_extra(
    state: OverloadState, customer: str, tokens: float, burst: float, now_ms: float
) -> bool:
    """Return whether an extra leg for a customer may use the budget.

    While the budget is short, a customer with far more legs for its weight than the others gives
    way.
    """
    if tokens >= EXTRA_RESERVE_SHARE * burst or customer not in state.legs:
        return True
    other_legs = other_weight = 0.0
    for name, use in state.legs.items():
        legs = _legs_now(use, now_ms)
        if name != customer and legs >= 1.0:
            other_legs += legs
            other_weight += use.weight
    own = state.legs[customer]
    if not other_weight:
        return True
    return _legs_now(own, now_ms) <= FLOOD_FACTOR * other_legs * own.weight / other_weight


def waiting_work(room: Room) -> Iterator[Work]:
    """Yield the waiting work of a room, customer by customer."""
    for use in room.uses.values():
        yield from use.waiting


def _legs_now(use: LegUse, now_ms: float) -> float:
    return use.legs * math.exp((use.counted_at_ms - now_ms) / LEGS_DECAY_MS)


def _use_of(room: Room, customer: str, now_ms: float) -> CustomerUse:
    use = room.uses.get(customer)
    if use is None:
        if len(room.uses) >= CUSTOMERS_MAX:
            idle = [name for name, each in room.uses.items() if not each.waiting]
            if idle:
                del room.uses[min(idle, key=lambda name: room.uses[name].counted_at_ms)]
        use = room.uses[customer] = CustomerUse(now_ms)
    return use


def _decay(counts: CustomerUse, now_ms: float) -> None:
    weight = math.exp((counts.counted_at_ms - now_ms) / COUNT_DECAY_MS)
    counts.asked *= weight
    counts.started *= weight
    counts.counted_at_ms = now_ms


def _has_room(room: Room, work: Work) -> bool:
    """Return whether work fits; work that is larger than the room starts when it is empty."""
    return not room.used or room.used + work.places <= room.places


def _cost_ms(work: Work) -> float:
    return work.places * work.hold_ms


def _take(room: Room, use: CustomerUse, work: Work) -> None:
    start = max(room.virtual_time, use.virtual_end)
    room.virtual_time = start
    use.virtual_end = start + _cost_ms(work) / max(work.weight, 1e-9)
    room.used += work.places
    room.used_ms += _cost_ms(work)
    use.started += 1.0
    room.total.started += 1.0


def _is_starved(room: Room, use: CustomerUse) -> bool:
    if use.asked < STARVED_ASKED_MIN:
        return False
    return use.started * room.total.asked < STARVED_SHARE * room.total.started * use.asked


def _order_in_queue(work: Work) -> tuple[Rank, float]:
    return work.rank, work.start_by_ms


def _choose_next(room: Room) -> Work:
    """Return the waiting work that goes first."""

    def order(use: CustomerUse) -> tuple[bool, Rank, float, float]:
        work = use.waiting[0]
        start = max(room.virtual_time, use.virtual_end)
        return not _is_starved(room, use), work.rank, start, work.start_by_ms

    return min((use for use in room.uses.values() if use.waiting), key=order).waiting[0]


def _displace(room: Room, work: Work) -> bool:
    """Refuse the last waiting work if new work has a strictly better rank."""
    last = max(waiting_work(room), key=_order_in_queue)
    if not work.rank < last.rank:
        return False
    _remove(room, last)
    last.refuse(_refusal(RefusalReason.DISPLACED, expected_wait_ms(room, last)))
    return True


def _remove(room: Room, work: Work) -> None:
    waiting = room.uses[work.customer].waiting
    del waiting[next(index for index, each in enumerate(waiting) if each is work)]
    room.waiting_count -= 1


def _refusal(reason: RefusalReason, wait_ms: float) -> Refusal:
    return Refusal(reason, max(RETRY_AFTER_MIN_MS, wait_ms))
