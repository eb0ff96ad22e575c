"""Faults that affect the endpoints of a zone, and the checks of what must hold then."""

import asyncio
import bisect
from collections import defaultdict
from collections.abc import Iterator

from .checks import is_undisturbed
from .const import (
    COLD_OVERSHOOT,
    COLD_RATE_PER_S,
    COLD_SLACK,
    EVACUATION_MS,
    WARMUP_MS,
    ZONES,
)
from .models import ColdPeriod, Fault, Observations, Violation, ZoneEvacuation
from .world import SoakDeployment, register

# Time that an evacuation holds beyond that of the fault, as it is checked only after a while.
EVACUATION_HOLD_S = 4.0
# Shortest time for which the endpoints of a zone are down before they return cold.
DOWN_MIN_S = 1.0
COLD_WINDOW_MS = 1_000.0


def zone_of(endpoint_id: str) -> str:
    """Return the zone in which an endpoint is registered."""
    return ZONES[int(endpoint_id.rpartition(".")[2]) % len(ZONES)]


async def evacuate(deployment: SoakDeployment, fault: Fault) -> None:
    """Evacuate a zone for a while, unless it is evacuated already."""
    zone = ZONES[fault.target % len(ZONES)]
    key = f"op/evacuate/{zone}"
    if key in deployment.store.state.rows:
        return
    confirmed_ms = deployment.now_ms()
    deployment.store.put(key, {})
    await asyncio.sleep(fault.duration_s + EVACUATION_HOLD_S)
    # Read the time before the removal, as instances may use the zone at once.
    evacuation = ZoneEvacuation(zone, confirmed_ms, deployment.now_ms())
    deployment.store.remove(key)
    deployment.observations.evacuations.append(evacuation)


async def return_cold(deployment: SoakDeployment, fault: Fault) -> None:
    """Stop the endpoints of a zone, and start them together, cold, under their ids."""
    zone = ZONES[fault.target % len(ZONES)]
    stopped = [each for name, each in deployment.endpoints.items() if zone_of(name) == zone]
    for endpoint in stopped:
        await endpoint.stop()
    await asyncio.sleep(max(DOWN_MIN_S, fault.duration_s))
    deployment.last_born += 1
    for endpoint in stopped:
        if deployment.endpoints.get(endpoint.endpoint_id) is not endpoint or endpoint.is_leaving:
            continue
        from_ms = deployment.now_ms()
        await endpoint.start()
        register(deployment, endpoint, cold_left_ms=WARMUP_MS)
        deployment.observations.cold_periods.append(
            ColdPeriod(endpoint.endpoint_id, from_ms, from_ms + WARMUP_MS)
        )


def check_evacuations(observations: Observations) -> Iterator[Violation]:
    """Check that an evacuated zone gets no requests after `EVACUATION_MS`."""
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    for arrival in observations.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is None:
            continue
        for evacuation in observations.evacuations:
            from_ms = evacuation.confirmed_ms
            is_late = from_ms + EVACUATION_MS < arrival.at_ms < evacuation.to_ms
            if not is_late or zone_of(arrival.endpoint_id) != evacuation.zone:
                continue
            if is_undisturbed(observations, attempt.instance, from_ms, arrival.at_ms):
                detail = f"{arrival.request_id} at {arrival.endpoint_id}"
                yield Violation("evacuation", detail, arrival.at_ms)


def check_cold_endpoints(observations: Observations) -> Iterator[Violation]:
    """Check that cold endpoints get no more than they take, from all instances together."""
    arrivals_ms: dict[str, list[float]] = defaultdict(list)
    for arrival in observations.arrivals:
        arrivals_ms[arrival.endpoint_id].append(arrival.at_ms)
    allowed = COLD_OVERSHOOT * COLD_RATE_PER_S + COLD_SLACK
    for period in observations.cold_periods:
        times_ms = sorted(
            at_ms
            for at_ms in arrivals_ms[period.endpoint_id]
            if period.from_ms <= at_ms < period.to_ms
        )
        for index, end_ms in enumerate(times_ms):
            count = index + 1 - bisect.bisect_right(times_ms, end_ms - COLD_WINDOW_MS)
            if count > allowed:
                detail = f"{count} arrivals in a second at {period.endpoint_id}"
                yield Violation("cold", detail, end_ms)
                break
