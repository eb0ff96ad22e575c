"""Rate limits that hold for a leg: the one that its endpoint names, and that of a cold endpoint."""

from wisteriarock.balancing.models import Endpoint
from wisteriarock.limits.cold_limit import share_cold_limit, update_cold_limit
from wisteriarock.limits.const import COLD_LEG_WAIT_MAX_MS
from wisteriarock.limits.endpoint_limit import (
    EndpointLimit,
    Share,
    count_limited_leg,
    may_send,
    return_unsent,
    try_acquire,
)

from .models import Leg
from .state import DispatchState, loop_time_ms


def update_cold(state: DispatchState, endpoint: Endpoint, now_ms: float) -> EndpointLimit | None:
    """Return the current limit of a cold endpoint, None if it has none; log its start and end."""
    before = endpoint.cold_limit
    if before is None and now_ms >= endpoint.cold_until_ms:
        return None
    service = state.catalog.services.get(endpoint.service)

    def share(per_s: float, sharers: float) -> Share:
        return share_cold_limit(state.cold_bound, per_s, sharers)

    per_s = service.cold_rate_per_s if service is not None else 0.0
    # A predecessor of this process may have sent legs until just before its start.
    unused_since_ms = max(state.started_at_ms, endpoint.last_sent_at_ms)
    limit = update_cold_limit(before, per_s, endpoint.cold_until_ms, now_ms, share, unused_since_ms)
    endpoint.cold_limit = limit
    if before is None and limit is not None:
        state.log.detail(
            "endpoint_cold",
            endpoint=endpoint.endpoint_id,
            service=endpoint.service,
            per_s=per_s,
            cold_ms=endpoint.cold_until_ms - now_ms,
            sharers=state.cold_sharers(endpoint.service),
        )
    elif before is not None and limit is None:
        state.log.detail(
            "endpoint_warm",
            endpoint=endpoint.endpoint_id,
            service=endpoint.service,
            limited_ms=now_ms - before.first_named_at_ms,
            **{f"{kind}_legs": count for kind, count in before.legs.items()},
        )
    return limit


def _sharers(state: DispatchState, endpoint: Endpoint, limit: EndpointLimit) -> float | None:
    """Return the number of instances that share a limit, None if that is not known well enough."""
    if limit is endpoint.cold_limit:
        return state.cold_sharers(endpoint.service)
    return state.limit_sharers(endpoint.service)


def _is_unlimited(endpoint: Endpoint, now_ms: float) -> bool:
    """Return whether an endpoint has no limit, as most have, without looking for one."""
    is_warm = endpoint.cold_limit is None and now_ms >= endpoint.cold_until_ms
    return is_warm and endpoint.rate_limit is None


def _limits_of(state: DispatchState, endpoint: Endpoint, now_ms: float) -> list[EndpointLimit]:
    limits = (endpoint.rate_limit, update_cold(state, endpoint, now_ms))
    return [limit for limit in limits if limit is not None]


def limit_sharers(
    state: DispatchState, endpoint: Endpoint, now_ms: float
) -> list[tuple[EndpointLimit, float | None]]:
    """Return the limits of an endpoint, each with the number of instances that share it."""
    limits = _limits_of(state, endpoint, now_ms)
    return [(limit, _sharers(state, endpoint, limit)) for limit in limits]


def may_send_to(state: DispatchState, endpoint: Endpoint, now_ms: float) -> bool:
    """Return whether the limits of an endpoint may allow a leg now."""
    if _is_unlimited(endpoint, now_ms):
        return True
    for limit in _limits_of(state, endpoint, now_ms):
        sharers = _sharers(state, endpoint, limit)
        if sharers is None or not may_send(limit, sharers, now_ms):
            return False
    return True


def acquire(
    state: DispatchState,
    endpoint: Endpoint,
    now_ms: float,
    held: tuple[EndpointLimit, ...] = (),
) -> tuple[EndpointLimit, ...] | None:
    """Take a leg from all limits of an endpoint, but for those from which it is held already.

    Returns
    -------
    tuple of EndpointLimit or None
        The limits from which the leg is taken; None if one of them is used up.
    """
    if _is_unlimited(endpoint, now_ms):
        return held
    taken: list[EndpointLimit] = []
    for limit in _limits_of(state, endpoint, now_ms):
        if limit in held:
            continue
        sharers = _sharers(state, endpoint, limit)
        if sharers is None or not try_acquire(limit, sharers, now_ms, state.rng):
            for other in taken:
                return_unsent(other)
            return None
        taken.append(limit)
    return (*held, *taken)


def confirm_leg(state: DispatchState, leg: Leg) -> bool:
    """Return whether a leg that may have waited for a connection is sent.

    Limits may have come up meanwhile. A cold endpoint gets no leg that has waited for long, as
    those that were acquired over some time would reach it together.
    """
    now_ms = loop_time_ms(state)
    has_waited = now_ms - leg.sent_at_ms > COLD_LEG_WAIT_MAX_MS
    if has_waited and update_cold(state, leg.endpoint, now_ms) is not None:
        return False
    limits = acquire(state, leg.endpoint, now_ms, leg.limits)
    if limits is None:
        return False
    leg.limits = limits
    return True


def return_unsent_leg(leg: Leg) -> None:
    """Return a leg that was not sent to the limits from which it was taken."""
    limits, leg.limits = leg.limits, ()
    for limit in limits:
        return_unsent(limit)


def count_leg(state: DispatchState, leg: Leg) -> None:
    """Record that a leg was sent, and count it if its endpoint has a limit."""
    kind, endpoint = leg.kind.value, leg.endpoint
    endpoint.last_sent_at_ms = loop_time_ms(state)
    for limit, name in ((endpoint.rate_limit, "limited_legs"), (endpoint.cold_limit, "cold_legs")):
        if limit is not None:
            count_limited_leg(limit, kind)
            state.counters.count(name, kind)
