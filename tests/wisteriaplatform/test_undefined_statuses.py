"""Tests of endpoints whose replies have a status that HTTP does not define."""

import asyncio
import contextlib

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import deployment, request_bytes, send, wait_until


class OddEndpoint:
    """Endpoint that runs each request and answers it with a fixed status."""

    def __init__(self, status: str) -> None:
        self.status = status
        self.ran = 0
        self.handlers: set[asyncio.Task[None] | None] = set()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests on a connection."""
        self.handlers.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                await reader.readexactly(int(headers.get("Content-Length", 0)))
                self.ran += 1
                reply = (
                    f"HTTP/1.1 {self.status} Odd\r\nRequest-Id: {headers['Request-Id']}\r\n"
                    "Server-Stamp: s\r\nContent-Length: 3\r\n\r\none"
                )
                writer.write(reply.encode())
        writer.close()


async def _answers(status: str) -> dict[str, tuple[int, bytes]]:
    """Return status and body of the answers while one endpoint of each service is odd."""
    endpoint = OddEndpoint(status)
    server = await asyncio.start_server(endpoint.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    answers = {}
    try:
        async with deployment() as running:
            known = running.instance.directory.by_id
            for service in ("invoicing", "shard-0"):
                name = f"{service}.0"
                entry = running.endpoints[name].make_entry(address=address, born=2_000)
                running.store.put(f"servers/{name}", entry)
                await wait_until(lambda name=name: f"127.0.0.1:{known[name].port}" == address)
            for path in ("/lookup/x", "/blend/x"):
                response = await send(running.port, request_bytes(path, f"r{path[1]}"))
                answers[path] = (response.status, response.body)
            running.store.remove("servers/invoicing.1")
            await wait_until(lambda: "invoicing.1" not in known)
            ran = endpoint.ran
            # In time for the callers' budget of 2 s only if it is not awaited any longer.
            raw = request_bytes("/book/x", "rb", "POST", b"one")
            response = await send(running.port, raw)
            answers["/book/x"] = (response.status, response.body)
            assert endpoint.ran == ran + 1
            assert not running.instance.dispatch.active
    finally:
        server.close()
        await asyncio.gather(*(each for each in endpoint.handlers if each is not None))
    return answers


async def test_reply_with_an_undefined_status_is_no_answer():
    """Guards against bytes that are no answer passed on to callers, or taken for an interim one.

    Statuses from 600 on were forwarded. Those below 100 counted as interim responses, so that the
    caller waited for the final one until its time was up.
    """
    for status in ("000", "099", "600", "999"):
        answers = await _answers(status)
        assert answers["/book/x"][0] == 502, (status, answers)
        assert answers["/lookup/x"][0] == 200 and answers["/blend/x"][0] == 200, (status, answers)


async def test_defined_failures_are_forwarded():
    """Guards against unusual failures of endpoints that are hidden from callers."""
    for status in ("500", "599"):
        assert (await _answers(status))["/book/x"] == (int(status), b"one")


load_tests = function_suite(globals())
