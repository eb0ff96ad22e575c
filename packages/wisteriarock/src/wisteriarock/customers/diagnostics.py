"""What operators see of customers, without keys or their digests."""

from typing import Any

from wisteriarock.catalog.models import Catalog
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog

from .const import DUMPED_CUSTOMERS_MAX, LOGGED_CUSTOMERS_MAX
from .decide import current_order, is_alone
from .models import LocalAllotments, Totals


def report_odd_customers(catalog: Catalog, log: EventLog, counters: Counters) -> None:
    """Log and count what the configuration in force names for customers but cannot mean."""
    configuration = catalog.configuration
    reasons = list(configuration.odd_customers) if configuration else []
    for name in sorted(catalog.customers_with_shared_keys):
        reasons.append(f"customer {name}: a key is also that of another customer")
    if reasons:
        counters.count("odd_customers", by=len(reasons))
    for reason in reasons[:LOGGED_CUSTOMERS_MAX]:
        log.record("customer_bad", reason=reason)


def customers_diagnostics(
    catalog: Catalog, local: LocalAllotments, totals: Totals | None, now_ms: float
) -> dict[str, Any]:
    """Return the allotments, what is used of them, and the orders in force.

    Shows the customers that have sent requests here, those with the most refusals first. At a
    relay, `tokens` and `asked_per_s` are those of all instances.
    """
    names = sorted(local.usage, key=lambda name: -local.usage[name].refused)
    rows = {}
    for name in names[:DUMPED_CUSTOMERS_MAX]:
        customer, usage = catalog.customers.get(name), local.usage[name]
        order = current_order(local, name, now_ms)
        total = totals.customers.get(name) if totals else None
        rows[name] = {
            "rate_per_s": customer.rate_per_s if customer else None,
            "burst": customer.burst if customer else None,
            "admitted": usage.admitted,
            "refused_over_allotment": usage.refused,
            "admitted_share": round(order.share, 3) if order else 1.0,
            "admitted_share_later_attempts": round(order.back_share, 3) if order else 1.0,
            "own_share_tokens": round(usage.share.tokens, 2),
            "tokens": round(total.tokens, 1) if total else None,
            "asked_per_s": round(total.asked_per_s, 1) if total else None,
        }
    return {
        "relay": local.relay or None,
        "is_alone": is_alone(local, now_ms),
        "order_age_ms": round(now_ms - local.orders_at_ms) if local.orders else None,
        "customers": rows,
    }


def log_orders(totals: Totals, share: float, log: EventLog) -> None:
    """Log the orders of a relay after a change; `heard` is the share of instances it hears of."""
    for name, order in list(totals.orders.items())[:LOGGED_CUSTOMERS_MAX]:
        total = totals.customers[name]
        log.detail(
            "customer_limited",
            customer=name,
            share=order.share,
            asked_per_s=total.asked_per_s,
            tokens=total.tokens,
            heard=share,
        )
