"""The two customer deployments at their current sizes (design page, section 1.5)."""

from typing import Literal

from wisteriarock.bundle.models import CoverageRule, KindSpec, Priority

from .models import Customer, RequestClass, ServiceGroup

ZONES = ("zone-a", "zone-b", "zone-c")


def _kind(
    priority: Priority,
    deadline_max_ms: int,
    coverage: CoverageRule = CoverageRule.WAIT_ALL,
    idempotent: bool = True,
) -> KindSpec:
    spec = KindSpec(
        cost_per_leg=1.0,
        deadline_max_ms=deadline_max_ms,
        coverage=coverage,
        priority=priority,
        idempotent=idempotent,
        hedge=idempotent,
    )
    if coverage is CoverageRule.EARLY:
        # Normal service times end near 60 ms; replies that take longer come from stragglers.
        spec["early_after_ms"] = 150
        spec["early_min_coverage"] = 0.9
    return spec


CASCADE = Customer(
    name="cascade",
    organisations=("cascade-down", "quill-franchise"),
    zones=ZONES,
    entries_per_zone=3,
    zone_delay_ms=5.0,
    zone_jitter_ms=1.0,
    client_delay_ms=3.0,
    lots_per_shard=5,
    groups=(
        ServiceGroup("recall-desk", "desk", 20, 2, 2, 25, 6.0),
        ServiceGroup("bale-tracker", "mill", 30, 2, 2, 25, 6.0),
        ServiceGroup("invoicing", "invoice", 1, 3, 6, 100, 1.0),
        ServiceGroup("order-portal", "order", 1, 3, 6, 100, 1.0),
    ),
    classes=(
        RequestClass(
            kind="blend_finder",
            caller="fill-orders",
            organisation="cascade-down",
            spec=_kind(Priority.NORMAL, 5_000, CoverageRule.EARLY),
            weight=60,
            deadline_ms=2_000,
            groups=("recall-desk", "bale-tracker"),
            fan_out=0,
            lookup=False,
        ),
        RequestClass(
            kind="recall_screen",
            caller="recall-desk",
            organisation="cascade-down",
            spec=_kind(Priority.URGENT, 10_000),
            weight=10,
            deadline_ms=5_000,
            groups=("recall-desk", "bale-tracker"),
            fan_out=0,
            lookup=False,
        ),
        RequestClass(
            kind="invoice_lookup",
            caller="franchise-billing",
            organisation="quill-franchise",
            spec=_kind(Priority.NORMAL, 5_000, idempotent=False),
            weight=20,
            deadline_ms=2_000,
            groups=("invoicing",),
            fan_out=1,
            lookup=True,
        ),
        RequestClass(
            kind="order_lookup",
            caller="order-portal",
            organisation="quill-franchise",
            spec=_kind(Priority.NORMAL, 5_000),
            weight=10,
            deadline_ms=2_000,
            groups=("order-portal",),
            fan_out=1,
            lookup=True,
        ),
    ),
)

POPRAVKA = Customer(
    name="popravka",
    organisations=("popravka",),
    zones=ZONES,
    entries_per_zone=3,
    zone_delay_ms=4.0,
    zone_jitter_ms=1.0,
    client_delay_ms=1.0,
    lots_per_shard=5,
    groups=(
        ServiceGroup("counter", "counter", 20, 2, 2, 25, 6.0),
        ServiceGroup("booking-site", "booking", 30, 2, 2, 25, 6.0),
        ServiceGroup("archive-export", "archive", 1, 7, 3, 40, 1.0),
        ServiceGroup("old-bridge", "bridge", 1, 3, 3, 40, 1.0),
    ),
    classes=(
        RequestClass(
            kind="counter_search",
            caller="counter-desk",
            organisation="popravka",
            spec=_kind(Priority.URGENT, 2_000, CoverageRule.EARLY),
            weight=60,
            deadline_ms=1_000,
            groups=("counter", "booking-site"),
            fan_out=0,
            lookup=False,
        ),
        RequestClass(
            kind="urgent_list",
            caller="session-desk",
            organisation="popravka",
            spec=_kind(Priority.URGENT, 10_000),
            weight=10,
            deadline_ms=5_000,
            groups=("counter", "booking-site"),
            fan_out=0,
            lookup=False,
        ),
        RequestClass(
            kind="ticket_booking",
            caller="booking-site",
            organisation="popravka",
            spec=_kind(Priority.NORMAL, 5_000, idempotent=False),
            weight=15,
            deadline_ms=2_000,
            groups=("booking-site",),
            fan_out=1,
            lookup=True,
        ),
        RequestClass(
            kind="archive_export",
            caller="night-clerks",
            organisation="popravka",
            spec=_kind(Priority.BACKGROUND, 120_000),
            weight=10,
            deadline_ms=60_000,
            groups=("archive-export",),
            fan_out=1,
            lookup=False,
        ),
        RequestClass(
            kind="bridge_lookup",
            caller="old-system",
            organisation="popravka",
            spec=_kind(Priority.NORMAL, 5_000),
            weight=5,
            deadline_ms=2_000,
            groups=("old-bridge",),
            fan_out=1,
            lookup=True,
        ),
    ),
)

CustomerName = Literal["cascade", "popravka"]

CUSTOMERS = {customer.name: customer for customer in (CASCADE, POPRAVKA)}
