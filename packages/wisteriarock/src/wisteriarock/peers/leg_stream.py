"""Streamed response to `POST /peer/v1/legs`."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from starlette.types import Receive, Scope, Send

from wisteriarock.query.models import Cancel, ExecuteLeg, LegReply, LegRequest

from .const import FLUSH_DELAY_MS, KEEPALIVE_INTERVAL_MS

LegStreamResponse = Callable[[Scope, Receive, Send], Awaitable[None]]
RunningLegs = dict[tuple[str, str], set[Cancel]]

_ENCODER = msgspec.json.Encoder()
_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-type", b"application/x-ndjson")],
}


def leg_stream(
    legs: list[LegRequest],
    sender: str,
    running_legs: RunningLegs,
    execute_leg: ExecuteLeg,
    on_sent: Callable[[int], None],
) -> LegStreamResponse:
    """Return an ASGI response that runs legs and streams the replies, one per line.

    Parameters
    ----------
    legs : list of LegRequest
        Legs to run. Their ids are not necessarily unique, as callers choose them.
    sender : str
        Instance that sent the request.
    running_legs : dict
        Cancel callbacks by sender and leg id; updated while the legs run.
    execute_leg : ExecuteLeg
        Runs a leg on an endpoint held here.
    on_sent : callable
        Called with the number of bytes written.
    """

    async def respond(scope: Scope, receive: Receive, send: Send) -> None:
        loop = asyncio.get_running_loop()
        lines: list[bytes] = []
        cancels: dict[int, Cancel] = {}
        disconnected = False
        flush_timer: asyncio.TimerHandle | None = None
        keepalive_timer: asyncio.TimerHandle
        wakeup: asyncio.Future[None] = loop.create_future()

        def wake() -> None:
            nonlocal flush_timer
            if flush_timer is not None:
                flush_timer.cancel()
                flush_timer = None
            if not wakeup.done():
                wakeup.set_result(None)

        def schedule_flush() -> None:
            nonlocal flush_timer
            if not cancels:
                wake()
            elif flush_timer is None:
                flush_timer = loop.call_later(FLUSH_DELAY_MS / 1000, wake)

        def start(index: int, leg: LegRequest) -> None:
            key = (sender, leg["leg_id"])

            def on_reply(reply: LegReply) -> None:
                unregister()
                lines.append(_ENCODER.encode(reply))
                schedule_flush()

            def cancel() -> None:
                unregister()
                cancel_leg()
                schedule_flush()

            def unregister() -> None:
                del cancels[index]
                same_id_callbacks = running_legs[key]
                same_id_callbacks.discard(cancel)
                if not same_id_callbacks:
                    del running_legs[key]

            cancels[index] = cancel
            running_legs.setdefault(key, set()).add(cancel)
            cancel_leg = execute_leg(leg, on_reply)

        async def watch_disconnect() -> None:
            """Detect that the client has disconnected: uvicorn does not cancel the handler then."""
            nonlocal disconnected
            while (await receive())["type"] != "http.disconnect":
                pass
            disconnected = True
            wake()

        def keep_alive() -> None:
            nonlocal keepalive_timer
            wake()
            keepalive_timer = loop.call_later(KEEPALIVE_INTERVAL_MS / 1000, keep_alive)

        disconnect_watch = asyncio.create_task(watch_disconnect())
        keepalive_timer = loop.call_later(KEEPALIVE_INTERVAL_MS / 1000, keep_alive)
        try:
            for index, leg in enumerate(legs):
                start(index, leg)
            # The head is sent with the first line, which avoids an extra wake-up of the reader.
            head_sent = False
            while not disconnected:
                if cancels:
                    await wakeup
                    wakeup = loop.create_future()
                if not head_sent:
                    head_sent = True
                    await send(_START)
                # With no reply to send, this writes an empty line as a keep-alive.
                has_more = bool(cancels)
                await write(send, lines, has_more)
                if not has_more:
                    break
        finally:
            disconnect_watch.cancel()
            keepalive_timer.cancel()
            for cancel_leg in list(cancels.values()):
                cancel_leg()
            wake()

    async def write(send: Send, lines: list[bytes], has_more: bool) -> None:
        chunk = b"\n".join([*lines, b""]) if lines else b"\n"
        lines.clear()
        on_sent(len(chunk))
        await send({"type": "http.response.body", "body": chunk, "more_body": has_more})

    return respond
