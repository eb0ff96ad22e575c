"""Control listener of an endpoints process."""

import time
from dataclasses import asdict
from fnmatch import fnmatchcase
from typing import Any

from wisteriastandins.http_server import (
    Request,
    Response,
    error_response,
    json_route,
    listen,
    port_of,
    route_requests,
    tracked_handlers,
)
from wisteriastandins.process import RunningStandIn, now_ms

from .changes import apply_change, change_error, create_state, lift_faults, restart
from .models import (
    Counters,
    EndpointChange,
    EndpointConfig,
    EndpointControl,
    EndpointReset,
    EndpointsConfig,
)
from .server import (
    EndpointHost,
    close_connections,
    close_listener,
    fill_slots,
    open_listener,
    silence_connections,
)


def _new_incarnation() -> str:
    return f"{time.time_ns():x}"


async def _change_host(host: EndpointHost, change: EndpointChange) -> None:
    """Apply a change to an endpoint; raise OSError if its port cannot be opened again."""
    apply_change(host.state, change, now_ms())
    fill_slots(host.state)
    if change.get("silence"):
        silence_connections(host)
    if change.get("down") or change.get("restart"):
        host.state.down = True
        close_listener(host)
        close_connections(host)
    if change.get("refuse"):
        close_listener(host)
    starts = change.get("restart") or change.get("down") is False
    if starts and host.state.down:
        restart(host.state, _new_incarnation(), now_ms())
        await open_listener(host)
    if change.get("refuse") is False and not host.state.down:
        await open_listener(host)


def describe(host: EndpointHost) -> dict[str, Any]:
    """Return counters, record and present state of an endpoint."""
    state = host.state
    return {
        "incarnation": state.incarnation,
        "port": state.config["port"],
        "down": state.down,
        "draining": state.drained_at_ms is not None,
        "busy": len(state.running),
        "waiting": len(state.waiting),
        "connections": len(host.connections),
        "counters": asdict(state.counters),
        "executed": list(state.executed.values()),
    }


async def start_endpoints(config: EndpointsConfig) -> RunningStandIn:
    """Open the listeners of all endpoints and then the control listener.

    Parameters
    ----------
    config : EndpointsConfig
        The checked configuration.

    Returns
    -------
    Started
        Port of the control listener, and the function that closes everything.

    Raises
    ------
    OSError
        A port cannot be opened.
    """
    hosts: dict[str, EndpointHost] = {}
    configured: dict[str, EndpointConfig] = {}
    for entry in config["endpoints"]:
        state = create_state(entry, config["seed"], _new_incarnation(), now_ms())
        host = hosts[entry["name"]] = EndpointHost(state)
        await open_listener(host)
        configured[entry["name"]] = {**entry, "port": state.config["port"]}

    async def control(body: EndpointControl) -> Response:
        if problem := change_error(body["set"]):
            return error_response(400, "invalid_field", problem, "$.set")
        matched = [name for name in hosts if fnmatchcase(name, body["match"])]
        for name in matched:
            try:
                await _change_host(hosts[name], body["set"])
            except OSError as error:
                return error_response(503, "port_not_open", f"{name}: {error}")
        return Response(200, {"matched": matched})

    async def record(_: Request) -> Response:
        described = {name: describe(host) for name, host in hosts.items()}
        return Response(200, {"zone": config["zone"], "endpoints": described})

    async def reset(body: EndpointReset) -> Response:
        for name, host in hosts.items():
            host.state.counters = Counters()
            host.state.executed.clear()
            if body.get("faults"):
                lift_faults(host.state, configured[name], now_ms())
                await _change_host(host, EndpointChange(refuse=False, down=False))
        return Response(200, {})

    routes = {
        ("POST", "/control"): json_route(EndpointControl, control),
        ("GET", "/record"): record,
        ("POST", "/reset"): json_route(EndpointReset, reset),
    }
    handlers, close_control = tracked_handlers(route_requests(routes))
    server = await listen(handlers, config["control_host"], config["control_port"])

    async def stop() -> None:
        server.close()
        close_control()
        for host in hosts.values():
            close_listener(host)
            close_connections(host)

    return RunningStandIn(port_of(server), stop)
