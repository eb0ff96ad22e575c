"""Faults that concern customers, and the checks of their keys and allotments."""

import asyncio
import bisect
from collections.abc import Iterator

from .callers import Caller
from .checks import is_undisturbed
from .const import (
    ALLOTMENT_BURST,
    ALLOTMENT_PER_S,
    ALLOTTED_CALLERS,
    ALLOTTED_CUSTOMER,
    CONFIGURATION_APPLY_MS,
    CUSTOMERS,
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
)
from .models import Fault, KeyWithdrawal, Observations, Violation
from .world import SoakDeployment, configure

HOT_CALLERS = 6
HOT_PAUSE_RANGE_S = (0.0, 0.02)
# Time that a key stays withdrawn beyond that of the fault, as it is checked only after a while.
WITHDRAWAL_HOLD_S = CONFIGURATION_APPLY_MS / 1000 + 1.0


async def overuse_allotment(deployment: SoakDeployment, fault: Fault) -> None:
    """Let more callers of the customer with an allotment send many requests for a while."""
    # Their numbers are those of its callers, and apart from all others.
    number = (1 + len(deployment.observations.hot_callers)) * 1_000 * ALLOTTED_CALLERS
    callers = [
        Caller(
            number + each * ALLOTTED_CALLERS,
            fault.target,
            deployment.programs,
            deployment.observations,
        )
        for each in range(HOT_CALLERS)
    ]
    deployment.observations.hot_callers.append(number)
    for caller in callers:
        caller.pause_range_s = HOT_PAUSE_RANGE_S
    runs = [asyncio.create_task(each.run(lambda: deployment.version)) for each in callers]
    await asyncio.sleep(fault.duration_s)
    for caller in callers:
        caller.should_stop = True
    await asyncio.gather(*runs)


async def withdraw_key(deployment: SoakDeployment, fault: Fault) -> None:
    """Withdraw a key of a customer for a while."""
    keys = [key for each in CUSTOMERS.values() for key in each]
    key = keys[fault.target % len(keys)]
    if key in deployment.withdrawn_keys:
        return
    deployment.withdrawn_keys.add(key)
    confirmed_ms = deployment.now_ms()
    configure(deployment)
    await asyncio.sleep(fault.duration_s + WITHDRAWAL_HOLD_S)
    # Read the time before the return, as instances may accept the key at once.
    withdrawal = KeyWithdrawal(key, confirmed_ms, deployment.now_ms())
    deployment.withdrawn_keys.remove(key)
    deployment.observations.key_withdrawals.append(withdrawal)
    configure(deployment)


def check_customers(observations: Observations) -> Iterator[Violation]:
    """Check that endpoints learn the customer of each request, and no key.

    A caller whose key was never withdrawn may not be refused because of it.
    """
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    withdrawn = {withdrawal.key for withdrawal in observations.key_withdrawals}
    for arrival in observations.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is None:
            continue
        if arrival.customer != attempt.customer or arrival.has_key:
            detail = f"{arrival.request_id} of {attempt.customer!r} names {arrival.customer!r}"
            yield Violation("customer", detail, arrival.at_ms)
    for attempt in observations.attempts:
        if attempt.status == 401 and attempt.key not in withdrawn:
            yield Violation("key", f"{attempt.request_id} was refused", attempt.ended_ms)


def check_allotments(observations: Observations) -> Iterator[Violation]:
    """Check that requests of a customer stay within its allotment, summed over all endpoints."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    ran_ms: dict[str, float] = {}
    for arrival in sorted(observations.arrivals, key=lambda arrival: arrival.at_ms):
        if arrival.customer == ALLOTTED_CUSTOMER and arrival.stamp:
            ran_ms.setdefault(arrival.request_id, arrival.at_ms)
    window_ms = QUOTA_WINDOW_S * 1000
    allotment = ALLOTMENT_PER_S * QUOTA_WINDOW_S + ALLOTMENT_BURST
    allowed = allotment * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    times_ms = sorted(ran_ms.values())
    for index, end_ms in enumerate(times_ms):
        first = bisect.bisect_right(times_ms, end_ms - window_ms)
        if index + 1 - first <= allowed:
            continue
        # Requests that were sent before the window do not count.
        count = sum(
            1
            for request_id, at_ms in ran_ms.items()
            if end_ms - window_ms < at_ms <= end_ms
            and request_id in attempts
            and attempts[request_id].sent_ms > end_ms - window_ms
        )
        if count > allowed:
            yield Violation("allotment", f"{count} requests of {ALLOTTED_CUSTOMER}", end_ms)
            return


def check_withdrawn_keys(observations: Observations) -> Iterator[Violation]:
    """Check that a withdrawn key opens nothing once its version has to be in force."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    for arrival in observations.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is None:
            continue
        for withdrawal in observations.key_withdrawals:
            from_ms = withdrawal.confirmed_ms + CONFIGURATION_APPLY_MS
            is_late = from_ms < attempt.sent_ms and arrival.at_ms < withdrawal.to_ms
            if withdrawal.key != attempt.key or not is_late:
                continue
            if is_undisturbed(
                observations, attempt.instance, withdrawal.confirmed_ms, arrival.at_ms
            ):
                detail = f"{arrival.request_id} at {arrival.endpoint_id}"
                yield Violation("key", detail, arrival.at_ms)
