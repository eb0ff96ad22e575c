"""Callers with persistent connections, and the load balancer that distributes them."""

import asyncio
import random
from collections.abc import Callable

from wisteriastandins.users.response import read_response

from .const import (
    ALLOTTED_CALLERS,
    ALLOTTED_CUSTOMER,
    CALLER_PAUSE_RANGE_S,
    CALLER_SLACK_MS,
    CALLER_TIMEOUT_MS,
    CUSTOMERS,
    HOST,
    READY_FAILURE_LIMIT,
    READY_INTERVAL_S,
    ZONES,
)
from .models import Attempt, Observations, RequestKind
from .programs import Program

_REQUEST_KINDS = (RequestKind.SEARCH, RequestKind.LOOKUP, RequestKind.BOOK, RequestKind.PROBE)
_KIND_WEIGHTS = (6, 2, 2, 2)
# Shares of requests whose caller disconnects before the answer, and that are malformed.
DISCONNECT_SHARE = 0.04
MALFORMED_SHARE = 0.03
# Share of the searches that end endpoints, while the fault lasts.
DEADLY_SHARE = 0.05
DEADLY_PATH = "/search/deadly"
CONNECT_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 0.8


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000


async def poll_readiness(program: Program) -> None:
    """Poll the readiness of an instance, as the platform's load balancer does."""
    failure_count = READY_FAILURE_LIMIT
    while True:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                status = await _get_ready_status(program.host, program.ready_port)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        failure_count = 0 if status == 200 else failure_count + 1
        program.is_in_rotation = failure_count < READY_FAILURE_LIMIT
        await asyncio.sleep(READY_INTERVAL_S)


async def _get_ready_status(host: str, port: int) -> int:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        return int((await reader.readuntil(b"\r\n")).split()[1])
    finally:
        writer.close()


def _choose_program(programs: list[Program], zone: str, rng: random.Random) -> Program:
    """Choose an instance of the zone, or of any zone if none of its instances is in rotation.

    While fewer than half of the zone's instances are in rotation, choose among all of them.
    """
    zone_programs = [program for program in programs if program.zone == zone]
    ready_programs = [program for program in zone_programs if program.is_in_rotation]
    if 2 * len(ready_programs) >= len(zone_programs) and ready_programs:
        return rng.choice(ready_programs)
    if ready_programs:
        return rng.choice(zone_programs)
    other_programs = [program for program in programs if program.is_in_rotation]
    return rng.choice(other_programs or programs)


def _encode_request(kind: RequestKind, request_id: str, version: int, key: str) -> bytes:
    """Return a proper request, which names a customer as no caller may."""
    path = {
        RequestKind.SEARCH: "/search/1",
        RequestKind.LOOKUP: "/lookup/1",
        RequestKind.BOOK: "/book/1",
        RequestKind.PROBE: f"/probe-{version}/1",
    }[kind]
    method, body = ("POST", b"one") if kind is RequestKind.BOOK else ("GET", b"")
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {CALLER_TIMEOUT_MS:.0f}\r\n{_key_header(key)}Tenant: forged\r\n{length}\r\n"
    )
    return head.encode() + body


def _key_header(key: str) -> str:
    return f"Authorization: Token {key}\r\n" if key else ""


def _encode_malformed_request(request_id: str, rng: random.Random, key: str) -> bytes:
    """Return a malformed or smuggled request, which must not reach an endpoint."""
    hidden_request = f"POST /book/2 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n\r\n"
    variants = (
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden_request,
        "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "Transfer-Encoding: chunked, identity\r\n\r\n" + hidden_request,
        "X-Long: " + "x" * 70_000 + "\r\n\r\n",
        f"Request-Id: {request_id}-2\r\n\r\n",
    )
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"{_key_header(key)}"
    )
    return (head + rng.choice(variants)).encode()


class Caller:
    """Caller with at most one open connection.

    Attributes
    ----------
    customer, key : str
        Customer that it is of, and its key.
    pause_range_s : tuple
        Range of its pauses between two requests.
    should_stop : bool
        Whether it ends after the request under way.
    """

    def __init__(
        self, number: int, seed: int, programs: list[Program], observations: Observations
    ) -> None:
        self.number = number
        self.rng = random.Random(f"{seed} caller {number}")
        self.zone = ZONES[number % len(ZONES)]
        self.programs = programs
        self.observations = observations
        is_allotted = number % ALLOTTED_CALLERS == 0
        self.customer = ALLOTTED_CUSTOMER if is_allotted else next(iter(CUSTOMERS))
        self.key = CUSTOMERS[self.customer][number // ALLOTTED_CALLERS % 2]
        self.pause_range_s = CALLER_PAUSE_RANGE_S
        self.should_stop = False
        self.request_count = 0
        self.program: Program | None = None
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def _close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def _connect(self) -> bool:
        self.program = _choose_program(self.programs, self.zone, self.rng)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                port = self.program.front_port
                self.streams = await asyncio.open_connection(self.program.host, port)
        except (OSError, TimeoutError):
            return False
        return True

    async def run(self, get_newest_version: Callable[[], int]) -> None:
        """Send requests one at a time until it should stop or the task is cancelled."""
        try:
            while not self.should_stop:
                await asyncio.sleep(self.rng.uniform(*self.pause_range_s))
                if self.streams is not None or await self._connect():
                    await self._send(get_newest_version())
        finally:
            self._close()

    async def _send(self, version: int) -> None:
        assert self.program is not None and self.streams is not None
        reader, writer = self.streams
        self.request_count += 1
        request_id = f"r{self.number}-{self.request_count}"
        if self.rng.random() < MALFORMED_SHARE:
            self.observations.malformed_ids.update((request_id, f"{request_id}-2"))
            data, kind = _encode_malformed_request(request_id, self.rng, self.key), None
        else:
            (kind,) = self.rng.choices(_REQUEST_KINDS, _KIND_WEIGHTS)
            has_key = kind is not RequestKind.PROBE
            data = _encode_request(kind, request_id, version, self.key if has_key else "")
            is_deadly_time = _now_ms() < self.observations.deadly_until_ms
            if kind is RequestKind.SEARCH and is_deadly_time and self.rng.random() < DEADLY_SHARE:
                data = data.replace(b"/search/1", DEADLY_PATH.encode())
        will_disconnect = self.rng.random() < DISCONNECT_SHARE
        timeout_ms = (
            self.rng.uniform(5, 60) if will_disconnect else CALLER_TIMEOUT_MS + 2 * CALLER_SLACK_MS
        )
        sent_ms = _now_ms()
        headers: dict[str, str] = {}
        status, body, has_disconnected = 0, b"", False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                writer.write(data)
                status, headers, body = await read_response(reader)
        except TimeoutError:
            has_disconnected = will_disconnect
        except (OSError, asyncio.IncompleteReadError):
            pass
        if status == 0 or kind is None or headers.get("connection") == "close":
            self._close()
        if kind is not None:
            attempt = Attempt(
                request_id,
                kind,
                self.program.number,
                sent_ms,
                _now_ms(),
                status,
                headers,
                body,
                version if kind is RequestKind.PROBE else 0,
                has_disconnected,
                self.customer if kind is not RequestKind.PROBE else "",
                self.key if kind is not RequestKind.PROBE else "",
            )
            self.observations.attempts.append(attempt)
