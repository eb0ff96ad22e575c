"""Detects that this process stood still while endpoints may have turned cold unnoticed."""

from .const import NEWS_AFTER_PAUSE_MS, PAUSE_MIN_MS
from .state import DispatchState, loop_time_ms


def check_resumption(state: DispatchState) -> None:
    """Take endpoints with a limit while cold as cold until news has arrived, after a pause.

    Called at each request and periodically; does nothing unless a service states such a limit.
    """
    if not state.has_cold_rates:
        return
    at_ms = state.uptime_ms()
    paused_ms, state.alive_at_ms = at_ms - state.alive_at_ms, at_ms
    if paused_ms < PAUSE_MIN_MS:
        return
    state.log.record("resumed", paused_ms=paused_ms)
    cold_until_ms = loop_time_ms(state) + NEWS_AFTER_PAUSE_MS
    for endpoint in state.directory.by_id.values():
        service = state.catalog.services.get(endpoint.service)
        if service is not None and service.cold_rate_per_s:
            endpoint.cold_until_ms = max(endpoint.cold_until_ms, cold_until_ms)
