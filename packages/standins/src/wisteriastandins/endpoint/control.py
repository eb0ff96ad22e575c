"""Control listener of a process that runs endpoints."""

import time
from dataclasses import asdict
from fnmatch import fnmatchcase
from typing import Any

from wisteriastandins.http_server import (
    Request,
    Response,
    create_tracking_handlers,
    error_response,
    get_port,
    json_route,
    listen,
    route_requests,
)
from wisteriastandins.process import RunningStandIn, now_ms

from .changes import apply_change, change_error, clear_faults, create_state, restart
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


async def _apply_host_change(host: EndpointHost, change: EndpointChange) -> None:
    """Apply a change to an endpoint; raise OSError if its port cannot be reopened."""
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
    start_requested = change.get("restart") or change.get("down") is False
    if start_requested and host.state.down:
        restart(host.state, _new_incarnation(), now_ms())
        await open_listener(host)
    if change.get("refuse") is False and not host.state.down:
        await open_listener(host)


def describe_endpoint(host: EndpointHost) -> dict[str, Any]:
    """Return the counters, executed legs and current state of an endpoint."""
    state = host.state
    return {
        "incarnation": state.incarnation,
        "port": state.config["port"],
        "down": state.down,
        "draining": state.drain_started_at_ms is not None,
        "busy": len(state.running),
        "waiting": len(state.waiting),
        "connections": len(host.connections),
        "counters": asdict(state.counters),
        "executed": list(state.executed.values()),
    }


async def start_endpoints(config: EndpointsConfig) -> RunningStandIn:
    """Open the listeners of all endpoints, then the control listener.

    Parameters
    ----------
    config : EndpointsConfig
        The validated configuration.

    Returns
    -------
    Started
        Port of the control listener, and a function that closes all listeners and connections.

    Raises
    ------
    OSError
        A port cannot be opened.
    """
    hosts: dict[str, EndpointHost] = {}
    initial_configs: dict[str, EndpointConfig] = {}
    for endpoint_config in config["endpoints"]:
        state = create_state(endpoint_config, config["seed"], _new_incarnation(), now_ms())
        host = hosts[endpoint_config["name"]] = EndpointHost(state)
        await open_listener(host)
        initial_configs[endpoint_config["name"]] = {**endpoint_config, "port": state.config["port"]}

    async def handle_control(body: EndpointControl) -> Response:
        if message := change_error(body["set"]):
            return error_response(400, "invalid_field", message, "$.set")
        matched_names = [name for name in hosts if fnmatchcase(name, body["match"])]
        for name in matched_names:
            try:
                await _apply_host_change(hosts[name], body["set"])
            except OSError as error:
                return error_response(503, "port_not_open", f"{name}: {error}")
        return Response(200, {"matched": matched_names})

    async def handle_record(_: Request) -> Response:
        endpoints = {name: describe_endpoint(host) for name, host in hosts.items()}
        return Response(200, {"zone": config["zone"], "endpoints": endpoints})

    async def handle_reset(body: EndpointReset) -> Response:
        for name, host in hosts.items():
            host.state.counters = Counters()
            host.state.executed.clear()
            if body.get("faults"):
                clear_faults(host.state, initial_configs[name], now_ms())
                await _apply_host_change(host, EndpointChange(refuse=False, down=False))
        return Response(200, {})

    routes = {
        ("POST", "/control"): json_route(EndpointControl, handle_control),
        ("GET", "/record"): handle_record,
        ("POST", "/reset"): json_route(EndpointReset, handle_reset),
    }
    handlers, close_control = create_tracking_handlers(route_requests(routes))
    server = await listen(handlers, config["control_host"], config["control_port"])

    async def stop() -> None:
        server.close()
        close_control()
        for host in hosts.values():
            close_listener(host)
            close_connections(host)

    return RunningStandIn(get_port(server), stop)
