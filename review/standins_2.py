"""Small deployment for the cases of the second review: store, servers, instances, clients.

Only the standard library is used. All addresses are loopback addresses. The instances are the
project's own programs, started with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
# Requests that an instance may send again are marked by the route's kind.
GRACE_S = 6
START_TIMEOUT_S = 20.0


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """Lines of `record.txt`, with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, int]] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        # Whether it answers all calls with 503.
        self.is_down = False
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object, lease: int = 0) -> None:
        data = (
            value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        )
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._notify(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "is_gone": True})

    def _notify(self, event: dict) -> None:
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, answer = await self._call(method, target, body)
                if self.is_down:
                    status, answer = 503, {}
                data = json.dumps(answer).encode()
                writer.write(encode(status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        if self.is_down:
            return 503, {}
        self._expire()
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        call = parts.path.removeprefix("/api/")
        revision = {"store_revision": self.revision}
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, **revision}) if item else (404, revision)
        if call == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.items[key] for key in keys[:500]]
            return 200, {"items": rows, "has_more": len(keys) > 500, **revision}
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        name, _, number = call.partition("/")
        if name == "kv-keep":
            held = self.leases.get(int(number))
            if held is None:
                return 404, {}
            self.leases[int(number)] = (time.monotonic() + held[1] / 1000, held[1])
            return 200, {"ttl_ms": held[1]}
        if name == "kv-lease-end":
            self._end_lease(int(number))
            return 200, {}
        if call == "kv-txn":
            return self._write(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        prefix = query.get("prefix", "")
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.5))
            except TimeoutError:
                self._expire()

    def _write(self, data: dict) -> tuple[int, dict]:
        for row in data.get("expected", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[row["key"]]] if item else []}
        for row in data.get("writes", ()):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in data.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


