"""Control listener of a relay."""

import asyncio
import random
from fnmatch import fnmatchcase

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
from wisteriastandins.process import RunningStandIn

from .decide import control_error
from .link import Link, close_link, open_link, reset_connections, silence_connections
from .models import (
    Action,
    LinkConfig,
    LinkControl,
    LinkState,
    NewWhenCut,
    OpenWhenCut,
    RelayConfig,
)


def create_link(config: LinkConfig, seed: int) -> Link:
    """Return a link with its own random number generator and a closed listener."""
    rng = random.Random(f"{seed}/{config['name']}")
    own_config = LinkConfig(**config)
    loss_share = config.get("loss_share", 0.0)
    return Link(own_config, LinkState(config["delay_ms"], config["jitter_ms"], rng, loss_share))


async def change_link(link: Link, body: LinkControl) -> None:
    """Apply a control request to a link; raise OSError if its port cannot be reopened."""
    state = link.state
    match body["action"]:
        case Action.CUT:
            state.new_when_cut = body.get("new", NewWhenCut.REFUSE)
            if state.new_when_cut is NewWhenCut.REFUSE:
                close_link(link)
            else:
                await open_link(link)
            if body.get("open") is OpenWhenCut.SILENCE:
                silence_connections(link)
            else:
                reset_connections(link)
        case Action.HEAL:
            state.new_when_cut = None
            await open_link(link)
        case Action.SILENCE:
            silence_connections(link)
        case Action.DELAY:
            state.delay_ms, state.jitter_ms = body["delay_ms"], body["jitter_ms"]
            state.loss_share = body.get("loss_share", state.loss_share)
        case Action.CUT_AFTER_BYTES:
            state.cut_after_bytes = body["bytes"]


async def start_relay(config: RelayConfig) -> RunningStandIn:
    """Open the listeners of all links, then the control listener.

    Parameters
    ----------
    config : RelayConfig
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
    links = {entry["name"]: create_link(entry, config["seed"]) for entry in config["links"]}
    for link in links.values():
        await open_link(link)

    async def handle_control(body: LinkControl) -> Response:
        if field := control_error(body):
            return error_response(400, "invalid_field", "Needed, 0 or more.", f"$.{field}")
        matched_names = [name for name in links if fnmatchcase(name, body["match"])]
        for name in matched_names:
            try:
                await change_link(links[name], body)
            except OSError as error:
                return error_response(503, "port_not_open", f"{name}: {error}")
        return Response(200, {"matched": matched_names})

    async def handle_record(_: Request) -> Response:
        link_records = {
            name: {
                "listen_port": link.config["listen_port"],
                "open_connections": len(link.connections),
                **link.state.record,
            }
            for name, link in links.items()
        }
        return Response(200, {"links": link_records})

    routes = {
        ("POST", "/control"): json_route(LinkControl, handle_control),
        ("GET", "/record"): handle_record,
    }
    handlers, close_control = create_tracking_handlers(route_requests(routes))
    server = await listen(handlers, config["control_host"], config["control_port"])

    async def stop() -> None:
        server.close()
        close_control()
        for link in links.values():
            close_link(link)
            reset_connections(link)
        # Lets the event loop run the callbacks of the closed connections.
        await asyncio.sleep(0)

    return RunningStandIn(get_port(server), stop)
