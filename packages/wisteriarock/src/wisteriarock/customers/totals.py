"""Decide at the relay of a zone which customers are near their allotment.

Each relay counts the requests of all instances: those of its members from their reports, those of
other zones from the totals of their relays. What it does not hear of makes the allotment smaller.
"""

import math
from collections import Counter
from collections.abc import Collection, Mapping

from wisteriarock.catalog.models import Customer

from .const import (
    ASKED_TIME_CONSTANT_S,
    CALM_REQUESTS_MAX,
    CALM_REQUESTS_MIN,
    CORRECTION_S,
    DEBT_MAX_S,
    EXCESS_HEARD_SHARE_MIN,
    EXCHANGE_IDLE_INTERVAL_MS,
    EXCHANGE_INTERVAL_MS,
    IDLE_MS,
    INCOMPLETE_EXCESS_FULL_S,
    INCOMPLETE_EXCESS_MIN_S,
    INCOMPLETE_RATE_EXCESS_SHARE,
    LATER_SHARE_MIN,
    MEMBER_TIMEOUT_MS,
    MEMBERS_REUSE_MS,
    ORDER_CHANGE_MIN,
    ORDER_INTERVAL_MS,
    PEER_TIMEOUT_MS,
    RELAY_DEBT_SHARE,
    RELAY_RATE_EXCESS_SHARE,
    REPORT_INTERVAL_MIN_MS,
    REPORT_INTERVAL_PER_MEMBER_MS,
    SETTLE_MS,
    UNIFORM_BACK_SHARE_MAX,
    UNIFORM_LATER_SHARE,
)
from .decide import add_counts, limit_wait_ms, tolerated_excess
from .models import Counts, CustomerTotal, Member, Order, OrdersAnswer, Outbox, Report, Totals


def count_members(totals: Totals, now_ms: float) -> dict[str, int]:
    """Return the number of instances that report to this relay, itself included, by zone."""
    if now_ms - totals.counted_at_ms < MEMBERS_REUSE_MS:
        return totals.member_counts
    totals.members = {
        name: member
        for name, member in totals.members.items()
        if now_ms - member.seen_at_ms <= MEMBER_TIMEOUT_MS and name != totals.name
    }
    counts = Counter(
        member.zone for member in totals.members.values() if member.counted_from_ms <= now_ms
    )
    counts[totals.zone] += 1
    totals.member_counts, totals.counted_at_ms = dict(counts), now_ms
    return totals.member_counts


def heard_share(totals: Totals, zone_sizes: Mapping[str, int], now_ms: float) -> float:
    """Return the share of all instances whose requests this relay counts.

    An instance that has changed its relay counts at the new one only when no other may count it.
    No zone counts for more than its instances.

    Parameters
    ----------
    zone_sizes : mapping
        Number of instances by zone, as far as it is known.
    """
    heard = Counter(count_members(totals, now_ms))
    for members, at_ms in totals.peers.values():
        if now_ms - at_ms <= PEER_TIMEOUT_MS:
            heard.update(members)
    known = sum(min(count, zone_sizes.get(zone, count)) for zone, count in heard.items())
    share = known / max(1, known, sum(zone_sizes.values()))
    if share < EXCESS_HEARD_SHARE_MIN:
        totals.incomplete_at_ms = now_ms
    return share


def _limit(totals: Totals, customer: Customer, share: float, now_ms: float) -> tuple[float, float]:
    """Return the rate that a relay gives a customer, and the debt that it allows.

    The rate has a part of the tolerated excess after a window in which nearly all instances were
    heard of; with silent ones, the excess is left for what is not known, unless it is large.
    """
    window_s = totals.tolerance.window_s
    excess = tolerated_excess(customer, totals.tolerance)
    excess_share = RELAY_RATE_EXCESS_SHARE
    if now_ms - totals.incomplete_at_ms < window_s * 1000:
        lasts_s = excess / customer.rate_per_s
        range_s = INCOMPLETE_EXCESS_FULL_S - INCOMPLETE_EXCESS_MIN_S
        part = min(1.0, max(0.0, (lasts_s - INCOMPLETE_EXCESS_MIN_S) / range_s))
        excess_share = part * INCOMPLETE_RATE_EXCESS_SHARE
    rate_per_s = customer.rate_per_s + excess_share * excess / window_s
    return share * rate_per_s, share * RELAY_DEBT_SHARE * excess