class Link:
    """The link of one machine to the store: what the store sends arrives at the link's rate.

    All connections of the machine share it. `mbps` may be changed at any time.
    """

    STEP_S = 0.01

    def __init__(self, store: Store, mbps: float) -> None:
        self.store = store
        self.mbps = mbps
        self.free_at = 0.0
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.store.address.split(":")
        try:
            store_reader, store_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        tasks = [
            asyncio.create_task(self._copy(reader, store_writer, is_paced=False)),
            asyncio.create_task(self._copy(store_reader, writer, is_paced=True)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        writer.close()
        store_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_paced: bool
    ) -> None:
        try:
            while data := await reader.read(16_384):
                if is_paced:
                    now = time.monotonic()
                    self.free_at = max(self.free_at, now) + len(data) * 8 / (self.mbps * 1e6)
                    if self.free_at - now > self.STEP_S:
                        await asyncio.sleep(self.free_at - now)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass


class Run:
    """A request on which a server began to work."""

    def __init__(self, server: str, method: str, target: str, headers: dict, body: bytes) -> None:
        self.server = server
        self.service = ""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.at = time.monotonic()

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")


class Server:
    """A server (backend) of one service.

    `work_s` is the time of a request; `answer` may be replaced to answer otherwise: it gets the run
    and returns the bytes of the answer, or None to say nothing.
    """

    def __init__(self, world: "World", service: str, number: int, zone: str) -> None:
        self.world = world
        self.service = service
        self.id = f"i-{service}-{number}"
        self.zone = zone
        self.work_s = 0.02
        self.slots = 6
        self.runs: list[Run] = []
        self.address = ""
        self.server: asyncio.Server | None = None
        self.born = int(time.time() * 1000)
        self.answer = self.answer_well
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state: str = "ready") -> None:
        self.world.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "concurrency": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                "born": self.born,
            },
        )

    def stamp(self, run: Run) -> str:
        return f"{self.id}.{run.request_id}"

    async def answer_well(self, run: Run) -> bytes | None:
        headers = {"Request-Id": run.request_id, "Server-Stamp": self.stamp(run)}
        return encode(200, headers, b"done:" + run.request_id.encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if head[1].get("expect-instance", self.id) != self.id:
                    writer.write(encode(421, {"Instance-Id": self.id, "Not-Executed": "1"}))
                    continue
                run = Run(self.id, method, target, head[1], body)
                run.service = self.service
                self.runs.append(run)
                self.world.runs.append(run)
                self.world.record.write(
                    f"run {run.request_id} at {self.id} {method} {target}"
                    f" tenant={head[1].get('tenant')} key={head[1].get('authorization')}"
                )
                await asyncio.sleep(self.work_s)
                data = await self.answer(run)
                if data is None:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


def render(template: str, values: dict) -> str:
    """Fill in a settings template: values, and values as JSON; sections are not used."""

    def look_up(match: re.Match) -> str:
        name, _, form = match[1].partition("|")
        value: object = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", look_up, template)


class Instance:
    """One process of the system."""

    def __init__(self, world: "World", number: int, zone: str, link: Link | None) -> None:
        self.world = world
        self.link = link
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}.{number + 1}"
        self.ports = free_ports(self.host, 4)
        self.process: asyncio.subprocess.Process | None = None
        self.settings = world.folder / f"{self.name}.json"
        self.log = world.folder / f"{self.name}.log"

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        front, ready, peer, _ = self.ports
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listen": {"front": f"{self.host}:{front}", "ready": f"{self.host}:{ready}"},
            "internal_port_range": [peer, peer],
            "platform": {"address": (self.link or self.world.store).address},
            "bounds": self.world.bounds,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100},
        }
        text = render((ROOT / role["template"]).read_text(), values)
        self.settings.write_text(text)
        run = role["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "WISTERIAROCK_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.world.record.write(f"start {self.name} pid {self.process.pid}")

    async def wait_ready(self) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            try:
                answer = await call(self.host, self.ports[1], "GET", "/api/ready", {}, timeout_s=1)
                if answer.status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.world.record.write(f"signal {number.name} to {self.name}")
            os.kill(self.process.pid, number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGCONT)
            os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


def free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Reply:
    """An answer as the client saw it; status 0 if the connection ended without one."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Connection:
    """A client's connection that is kept open."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> "Connection":
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    async def send(self, method: str, target: str, headers: dict, body: bytes = b"") -> None:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await self.writer.drain()

    async def receive(self) -> Reply:
        try:
            head = await read_head(self.reader)
            while head is not None and head[0].split(" ")[1] == "100":
                head = await read_head(self.reader)
            if head is None:
                return Reply(0, {}, b"")
            body = await read_body(self.reader, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            return Reply(0, {}, b"")
        return Reply(int(head[0].split(" ")[1]), head[1], body)

    def close(self) -> None:
        self.writer.close()


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply:
    """Send one request on a connection of its own."""
    async with asyncio.timeout(timeout_s):
        connection = await Connection(host, port).open()
        try:
            await connection.send(method, target, {"Host": "x", **headers}, body)
            return await connection.receive()
        finally:
            connection.close()


class World:
    """The deployment of a case."""

    def __init__(self, case: str) -> None:
        self.case_folder = ROOT / "review" / case
        self.record = Record(self.case_folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.store = Store()
        self.servers: list[Server] = []
        self.instances: list[Instance] = []
        self.runs: list[Run] = []
        self.bounds: dict[str, object] = {
            "grace_s": GRACE_S,
            "budget_ratio": 0.2,
            "budget_extra": 56,
            "budget_window_s": 10,
        }
        self.sent = 0

    async def add_server(self, service: str, number: int, zone: str = "zone-a") -> Server:
        server = Server(self, service, number, zone)
        await server.start()
        self.servers.append(server)
        return server

    async def add_instance(self, zone: str = "zone-a", mbps: float | None = None) -> Instance:
        link = None
        if mbps is not None:
            link = Link(self.store, mbps)
            await link.start()
        instance = Instance(self, len(self.instances), zone, link)
        self.instances.append(instance)
        await instance.start()
        return instance

    def configure(self, value: dict) -> None:
        self.record.write(f"operator writes version {value['version']}")
        self.store.put("op/config", value)

    def new_id(self) -> str:
        self.sent += 1
        return f"{os.getpid():x}-{self.sent:06x}"

    async def request(
        self, instance: Instance, method: str, target: str, headers: dict, body: bytes = b""
    ) -> tuple[str, Reply]:
        """Send a client's request on a new connection; return its id and answer."""
        request_id = self.new_id()
        sent = {"Request-Id": request_id, "Deadline-Ms": "5000", **headers}
        self.record.write(f"send {request_id} {method} {target} to {instance.name} {headers}")
        try:
            reply = await call(instance.host, instance.ports[0], method, target, sent, body)
        except (OSError, TimeoutError) as error:
            self.record.write(f"answer {request_id} none ({error!r})")
            return request_id, Reply(0, {}, b"")
        self.record.write(f"answer {request_id} {reply.status} {reply.body[:60]!r}")
        return request_id, reply

    async def close(self) -> None:
        for instance in self.instances:
            await instance.kill()
        for server in self.servers:
            await server.stop()
        for instance in self.instances:
            if instance.link is not None and instance.link.server is not None:
                instance.link.server.close()
        if self.store.server is not None:
            self.store.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for instance in self.instances:
                Path(keep, instance.log.name).write_bytes(instance.log.read_bytes())
        self.temporary.cleanup()


def play(case: str, story) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(case)
        try:
            async with asyncio.timeout(110):
                await world.store.start()
                problems = await story(world, trouble)
        except Exception as error:  # Whatever stops the case says nothing about the rule.
            world.record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await world.close()
        for problem in problems:
            world.record.write(f"BROKEN {problem}")
            print(problem)
        verdict = "broken" if problems else "held"
        world.record.write(f"the rule was {verdict}; trouble={trouble}")
        print(f"the rule was {verdict}; trouble={trouble}")
        return 1 if problems else 0

    sys.exit(asyncio.run(run()))
