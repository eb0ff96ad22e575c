"""The streamed answer of `POST /peer/v1/legs`."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from starlette.types import Receive, Scope, Send

from wisteriarock.query.models import Cancel, ExecuteLeg, LegReply, LegRequest

from .const import FLUSH_DELAY_MS, KEEPALIVE_MS

Respond = Callable[[Scope, Receive, Send], Awaitable[None]]
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
    running: RunningLegs,
    execute_leg: ExecuteLeg,
    on_sent: Callable[[int], None],
) -> Respond:
    """Return an ASGI response that runs legs and writes each reply as a line.

    Parameters
    ----------
    legs : list of LegRequest
        The legs, whose ids may repeat: they come from callers.
    sender : str
        The instance that asked.
    running : dict
        Sender and leg id to the closures that cancel; changed while the legs run.
    execute_leg : ExecuteLeg
        Runs a leg on an endpoint held here.
    on_sent : callable
        Called with the number of bytes written.
    """

    async def respond(scope: Scope, receive: Receive, send: Send) -> None:
        loop = asyncio.get_running_loop()
        lines: list[bytes] = []
        cancels: dict[int, Cancel] = {}
        gone = False
        flush_timer: asyncio.TimerHandle | None = None
        keepalive_timer: asyncio.TimerHandle
        waiter: asyncio.Future[None] = loop.create_future()

        def wake() -> None:
            nonlocal flush_timer
            if flush_timer is not None:
                flush_timer.cancel()
                flush_timer = None
            if not waiter.done():
                waiter.set_result(None)

        def wake_when_due() -> None:
            nonlocal flush_timer
            if not cancels:
                wake()
            elif flush_timer is None:
                flush_timer = loop.call_later(FLUSH_DELAY_MS / 1000, wake)

        def start(number: int, leg: LegRequest) -> None:
            key = (sender, leg["leg_id"])

            def on_reply(reply: LegReply) -> None:
                forget()
                lines.append(_ENCODER.encode(reply))
                wake_when_due()

            def cancel() -> None:
                forget()
                cancel_leg()
                wake_when_due()

            def forget() -> None:
                del cancels[number]
                same_id = running[key]
                same_id.discard(cancel)
                if not same_id:
                    del running[key]

            cancels[number] = cancel
            running.setdefault(key, set()).add(cancel)
            cancel_leg = execute_leg(leg, on_reply)

        async def watch_disconnect() -> None:
            """Notice that the client has gone, for which uvicorn does not cancel a handler."""
            nonlocal gone
            while (await receive())["type"] != "http.disconnect":
                pass
            gone = True
            wake()

        def keep_alive() -> None:
            nonlocal keepalive_timer
            wake()
            keepalive_timer = loop.call_later(KEEPALIVE_MS / 1000, keep_alive)

        watch = asyncio.create_task(watch_disconnect())
        keepalive_timer = loop.call_later(KEEPALIVE_MS / 1000, keep_alive)
        try:
            for number, leg in enumerate(legs):
                start(number, leg)
            # The head leaves with the first line, which spares the reader a wake-up.
            started = False
            while not gone:
                if cancels:
                    await waiter
                    waiter = loop.create_future()
                if not started:
                    started = True
                    await send(_START)
                # Without a line this writes an empty one, which shows that the stream lives.
                more = bool(cancels)
                await write(send, lines, more)
                if not more:
                    break
        finally:
            watch.cancel()
            keepalive_timer.cancel()
            for cancel_leg in list(cancels.values()):
                cancel_leg()
            wake()

    async def write(send: Send, lines: list[bytes], more: bool) -> None:
        chunk = b"\n".join([*lines, b""]) if lines else b"\n"
        lines.clear()
        on_sent(len(chunk))
        await send({"type": "http.response.body", "body": chunk, "more_body": more})

    return respond
