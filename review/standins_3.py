"""Stand-ins and helpers of the third review: backends, instances of the deploy file, callers.

Everything listens on loopback addresses. The store is the project's own stand-in.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "scores.example"


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class Request(NamedTuple):
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def now() -> float:
    return asyncio.get_running_loop().time()


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length) if length else b""


class Backend:
    """A backend as PROTOCOL.md describes it: `concurrency` at a time, a short queue, 503 beyond.

    `on_arrival` is called with the request, the port of the caller and whether it runs.
    """

    def __init__(self, name: str, service: str, zone: str = "zone-a") -> None:
        self.name, self.service, self.zone = name, service, zone
        self.concurrency, self.queue, self.work_s = 3, 12, 0.002
        self.is_leaving = False
        self.is_running = True
        self.born = 1_700_000_000_000
        self.port = 0
        self.held = 0
        self.on_arrival: Callable[[Request, int, bool], None] = lambda *_: None
        self._slots: asyncio.Semaphore | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._slots = asyncio.Semaphore(self.concurrency)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def entry(self, seq: int) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.concurrency,
            "state": "draining" if self.is_leaving else "ready",
            "cold_left_ms": 0,
            "seq": seq,
            "born": self.born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        port = writer.get_extra_info("peername")[1]
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                writer.write(await self._answer(Request(method, path, headers, body), port))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Request, port: int) -> bytes:
        assert self._slots is not None
        request_id = request.headers.get("request-id", "")
        lines = [f"Request-Id: {request_id}"]
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        if request.headers.get("expect-instance", self.name) != self.name:
            return _encode(421, lines, b"")
        if self.held >= self.concurrency + self.queue:
            self.on_arrival(request, port, False)
            return _encode(503, [*lines, "Not-Executed: 1"], b"")
        self.held += 1
        try:
            async with self._slots:
                self.on_arrival(request, port, True)
                await asyncio.sleep(self.work_s)
        finally:
            self.held -= 1
        if self.is_leaving and "Server-Leaving: 1" not in lines:
            lines.append("Server-Leaving: 1")
        lines.append(f"Server-Stamp: {self.name}.{request_id}")
        return _encode(200, lines, self.name.encode().ljust(16, b".")[:16])


def _encode(status: int, lines: list[str], body: bytes) -> bytes:
    head = "\r\n".join([f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"])
    return f"{head}\r\n\r\n".encode() + body


class Program:
    """An instance: the command of the deploy file, with settings as its template gives them."""

    def __init__(self, name: str, zone: str, folder: Path, store_port: int, **more: Any) -> None:
        self.name, self.zone = name, zone
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        settings = {
            "instance": name,
            "zone": zone,
            "front_address": f"127.0.0.1:{self.front}",
            "ready_address": f"127.0.0.1:{self.ready}",
            "peer_address": f"127.0.0.1:{self.peer}",
            "metrics_address": f"127.0.0.1:{self.metrics}",
            "store_address": f"127.0.0.1:{store_port}",
            "drain_grace_s": "6",
            "extra_ratio": "0.2",
            "extra_fixed": "198",
            "extra_window_s": "10",
            "answer_by_round_trip": True,
            **more,
        }
        self.settings_path.write_text(json.dumps(settings), encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {
            **os.environ,
            "WISTERIAROCK_CONFIG": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "-m", "wisteriaplatform",
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment, cwd=ROOT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def dump(self) -> dict[str, Any]:
        answer = await ask(self.metrics, "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n", 2.0)
        return json.loads(answer.body) if answer else {}

    async def is_ready(self) -> bool:
        answer = await ask(self.ready, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
        return answer is not None and answer.status == 200


async def ask(port: int, text: str, timeout_s: float) -> Answer | None:
    """Send a request on a new connection; None without a complete answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(text.encode("latin-1"))
                first, headers, body = await read_message(reader)
                return Answer(int(first.split(" ")[1]), headers, body)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


def owner_of_port(port: int, process_ids: list[int]) -> int | None:
    """Return which of the processes has a connection from a local port to this process.

    A backend sees the address of the machine that sends; on loopback all machines have the same
    one, so that the owner of the socket stands for it.
    """
    inode = None
    for line in Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port and fields[9] != "0":
            inode = fields[9]
    for process_id in process_ids:
        try:
            names = os.listdir(f"/proc/{process_id}/fd")
        except OSError:
            continue
        for name in names:
            try:
                if os.readlink(f"/proc/{process_id}/fd/{name}") == f"socket:[{inode}]":
                    return process_id
            except OSError:
                continue
    return None


def run_case(play: Callable[[Path, bool, Callable[[str], None]], Any], folder: Path) -> int:
    """Play a case with a temporary folder, write record.txt, and return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lines: list[str] = []
    started = None

    def record(text: str) -> None:
        nonlocal started
        at = now()
        started = at if started is None else started
        lines.append(f"{at - started:8.3f} s  {text}")

    async def limited(temporary: Path) -> int:
        async with asyncio.timeout(110):
            return await play(temporary, has_trouble, record)

    status = 2
    with tempfile.TemporaryDirectory() as name:
        try:
            status = asyncio.run(limited(Path(name)))
        except Exception as error:  # noqa: BLE001
            lines.append(f"the case could not run: {error!r}")
            status = 2
        words = {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}
        lines.append(f"trouble: {has_trouble}; exit status {status}: {words[status]}")
        text = "\n".join(lines) + "\n"
        (folder / "record.txt").write_text(text, encoding="utf-8")
        print("\n".join(lines[-12:]))
        if os.environ.get("KEEP_LOGS"):
            for each in Path(name).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / each.name).write_bytes(each.read_bytes())
    return status


if __name__ == "__main__":
    sys.exit("helpers of review/11 to review/15")
