"""Decide at one instance whether a customer's request is within its allotment.

No request waits for a message. The instance counts, reports, and admits the share that a relay
orders; without contact to a relay it keeps to its equal share.
"""

import math
import random
from collections.abc import Iterable

from wisteriarock.catalog.models import Customer
from wisteriarock.limits.share import refill_share, try_acquire_share
from wisteriarock.limits.token_bucket import TokenBucket

from .const import (
    ALONE_EXCESS_SHARE,
    ALONE_RATE_SHARE,
    ALONE_TOLERATED_SHARE,
    COUNTED_MS,
    HEARD_MAX_MS,
    ORDER_MAX_AGE_MS,
    START_SHARE,
    UNCONFIRMED_MAX_MS,
    WAIT_MAX_MS,
    WAIT_MIN_MS,
)
from .models import Counts, LocalAllotments, Order, OrdersAnswer, Tolerance, Usage


def tolerated_excess(customer: Customer, tolerance: Tolerance) -> float:
    """Return the requests above the allotment that are tolerated in a window."""
    allotment = customer.rate_per_s * tolerance.window_s + customer.burst
    return tolerance.ratio * allotment + tolerance.fixed


def add_counts(into: dict[str, Counts], name: str, counts: Counts) -> None:
    """Add counts of a customer to those of a table."""
    old = into.get(name, Counts(0, 0))
    into[name] = Counts(
        old.asked + counts.asked, old.admitted + counts.admitted, old.back + counts.back
    )


def limit_wait_ms(wait_ms: float) -> float:
    """Return a wait within the limits of what a customer is told."""
    return min(max(wait_ms, WAIT_MIN_MS), WAIT_MAX_MS)


def is_alone(state: LocalAllotments, now_ms: float) -> bool:
    """Return whether this instance has no contact to a relay that counts its requests."""
    since_ms = state.pending_since_ms
    is_unconfirmed = since_ms is not None and now_ms - since_ms > UNCONFIRMED_MAX_MS
    return is_unconfirmed or now_ms - state.heard_at_ms > HEARD_MAX_MS


def current_order(state: LocalAllotments, name: str, now_ms: float) -> Order | None:
    """Return the order in force for a customer, None if there is none or it is too old."""
    if now_ms - state.orders_at_ms > ORDER_MAX_AGE_MS:
        return None
    return state.orders.get(name)


def try_admit(
    state: LocalAllotments,
    customer: Customer,
    sharers: float,
    now_ms: float,
    rng: random.Random,
    *,
    is_back: bool = False,
) -> float | None:
    """Admit a request, or return the time in ms after which the customer may come back.

    Parameters
    ----------
    sharers : float
        Number of instances that share the allotment.
    is_back : bool
        Whether the caller has come back after an earlier attempt.
    """
    if customer.rate_per_s <= 0:
        return None
    usage = state.usage.get(customer.name)
    if usage is None:
        usage = state.usage[customer.name] = Usage(state.started_at_ms)
        usage.share.tokens = START_SHARE * _burst_alone(state, customer) / sharers
    share = _refill_own_share(state, usage, customer, sharers, now_ms)
    order = current_order(state, customer.name, now_ms)
    is_admitted = order is None or rng.random() < (order.back_share if is_back else order.share)
    if is_alone(state, now_ms):
        is_admitted = is_admitted and try_acquire_share(share, now_ms, rng)
    elif is_admitted:
        share.tokens = max(share.tokens - 1.0, -max(1.0, share.burst))
    add_counts(state.pending, customer.name, Counts(1, int(is_admitted), int(is_back)))
    if is_admitted:
        usage.admitted += 1
        if state.pending_since_ms is None:
            state.pending_since_ms = now_ms
        return None
    usage.refused += 1
    return order.wait_ms if order else limit_wait_ms(1000.0 / customer.rate_per_s)


def _refill_own_share(
    state: LocalAllotments, usage: Usage, customer: Customer, sharers: float, now_ms: float
) -> TokenBucket:
    """Refill the equal share of this instance in the allotment of a customer."""
    rate_per_s = ALONE_RATE_SHARE * customer.rate_per_s
    return refill_share(usage.share, rate_per_s, _burst_alone(state, customer), sharers, now_ms)


def _burst_alone(state: LocalAllotments, customer: Customer) -> float:
    """Return what all instances without contact to a relay may admit at once."""
    window = customer.rate_per_s * state.tolerance.window_s
    excess = tolerated_excess(customer, state.tolerance)
    allotment = window + customer.burst
    in_window = max(
        allotment + ALONE_EXCESS_SHARE * excess, ALONE_TOLERATED_SHARE * (allotment + excess)
    )
    return in_window - ALONE_RATE_SHARE * window


def begin_call(state: LocalAllotments, relay: str, now_ms: float) -> float:
    """Note a call to a relay; return the time for which other ones may still count this instance.

    Counted at two relays, an instance would have two shares of each allotment.
    """
    state.calls.setdefault(relay, []).append(now_ms)
    untils_ms = [until for name, until in state.counted_until_ms.items() if name != relay]
    for name, starts_ms in state.calls.items():
        if name != relay:
            untils_ms.append(max(starts_ms) + COUNTED_MS)
    return max(0.0, max(untils_ms, default=now_ms) - now_ms)


def end_call(
    state: LocalAllotments, relay: str, started_at_ms: float, now_ms: float, *, is_counted: bool
) -> None:
    """Note the end of a call to a relay.

    Parameters
    ----------
    is_counted : bool
        Whether the relay may have counted this instance for the call.
    """
    state.calls[relay].remove(started_at_ms)
    if not state.calls[relay]:
        del state.calls[relay]
    if is_counted:
        until_ms = max(started_at_ms + COUNTED_MS, state.counted_until_ms.get(relay, -math.inf))
        state.counted_until_ms[relay] = until_ms
    state.counted_until_ms = {
        name: until for name, until in state.counted_until_ms.items() if until > now_ms
    }


def take_pending(state: LocalAllotments) -> dict[str, Counts]:
    """Return the counts that were not reported yet, to be reported now."""
    counts, state.pending = state.pending, {}
    return counts


def return_pending(state: LocalAllotments, counts: dict[str, Counts]) -> None:
    """Take back the counts of a report that was not answered.

    It may have arrived; counted twice, the sum of what is admitted is smaller.
    """
    for name, each in counts.items():
        add_counts(state.pending, name, each)


def confirm_pending(state: LocalAllotments, reported_at_ms: float) -> None:
    """Note that a relay has counted all requests up to a time."""
    has_more = any(each.admitted for each in state.pending.values())
    state.pending_since_ms = reported_at_ms if has_more else None


def apply_answer(state: LocalAllotments, answer: OrdersAnswer, now_ms: float) -> None:
    """Put the orders of a relay in force.

    A relay that has just begun does not know what its predecessor had ordered, and lifts nothing.
    """
    if answer.is_settled or answer.relay == state.relay:
        state.orders = dict(answer.orders)
        state.orders_at_ms = now_ms
    elif answer.orders:
        state.orders = {**state.orders, **answer.orders}
        state.orders_at_ms = now_ms
    state.relay, state.version = answer.relay, answer.version
    state.heard_at_ms = now_ms
    state.interval_ms = answer.interval_ms


def forget_customers(state: LocalAllotments, names: Iterable[str]) -> None:
    """Forget the customers that the configuration names no longer."""
    kept = set(names)
    for name in [name for name in state.usage if name not in kept]:
        del state.usage[name]
