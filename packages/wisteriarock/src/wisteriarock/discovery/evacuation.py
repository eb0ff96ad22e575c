"""Evacuations: operators ask that nothing more is sent to the endpoints of an availability zone.

The services of a zone move one after the other, in an order that is the same at all instances, so
that their load reaches the other zones in steps.
"""

import zlib

from wisteriarock.balancing.models import Endpoint

from .const import (
    DEPARTED_TTL_MS,
    EVACUATION_SPREAD_SHARE,
    EVACUATION_WAIT_SHARE,
    RETURN_SETTLE_MS,
)
from .listing import list_endpoint, unlist_endpoint
from .models import Directory, DirectoryChange, Evacuation

_HASH_RANGE = 2**32


def begin_evacuation(
    directory: Directory, zone: str, now_ms: float, *, within_ms: float
) -> list[DirectoryChange]:
    """Begin the evacuation of a zone, unless it is known already.

    Parameters
    ----------
    within_ms : float
        Time within which requests to the zone must end; 0 if it may have passed already, so that
        all services move at once.

    Returns
    -------
    list of DirectoryChange
        The endpoints that have moved at once.
    """
    directory.unconfirmed_evacuations.pop(zone, None)
    if zone not in directory.evacuations:
        directory.evacuations[zone] = Evacuation(now_ms, within_ms)
    return advance_evacuations(directory, now_ms)


def advance_evacuations(directory: Directory, now_ms: float) -> list[DirectoryChange]:
    """Withdraw the endpoints whose service is due to move."""
    changes = []
    for zone, evacuation in directory.evacuations.items():
        if evacuation.obeyed_since_ms is not None:
            continue
        waiting = 0
        for endpoint in directory.by_id.values():
            if endpoint.zone != zone or endpoint.is_evacuated:
                continue
            if now_ms < evacuation.begun_at_ms + _delay_ms(directory, endpoint, evacuation, now_ms):
                waiting += 1
                continue
            endpoint.is_evacuated = True
            unlist_endpoint(directory, endpoint)
            changes.append(DirectoryChange("evacuated", endpoint, False))
        if not waiting:
            evacuation.obeyed_since_ms = now_ms
    return changes


def _delay_ms(
    directory: Directory, endpoint: Endpoint, evacuation: Evacuation, now_ms: float
) -> float:
    """Return the time after which the service of an endpoint moves."""
    service = endpoint.service
    position = (zlib.crc32(service.encode()) + 0.5) / _HASH_RANGE
    if _has_warm_endpoint_elsewhere(directory, service, now_ms):
        return evacuation.within_ms * EVACUATION_SPREAD_SHARE * position
    return evacuation.within_ms * EVACUATION_WAIT_SHARE


def _has_warm_endpoint_elsewhere(directory: Directory, service: str, now_ms: float) -> bool:
    return any(
        other.zone not in directory.evacuations
        and not other.is_unreachable
        and other.cold_until_ms <= now_ms
        for other in directory.by_service.get(service, ())
    )


def end_evacuation(
    directory: Directory, zone: str, now_ms: float
) -> tuple[Evacuation | None, list[DirectoryChange]]:
    """End the evacuation of a zone; return it, None if it is not known, and the changes."""
    evacuation = directory.evacuations.pop(zone, None)
    directory.unconfirmed_evacuations.pop(zone, None)
    if evacuation is not None:
        directory.ended_evacuations[zone] = now_ms
    changes = []
    for endpoint in directory.by_id.values():
        if endpoint.zone == zone and endpoint.is_evacuated:
            endpoint.is_evacuated = False
            list_endpoint(directory, endpoint)
            changes.append(DirectoryChange("returned", endpoint, False))
    return evacuation, changes


def has_ended_lately(directory: Directory, zone: str, now_ms: float) -> bool:
    """Return whether a copy of the store may show an evacuation that has ended since."""
    ended_at_ms = directory.ended_evacuations.get(zone)
    return ended_at_ms is not None and now_ms - ended_at_ms < DEPARTED_TTL_MS


def keep_unconfirmed(directory: Directory, zone: str, now_ms: float) -> None:
    """Obey an evacuation for a while that a copy of the store does not show."""
    if zone in directory.evacuations:
        directory.unconfirmed_evacuations[zone] = now_ms + RETURN_SETTLE_MS


def expired_unconfirmed(directory: Directory, now_ms: float) -> list[str]:
    """Return the zones whose evacuation was not written again in time."""
    return [
        zone for zone, until_ms in directory.unconfirmed_evacuations.items() if until_ms <= now_ms
    ]
