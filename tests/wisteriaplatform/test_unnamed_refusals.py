"""Tests of refusals without the request's id, of which a late copy follows."""

import asyncio
import contextlib

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import deployment, request_bytes, send, wait_until

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class RefusingEndpoint:
    """Endpoint that refuses the first request on each connection, without its id.

    On the next request of that connection, it sends a second copy of the refusal first, and then
    runs the request.
    """

    def __init__(self) -> None:
        self.ran: set[str] = set()
        self.refused = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests on a connection."""
        is_first = True
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                await reader.readexactly(int(headers.get("Content-Length", 0)))
                writer.write(REFUSAL)
                if is_first:
                    is_first = False
                    self.refused += 1
                    continue
                request_id = headers["Request-Id"]
                self.ran.add(request_id)
                await asyncio.sleep(0.01)
                reply = (
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: s\r\n"
                    "Content-Length: 3\r\n\r\none"
                )
                writer.write(reply.encode())
        writer.close()


async def test_copy_of_a_refusal_is_not_the_next_answer():
    """Guards against a request that ran and is answered as not run."""
    endpoint = RefusingEndpoint()
    server = await asyncio.start_server(endpoint.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        async with deployment(replicas=1) as running:
            entry = running.endpoints["invoicing.0"].make_entry(address=address, born=2_000)
            running.store.put("servers/invoicing.0", entry)
            known = running.instance.directory.by_id
            await wait_until(lambda: f"127.0.0.1:{known['invoicing.0'].port}" == address)
            not_run = set()
            for number in range(8):
                raw = request_bytes("/book/x", f"r-{number}", "POST", b"one")
                response = await send(running.port, raw)
                if response.status == 503:
                    not_run.add(f"r-{number}")
            assert endpoint.refused and not_run
            assert not not_run & endpoint.ran
    finally:
        server.close()


load_tests = function_suite(globals())