def _advance(
    total: CustomerTotal, customer: Customer, rate_per_s: float, share: float, now_ms: float
) -> None:
    elapsed_s = max(0.0, now_ms - total.updated_at_ms) / 1000
    total.tokens = min(customer.burst * share, total.tokens + rate_per_s * elapsed_s)
    decay = math.exp(-elapsed_s / ASKED_TIME_CONSTANT_S)
    total.asked_per_s *= decay
    total.back_per_s *= decay
    total.updated_at_ms = max(now_ms, total.updated_at_ms)


def record_report(
    totals: Totals,
    report: Report,
    customers: Mapping[str, Customer],
    share: float,
    now_ms: float,
) -> None:
    """Count the requests of a member, or the totals of another relay.

    Parameters
    ----------
    share : float
        Share of all instances whose requests this relay counts.
    """
    if report.members:
        totals.peers[report.sender] = (report.members, now_ms)
    else:
        counted_from_ms = now_ms + report.bound_ms
        totals.members[report.sender] = Member(report.zone, now_ms, counted_from_ms)
    for name, counts in report.counts.items():
        customer = customers.get(name)
        if customer is None or customer.rate_per_s <= 0:
            continue
        rate_per_s, debt = _limit(totals, customer, share, now_ms)
        total = totals.customers.get(name)
        if total is None:
            # Empty when the relay starts: it does not know what was admitted just before.
            total = totals.customers[name] = CustomerTotal(totals.started_at_ms)
        _advance(total, customer, rate_per_s, share, now_ms)
        floor = -debt - DEBT_MAX_S * rate_per_s
        total.tokens = max(total.tokens - counts.admitted, min(total.tokens, floor))
        total.asked_per_s += counts.asked / ASKED_TIME_CONSTANT_S
        total.back_per_s += counts.back / ASKED_TIME_CONSTANT_S
        if name not in totals.orders:
            _record_calm(total, counts)
        if not report.members:
            for outbox in totals.outboxes.values():
                add_counts(outbox.counts, name, counts)
                if outbox.since_ms is None:
                    outbox.since_ms = now_ms


def _record_calm(total: CustomerTotal, counts: Counts) -> None:
    """Count requests of a customer that is not under an order."""
    total.calm_asked += counts.asked
    total.calm_back += counts.back
    if total.calm_asked > CALM_REQUESTS_MAX:
        total.calm_back *= CALM_REQUESTS_MAX / total.calm_asked
        total.calm_asked = CALM_REQUESTS_MAX


def _short_per_s(total: CustomerTotal) -> float:
    """Return the rate of first attempts that only look like later ones, as they have less time.

    Without an order little is refused, so that few callers come back: what looks like it then has
    a short time from the start. Callers with a short time keep a part of the share of the others;
    it is small only where nearly all requests are known to have the same time.
    """
    is_uniform = (
        total.calm_asked >= CALM_REQUESTS_MIN
        and total.calm_back < UNIFORM_BACK_SHARE_MAX * total.calm_asked
    )
    short_per_s = (UNIFORM_LATER_SHARE if is_uniform else LATER_SHARE_MIN) * total.back_per_s
    calm_first = total.calm_asked - total.calm_back
    if calm_first > 0:
        first_per_s = total.asked_per_s - total.back_per_s
        short_per_s = max(short_per_s, first_per_s * total.calm_back / calm_first)
    return min(total.back_per_s, short_per_s)


def _make_order(total: CustomerTotal, rate_per_s: float, debt: float) -> Order | None:
    """Return the shares of a customer's requests to admit, None if all of them may be.

    They lead the bucket to the allowed debt within the correction time, whatever the delay of
    reports has admitted before. A caller that has come back is answered late in any case, so it
    gets what first attempts leave, those with a short time included.
    """
    above_debt = total.tokens + debt
    allowed_per_s = rate_per_s + above_debt / CORRECTION_S
    if allowed_per_s >= total.asked_per_s:
        return None
    wait_ms = 1000.0 * (1.0 + max(0.0, -above_debt)) / rate_per_s
    first_per_s = total.asked_per_s - total.back_per_s
    share = _part(allowed_per_s, first_per_s + _short_per_s(total))
    back_share = _part(allowed_per_s - share * first_per_s, total.back_per_s)
    return Order(share, limit_wait_ms(wait_ms), back_share)


