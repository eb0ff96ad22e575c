"""What operators see of customers, without keys or their digests."""

from wisteriarock.catalog.models import Catalog
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog

from .const import LOGGED_ODD_CUSTOMERS_MAX


def report_odd_customers(catalog: Catalog, log: EventLog, counters: Counters) -> None:
    """Log and count what the configuration in force names for customers but cannot mean."""
    configuration = catalog.configuration
    reasons = list(configuration.odd_customers) if configuration else []
    for name in sorted(catalog.customers_with_shared_keys):
        reasons.append(f"customer {name}: a key is also that of another customer")
    if reasons:
        counters.count("odd_customers", by=len(reasons))
    for reason in reasons[:LOGGED_ODD_CUSTOMERS_MAX]:
        log.record("customer_bad", reason=reason)
