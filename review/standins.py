"""Stand-ins for the platform's store, back ends and consumers, and the start of instances.

Only the standard library is used. Everything listens on loopback addresses and free ports. The
instances are started with the command and the settings template of `deploy/system.toml`.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "pupu76.example"
BOUNDS = {
    "addr_reuse_s": 2,
    "stability_window_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 56,
}
RESTART_DELAY_S = 0.5
RETENTION_S = 20.0

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run, with seconds since the start, to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Message:
    """An HTTP request or response."""

    def __init__(self, first_line: str, headers: Headers, body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader, *, until_eof: bool = False) -> Message:
    """Read one message that is framed by a length, or by the end of the connection.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection ended before the message was complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    headers: Headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if until_eof else b""
    return Message(lines[0], headers, body)


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_ports(host: str, count: int) -> list[int]:
    """Return distinct free ports of an address."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            each = stack.enter_context(socket.socket())
            each.bind((host, 0))
            ports.append(each.getsockname()[1])
        return ports


class Store:
    """The platform's store, as PROTOCOL.md describes it, with one revision counter and leases."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.discarded_revision = 100
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 77_000
        self.port = 0
        self.calls: list[tuple[float, str, int]] = []
        self._times: deque[tuple[float, int]] = deque()
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**24)
        self.port = self._server.sockets[0].getsockname()[1]

    async def put(self, key: str, value: bytes | dict[str, Any], lease: int = 0) -> None:
        """Write a key."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self._apply({key: (data, lease)}, [])

    async def remove(self, *keys: str) -> None:
        """Remove keys."""
        await self._apply({}, list(keys))

    async def _apply(self, writes: dict[str, tuple[bytes, int]], removed: list[str]) -> None:
        self.revision += 1
        self._times.append((time.monotonic(), self.revision))
        for key, (data, lease) in writes.items():
            created = self.rows[key]["created"] if key in self.rows else self.revision
            row = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.rows[key] = row
            self.history.append(row)
        for key in removed:
            if self.rows.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "is_gone": True})
        async with self._changed:
            self._changed.notify_all()

    def _discard_history(self) -> None:
        while self._times and self._times[0][0] < time.monotonic() - RETENTION_S:
            self.discarded_revision = self._times.popleft()[1]
        while self.history and self.history[0]["revision"] <= self.discarded_revision:
            self.history.pop(0)

    async def _expire_leases(self) -> None:
        now_s = time.monotonic()
        for lease in [lease for lease, (end_s, _) in self.leases.items() if end_s <= now_s]:
            await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, row in self.rows.items() if row["lease"] == lease]
        if keys:
            await self._apply({}, keys)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                request = await read_message(reader)
                status, body = await self._answer(request)
                self.calls.append((time.monotonic(), request.first_line, len(body)))
                headers = {"Content-Type": "application/json"}
                writer.write(encode_response(status, headers, body))
                await writer.drain()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        await asyncio.sleep(0.004)
        await self._expire_leases()
        method, target, _ = request.first_line.split(" ")
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        call = parts.path.removeprefix("/api/")
        name, _, last = call.partition("/")
        status, data = 404, {}
        if call == "kv-key":
            row = self.rows.get(query["key"])
            if row is not None:
                status, data = 200, {**row, "store_revision": self.revision}
        elif call == "kv-range":
            status, data = 200, self._list(query["prefix"], query.get("after", ""))
        elif call == "kv-watch":
            status, data = await self._watch(query)
        elif call == "kv-txn":
            status, data = await self._transact(json.loads(request.body))
        elif call == "kv-lease":
            self.next_lease += 1
            ttl_ms = float(json.loads(request.body)["ttl_ms"])
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            status, data = 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        elif name == "kv-keep" and int(last) in self.leases:
            _, ttl_ms = self.leases[int(last)]
            self.leases[int(last)] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            status, data = 200, {"ttl_ms": ttl_ms}
        elif name == "kv-lease-end" and method == "DELETE":
            await self._end_lease(int(last))
            status = 200
        return status, json.dumps(data).encode()

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            size += len(self.rows[key]["value"])
            if rows and (len(rows) >= 500 or size > 1_000_000):
                break
            rows.append(self.rows[key])
        return {
            "items": rows,
            "has_more": len(rows) < len(keys),
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query["prefix"], int(query["after"])

        def events() -> list[dict[str, Any]]:
            return [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        self._discard_history()
        if after < self.discarded_revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(events)
        return 200, {"events": events(), "store_revision": self.revision}

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected", ()):
            current = self.rows.get(row["key"])
            if (current["revision"] if current else 0) != row["revision"]:
                return 412, {"items": [current] if current else []}
        writes = body.get("writes", ())
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        values = {
            row["key"]: (base64.b64decode(row["value"]), row.get("lease", 0)) for row in writes
        }
        await self._apply(values, body.get("remove", []))
        return 200, {"revision": self.revision}


class Arrival:
    """A request that reached a back end.

    Attributes
    ----------
    has_run : bool
        Whether the back end began to work on it.
    """

    def __init__(self, backend: "Backend", message: Message) -> None:
        self.at_s = time.monotonic()
        self.backend = backend
        self.message = message
        self.request_id = message.headers.get("request-id", "")
        self.has_run = True


Handle = Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """A back end that registers in the store and handles requests with a function of the case."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str, handle: Handle
    ) -> None:
        self.store = store
        self.record = record
        self.backend_id = name
        self.service = service
        self.zone = zone
        self.handle = handle
        self.state = "ready"
        self.port = 0
        self.arrivals: list[Arrival] = []
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register. Later reports change only `seq`, which is no change of the entry."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.report()

    async def report(self) -> None:
        """Write the entry of the back end."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        await self.store.put(f"servers/{self.backend_id}", entry)

    async def leave(self) -> None:
        """Remove the entry and end, with all connections."""
        await self.store.remove(f"servers/{self.backend_id}")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                message = await read_message(reader)
                expected = message.headers.get("expect-instance", self.backend_id)
                if expected != self.backend_id:
                    self.record.write(f"421 at {self.backend_id}: {message.headers}")
                    writer.write(encode_response(421, {"Instance-Id": self.backend_id}))
                    continue
                arrival = Arrival(self, message)
                self.arrivals.append(arrival)
                await self.handle(arrival, writer)


def stamp(arrival: Arrival) -> str:
    """Return the proof of an answer: it names the back end and the request."""
    return f"{arrival.backend.backend_id}.{arrival.request_id}"


class Consumer:
    """A consumer with one kept connection to an instance."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record = record
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, method: str, path: str, request_id: str, time_ms: int, body: bytes = b""
    ) -> Message | None:
        """Send a request and return its answer, None if there was none."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {time_ms}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.record.write(f"sent {request_id} {method} {path}")
        try:
            async with asyncio.timeout(time_ms / 1000 + 1.0):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                reader, writer = self._streams
                writer.write(head.encode() + b"\r\n" + body)
                answer = await read_message(reader, until_eof=True)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.record.write(f"no answer {request_id}: {type(error).__name__}")
            self.close()
            return None
        shown = {
            name: value
            for name, value in answer.headers.items()
            if name not in ("content-length", "connection")
        }
        self.record.write(
            f"answered {request_id}: {answer.first_line} {shown} {answer.body[:48]!r}"
        )
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def status_of(answer: Message | None) -> int:
    """Return the status of an answer, 0 if there was none."""
    return int(answer.first_line.split(" ")[1]) if answer is not None else 0


class Instance:
    """A process of the deploy file's role, restarted after a short delay if it ends by itself."""

    def __init__(self, folder: Path, record: Record, number: int, zone: str, store: Store) -> None:
        self.name = f"front-{zone}-{number}"
        self.record = record
        # An address of its own, because the template fixes the port of the metrics.
        self.ip = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.{number + 1}"
        ports = free_ports(self.ip, 3)
        self.front = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.ends: list[int] = []
        self.process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self._should_run = False
        self._log_path = folder / f"{self.name}.log"
        self._settings_path = folder / f"{self.name}.json"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._command = role["run"].split(" ")
        fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": self.ip,
            "listen": {"front": f"{self.ip}:{ports[0]}", "ready": f"{self.ip}:{ports[1]}"},
            "internal_port_range": [ports[2], ports[2]],
            "platform": {"address": f"127.0.0.1:{store.port}"},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 0.537, "cores": 2},
        }
        template = (ROOT / role["template"]).read_text()
        self._settings_path.write_text(render(template, fields))

    async def start(self) -> None:
        """Start the process, and again each time that it ends by itself."""
        self._should_run = True
        await self._start_process()
        self._keeper = asyncio.create_task(self._keep())

    async def _start_process(self) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WISTERIAROCK_CONFIG": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"process {self.name} started")

    async def _keep(self) -> None:
        while self._should_run and self.process is not None:
            status = await self.process.wait()
            if not self._should_run:
                return
            self.ends.append(status)
            self.record.write(f"process {self.name} ended by itself with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            if self._should_run:
                await self._start_process()

    async def stop(self) -> None:
        """Kill the process."""
        self._should_run = False
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return status_of(answer) == 200

    def log_lines(self, *events: str) -> list[str]:
        """Return the log lines of some events."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(f"event={event} " in line for event in events)]


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a settings template, as the platform does."""

    def fill(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", fill, template)


def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 6000,
        "latency_target_ms": 702,
        "priority": 2,
        "max_attempts": 2,
        **more,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: dict[str, int]
) -> dict[str, Any]:
    """Return the operator's configuration; `services` has the `max_conns` of each service."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": max_conns,
                "protocol": "h1",
                "tls": False,
            }
            for name, max_conns in services.items()
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def wait_until(condition: Callable[[], Awaitable[bool]], limit_s: float) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        It did not hold in time.
    """
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.1)