def _part(allowed_per_s: float, asked_per_s: float) -> float:
    """Return the share of what is asked that is allowed."""
    if allowed_per_s <= 0:
        return 0.0
    return 1.0 if allowed_per_s >= asked_per_s else allowed_per_s / asked_per_s


def forget_idle(totals: Totals, customers: Mapping[str, Customer], now_ms: float) -> None:
    """Forget customers without a limit, and those that have sent nothing for long."""
    for name, total in list(totals.customers.items()):
        customer = customers.get(name)
        if customer is not None and customer.rate_per_s > 0:
            idle_ms = IDLE_MS + 1000 * customer.burst / customer.rate_per_s
            if now_ms - total.updated_at_ms <= idle_ms:
                continue
        del totals.customers[name]


def update_orders(
    totals: Totals,
    customers: Mapping[str, Customer],
    names: Collection[str],
    share: float,
    now_ms: float,
) -> bool:
    """Renew the orders of some customers; return whether they are to be passed on."""
    orders = dict(totals.orders)
    for name in names:
        orders.pop(name, None)
        customer, total = customers.get(name), totals.customers.get(name)
        if customer is None or total is None or customer.rate_per_s <= 0:
            continue
        rate_per_s, debt = _limit(totals, customer, share, now_ms)
        _advance(total, customer, rate_per_s, share, now_ms)
        if total.tokens > 0 and name not in totals.orders:
            # A few requests close together say little about the rate.
            continue
        order = _make_order(total, rate_per_s, debt)
        if order is not None:
            orders[name] = order
    if orders.keys() <= totals.orders.keys():
        interval_ms = max(ORDER_INTERVAL_MS, _report_interval_ms(totals, now_ms))
        is_early = now_ms - totals.changed_at_ms < interval_ms
        if is_early or not _is_changed(totals.orders, orders):
            return False
    totals.orders = orders
    totals.changed_at_ms = now_ms
    totals.version += 1
    return True


def _is_changed(before: Mapping[str, Order], after: Mapping[str, Order]) -> bool:
    if before.keys() != after.keys():
        return True
    return any(
        abs(order.share - before[name].share) > ORDER_CHANGE_MIN * before[name].share
        or abs(order.back_share - before[name].back_share) > ORDER_CHANGE_MIN
        for name, order in after.items()
    )


def _report_interval_ms(totals: Totals, now_ms: float) -> float:
    members = sum(count_members(totals, now_ms).values())
    return max(REPORT_INTERVAL_MIN_MS, REPORT_INTERVAL_PER_MEMBER_MS * members)


def make_answer(totals: Totals, now_ms: float) -> OrdersAnswer:
    """Return the answer to a member."""
    is_settled = now_ms - totals.started_at_ms >= SETTLE_MS
    return OrdersAnswer(
        totals.name,
        totals.version,
        is_settled,
        _report_interval_ms(totals, now_ms),
        totals.orders,
    )


def keep_outboxes(totals: Totals, relays: set[str]) -> None:
    """Keep one outbox for each other relay."""
    for name in totals.outboxes.keys() - relays:
        del totals.outboxes[name]
        totals.peers.pop(name, None)
    for name in relays - totals.outboxes.keys():
        totals.outboxes[name] = Outbox()


def take_totals(totals: Totals, relay: str, now_ms: float) -> Report | None:
    """Return what another relay has to be told now, None if nothing is due."""
    outbox = totals.outboxes[relay]
    interval_ms = EXCHANGE_INTERVAL_MS if outbox.counts else EXCHANGE_IDLE_INTERVAL_MS
    if now_ms - outbox.sent_at_ms < interval_ms:
        return None
    outbox.sent_at_ms = now_ms
    counts, outbox.counts, outbox.since_ms = outbox.counts, {}, None
    return Report(totals.name, totals.zone, count_members(totals, now_ms), counts)


def return_totals(
    totals: Totals, relay: str, counts: dict[str, Counts], since_ms: float, now_ms: float
) -> None:
    """Take back the totals of a message that was not answered, unless they are too old.

    A relay that has heard nothing for so long keeps to the part of its own members.
    """
    outbox = totals.outboxes.get(relay)
    if outbox is None or now_ms - since_ms > PEER_TIMEOUT_MS:
        return
    for name, each in counts.items():
        add_counts(outbox.counts, name, each)
    if counts:
        outbox.since_ms = since_ms
