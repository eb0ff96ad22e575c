"""Decides which requests end endpoints, and which are refused or tried on one endpoint first."""

import zlib

from .const import (
    ENDS_MAX,
    ENDS_WITHOUT_SURVIVOR_MAX,
    PROBATION_MS,
    REQUEST_TTL_MS,
    REQUESTS_MAX,
    ROUTE_TTL_MS,
)
from .models import Notice, Quarantine


def make_fingerprint(head: bytes, body: bytes) -> str:
    """Return a checksum of a request without its id.

    It tells requests apart that differ by accident, not by intent.
    """
    content = b"%s\0%s" % (head, body)
    return f"{zlib.crc32(content):08x}{zlib.crc32(content[::-1]):08x}{len(content):x}"


def is_deadly(ends: int, survivors: int, *, is_suspected: bool) -> bool:
    """Return whether a request is to blame for the endpoints that ended under it.

    A request that any endpoint has survived is not. One end alone is weak evidence, unless other
    requests of the route have ended endpoints lately.

    Parameters
    ----------
    ends : int
        Number of endpoints that closed the connection without a reply.
    survivors : int
        Number of runs that an endpoint has survived.
    """
    return not survivors and ends >= (1 if is_suspected else ENDS_WITHOUT_SURVIVOR_MAX)


def may_send_more(ends: int, survivors: int, *, is_fan_out: bool) -> bool:
    """Return whether another leg of a request may be sent.

    After an end, a fan-out waits for a survivor. A request to a single service has no other leg to
    wait for.
    """
    if ends >= ENDS_MAX:
        return False
    return not ends or bool(survivors) or not is_fan_out


def add_notice(quarantine: Quarantine, notice: Notice, now_ms: float) -> None:
    """Suspect a route, and put a request on probation or, if it was confirmed, in quarantine."""
    quarantine.route_until_ms[notice.route] = now_ms + ROUTE_TTL_MS
    # Moves the request to the end, as the oldest ones are at the front.
    until_ms = quarantine.request_until_ms.pop(notice.fingerprint, now_ms)
    if notice.is_confirmed:
        until_ms = max(until_ms, now_ms + REQUEST_TTL_MS)
    quarantine.request_until_ms[notice.fingerprint] = until_ms
    while len(quarantine.request_until_ms) > REQUESTS_MAX:
        del quarantine.request_until_ms[next(iter(quarantine.request_until_ms))]


def is_on_probation(quarantine: Quarantine, fingerprint: str) -> bool:
    """Return whether endpoints have ended under a request before."""
    return fingerprint in quarantine.request_until_ms


def end_probation(quarantine: Quarantine, fingerprint: str) -> None:
    """Forget a request that an endpoint has survived."""
    quarantine.request_until_ms.pop(fingerprint, None)


def is_suspected(quarantine: Quarantine, route: str, fingerprint: str, now_ms: float) -> bool:
    """Return whether endpoints have ended lately under a request, or under others of its route."""
    is_route_suspected = quarantine.route_until_ms.get(route, now_ms) > now_ms
    return is_route_suspected or is_on_probation(quarantine, fingerprint)


def remaining_ms(quarantine: Quarantine, fingerprint: str, now_ms: float) -> float:
    """Return how long a request stays in quarantine, 0 if it is not."""
    return max(0.0, quarantine.request_until_ms.get(fingerprint, now_ms) - now_ms)


def expire(quarantine: Quarantine, now_ms: float) -> None:
    """Forget the routes whose quarantine, and the requests whose probation has ended."""
    routes, requests = quarantine.route_until_ms, quarantine.request_until_ms
    for route in [route for route, end_ms in routes.items() if end_ms <= now_ms]:
        del routes[route]
    probation_end_ms = now_ms - PROBATION_MS
    for name in [name for name, end_ms in requests.items() if end_ms <= probation_end_ms]:
        del requests[name]