async def start_instances(
    folder: Path, record: Record, store: Store, zones: list[str]
) -> list[Instance]:
    """Start one instance for each zone in the list and wait until all are ready."""
    instances = [Instance(folder, record, i, zone, store) for i, zone in enumerate(zones)]
    for instance in instances:
        await instance.start()
    for instance in instances:
        await wait_until(instance.is_ready, 20.0)
    return instances


Case = Callable[[Path, Record, bool, list[Instance]], Awaitable[bool]]


def run_case(case: Case, record_path: Path, with_trouble: bool) -> None:
    """Run a case and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run.

    The case gets a temporary folder, the record, whether to cause the disruption, and a list to
    which it adds the instances that it starts.
    """
    record = Record(record_path)
    record.write(f"disruption: {'yes' if with_trouble else 'no'}")
    instances: list[Instance] = []

    async def play(folder: Path) -> bool:
        try:
            async with asyncio.timeout(110.0):
                return await case(folder, record, with_trouble, instances)
        finally:
            for instance in instances:
                await instance.stop()

    try:
        with tempfile.TemporaryDirectory() as name:
            is_broken = asyncio.run(play(Path(name)))
    except Exception as error:  # noqa: BLE001
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    verdict = "the rule was broken" if is_broken else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if is_broken else 0)
