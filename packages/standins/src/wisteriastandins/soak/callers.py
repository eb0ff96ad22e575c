"""Callers: keep connections open until these are gone, and the balancer that spreads them."""

import asyncio
import random
from collections.abc import Callable

from wisteriastandins.users.response import read_response

from .const import (
    CALLER_PAUSE_S,
    CALLER_SLACK_MS,
    CALLER_WAIT_MS,
    HOST,
    READY_EVERY_S,
    READY_MISSES,
    ZONES,
)
from .models import Attempt, Observations, RequestKind
from .programs import Program

_KINDS = (RequestKind.SEARCH, RequestKind.LOOKUP, RequestKind.BOOK, RequestKind.PROBE)
_KIND_WEIGHTS = (6, 2, 2, 2)
# Share of callers that leave while they wait, and of requests that are improper.
LEAVE_SHARE = 0.04
IMPROPER_SHARE = 0.03
CONNECT_WAIT_S = 1.0
READY_WAIT_S = 0.8


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000


async def watch_ready(program: Program) -> None:
    """Ask an instance whether it is ready, as the platform's balancer does."""
    misses = READY_MISSES
    while True:
        try:
            async with asyncio.timeout(READY_WAIT_S):
                status = await _ready_status(program.ready_port)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        misses = 0 if status == 200 else misses + 1
        program.is_in_rotation = misses < READY_MISSES
        await asyncio.sleep(READY_EVERY_S)


async def _ready_status(port: int) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        return int((await reader.readuntil(b"\r\n")).split()[1])
    finally:
        writer.close()


def _choose(programs: list[Program], zone: str, rng: random.Random) -> Program:
    """Return an instance: of the own zone if that has any in rotation, else of another."""
    own = [program for program in programs if program.zone == zone]
    ready = [program for program in own if program.is_in_rotation]
    if 2 * len(ready) >= len(own) and ready:
        return rng.choice(ready)
    if ready:
        return rng.choice(own)
    others = [program for program in programs if program.is_in_rotation]
    return rng.choice(others or programs)


def _request(kind: RequestKind, request_id: str, version: int) -> bytes:
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
        f"Deadline-Ms: {CALLER_WAIT_MS:.0f}\r\n{length}\r\n"
    )
    return head.encode() + body


def _improper(request_id: str, rng: random.Random) -> bytes:
    """Return a request that must not reach an endpoint, or that hides one."""
    hidden = f"POST /book/2 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n\r\n"
    heads = (
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
        "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "Transfer-Encoding: chunked, identity\r\n\r\n" + hidden,
        "X-Long: " + "x" * 70_000 + "\r\n\r\n",
        f"Request-Id: {request_id}-2\r\n\r\n",
    )
    head = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
    return (head + rng.choice(heads)).encode()


class Caller:
    """A caller with at most one open connection."""

    def __init__(self, number: int, seed: int, programs: list[Program], seen: Observations) -> None:
        self.number = number
        self.rng = random.Random(f"{seed} caller {number}")
        self.zone = ZONES[number % len(ZONES)]
        self.programs = programs
        self.seen = seen
        self.count = 0
        self.program: Program | None = None
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def _close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def _connect(self) -> bool:
        self.program = _choose(self.programs, self.zone, self.rng)
        try:
            async with asyncio.timeout(CONNECT_WAIT_S):
                port = self.program.front_port
                self.streams = await asyncio.open_connection("127.0.0.1", port)
        except (OSError, TimeoutError):
            return False
        return True

    async def run(self, newest_version: Callable[[], int]) -> None:
        """Send requests, one after the other, for as long as the task runs."""
        try:
            while True:
                await asyncio.sleep(self.rng.uniform(*CALLER_PAUSE_S))
                if self.streams is not None or await self._connect():
                    await self._send(newest_version())
        finally:
            self._close()

    async def _send(self, version: int) -> None:
        assert self.program is not None and self.streams is not None
        reader, writer = self.streams
        self.count += 1
        request_id = f"r{self.number}-{self.count}"
        if self.rng.random() < IMPROPER_SHARE:
            self.seen.improper_ids.update((request_id, f"{request_id}-2"))
            data, kind = _improper(request_id, self.rng), None
        else:
            (kind,) = self.rng.choices(_KINDS, _KIND_WEIGHTS)
            data = _request(kind, request_id, version)
        leaves = self.rng.random() < LEAVE_SHARE
        wait_ms = self.rng.uniform(5, 60) if leaves else CALLER_WAIT_MS + 2 * CALLER_SLACK_MS
        sent_ms = _now_ms()
        headers: dict[str, str] = {}
        status, body, has_left = 0, b"", False
        try:
            async with asyncio.timeout(wait_ms / 1000):
                writer.write(data)
                status, headers, body = await read_response(reader)
        except TimeoutError:
            has_left = leaves
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
                has_left,
            )
            self.seen.attempts.append(attempt)
