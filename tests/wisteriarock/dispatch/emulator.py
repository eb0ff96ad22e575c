"""Emulated endpoints on virtual time, for tests that run much faster than real time."""

import heapq
import itertools
import random
from collections.abc import Callable

from wisteriarock.balancing.decide import (
    mark_if_unreachable,
    mark_lost_zones,
    mark_reachable,
    observe_connect_failure,
)
from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Catalog, Route
from wisteriarock.discovery.decide import apply_entry, mark_leaving
from wisteriarock.discovery.models import Directory, EndpointEntry
from wisteriarock.dispatch.budget import ExtraLegBudget
from wisteriarock.dispatch.controller import handle_fragment, handle_request
from wisteriarock.dispatch.legs import close_abandoned_legs
from wisteriarock.dispatch.models import ReplyHead, RequestHead, WireFormat
from wisteriarock.dispatch.state import DispatchState
from wisteriarock.http.front import Answer, CallerRequest
from wisteriarock.http.models import Exchange, ExchangeFailure, Headers, Reply
from wisteriarock.observability.counters import Counters

from tests.wisteriarock.samples import make_configuration

SLOTS = 2
QUEUE_MAX = 12
RESTART_MS = 3_000.0


class Timer:
    """A timer of the virtual loop."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the timer."""
        self.is_cancelled = True


class VirtualLoop:
    """The subset of an event loop that dispatch uses, on virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Timer]] = []

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def call_at(self, when_s: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback at a time."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (max(when_s, self.now_s), next(self._order), timer))
        return timer

    def after_ms(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay."""
        return self.call_at(self.now_s + delay_ms / 1000, callback)

    def call_soon(self, callback: Callable[[], None]) -> Timer:
        """Schedule a callback as soon as possible."""
        return self.call_at(self.now_s, callback)

    def run_until_ms(self, end_ms: float) -> None:
        """Run all timers up to a time."""
        while self._heap and self._heap[0][0] * 1000 <= end_ms:
            when_s, _, timer = heapq.heappop(self._heap)
            self.now_s = when_s
            if not timer.is_cancelled:
                timer.callback()
        self.now_s = end_ms / 1000


class EmulatedEndpoint:
    """An emulated endpoint with slots and a queue.

    Attributes
    ----------
    work_ms : callable
        Returns the processing time of the next request.
    mode : str
        `ok`, `silent` (no reply), `error` (status 500), `shed` (503, not run), `refuse` (no
        connection), `other` (another endpoint has the address) or `reset` (the reply is lost).
    limit_per_s : float or None
        Rate limit that every reply names.
    senders : list of tuple
        Time in ms and instance of each arrival.
    told_at_ms : dict
        Time of the first reply that named the limit, by instance.
    deadly_ids : set of bytes
        Requests that end the endpoint when it has run them; shared by all endpoints.
    ended_at_ms : list of float
        Times at which it ended.
    """

    def __init__(self, loop: VirtualLoop, work_ms: Callable[[], float]) -> None:
        self.loop = loop
        self.work_ms = work_ms
        self.mode = "ok"
        self.limit_per_s: float | None = None
        self.busy = 0
        self.queue: list[tuple[float, Exchange, bytes]] = []
        self.paused_until_ms = 0.0
        self.arrivals: list[tuple[float, bytes]] = []
        self.senders: list[tuple[float, str]] = []
        self.told_at_ms: dict[str, float] = {}
        self.runs: list[bytes] = []
        self.deadly_ids: set[bytes] = set()
        self.ended_at_ms: list[float] = []
        self._running: list[Exchange] = []

    def end(self) -> None:
        """End with all connections, and start again after a while."""
        self.ended_at_ms.append(self.loop.time() * 1000)
        self.mode = "refuse"
        exchanges = self._running + [exchange for _, exchange, _ in self.queue]
        self._running, self.queue, self.busy = [], [], 0
        for exchange in exchanges:
            self._end_exchange(exchange, ExchangeFailure("closed by endpoint", True, True))
        self.loop.after_ms(RESTART_MS, self._start_again)

    def _start_again(self) -> None:
        self.mode = "ok"

    def receive(self, exchange: Exchange, request_id: bytes, time_left_ms: float) -> None:
        """Handle a request: answer, drop or queue it, depending on `mode`."""
        now_ms = self.loop.time() * 1000
        if self.mode == "silent":
            return
        if self.mode == "refuse":
            self._end_exchange(exchange, ExchangeFailure("closed by endpoint", True, True))
            return
        self.arrivals.append((now_ms, request_id))
        if isinstance(exchange.connection, EmulatedConnection):
            self.senders.append((now_ms, exchange.connection.sender))
        if self.mode == "other":
            self._end_exchange(exchange, Reply(421, [], b"", True))
        elif self.mode == "shed" or len(self.queue) >= QUEUE_MAX:
            self._end_exchange(exchange, Reply(503, [(b"not-run", b"1")], b"", True))
        else:
            self.queue.append((now_ms + time_left_ms, exchange, request_id))
            self._run_next()

    def _run_next(self) -> None:
        now_ms = self.loop.time() * 1000
        while self.queue and self.busy < SLOTS:
            expires_at_ms, exchange, request_id = self.queue.pop(0)
            if exchange.is_cancelled or exchange.connection is None:
                continue
            if expires_at_ms <= now_ms:
                self._end_exchange(exchange, Reply(503, [(b"not-run", b"1")], b"", True))
                continue
            self.busy += 1
            self.runs.append(request_id)
            done_ms = max(now_ms, self.paused_until_ms) + self.work_ms()
            self._running.append(exchange)
            self.loop.call_at(
                done_ms / 1000,
                lambda exchange=exchange, request_id=request_id: self._on_run_done(
                    exchange, request_id
                ),
            )

    def _on_run_done(self, exchange: Exchange, request_id: bytes) -> None:
        if exchange not in self._running:
            return
        if request_id in self.deadly_ids:
            self.end()
            return
        self._running.remove(exchange)
        self.busy -= 1
        if self.mode == "reset":
            self._end_exchange(exchange, ExchangeFailure("reset", True))
        elif self.mode == "error":
            self._end_exchange(exchange, Reply(500, [(b"proof", b"p")], b"failed", True))
        elif self.mode != "silent":
            proof = b"p%d" % len(self.runs)
            self._end_exchange(exchange, Reply(200, [(b"proof", proof)], b"A" * 16, True))
        self._run_next()

    def _end_exchange(self, exchange: Exchange, outcome: Reply | ExchangeFailure) -> None:
        if exchange.connection is None:
            return
        connection, exchange.connection = exchange.connection, None
        if isinstance(outcome, Reply) and self.limit_per_s is not None:
            outcome.headers.append((b"limit", b"%.2f" % self.limit_per_s))
            if isinstance(connection, EmulatedConnection):
                self.told_at_ms.setdefault(connection.sender, self.loop.time() * 1000)
        exchange.on_end(outcome)


class EmulatedConnection:
    """The emulated connection of one exchange."""

    def __init__(self, exchange: Exchange, sender: str) -> None:
        self.exchange = exchange
        self.sender = sender
        self.on_close: Callable[[], None] = lambda: None

    def close(self, reason: str = "closed") -> None:
        """Close the connection and end the exchange with `ExchangeFailure`."""
        if self.exchange.connection is not None:
            self.exchange.connection = None
            self.on_close()
            self.exchange.on_end(ExchangeFailure(reason, True))


class EmulatedPool:
    """Connection pool that passes exchanges to an emulated endpoint."""

    def __init__(self, emulator: "Emulator", endpoint: Endpoint) -> None:
        self.emulator = emulator
        self.endpoint = endpoint

    def has_idle_connection(self, now_ms: float) -> bool:
        """Return whether an exchange could start at once."""
        return True

    def return_waiting(self, reason: str) -> None:
        """Return no exchange, as none waits."""

    def send(self, exchange: Exchange) -> None:
        """Send an exchange."""
        target = self.emulator.endpoints[self.endpoint.endpoint_id]
        if target.mode == "refuse":
            observe_connect_failure(self.endpoint)
            exchange.on_end(ExchangeFailure("connect failed", False))
            return
        data = exchange.encode()
        if data is None:
            exchange.on_end(ExchangeFailure("not sent", False))
            return
        exchange.connection = EmulatedConnection(exchange, self.emulator.name)
        exchange.on_sent()
        request_id, time_left_ms = data.split(b" ")
        self.emulator.loop.after_ms(
            0.5, lambda: target.receive(exchange, request_id, float(time_left_ms))
        )


class PeerPool:
    """Connections to an emulated gatherer.

    Attributes
    ----------
    mode : str
        `ok`, `frozen` (accepts nothing), `refuse` (no connection), `draining` (status 503) or
        `killed` (the connection is reset while the fragment is in progress).
    """

    def __init__(self, gatherer: "Emulator") -> None:
        self.gatherer = gatherer
        self.mode = "ok"
        self.accepted = 0

    def send(self, exchange: Exchange) -> None:
        """Offer an exchange, and hand its body over once it is accepted."""
        if self.mode == "refuse":
            exchange.on_end(ExchangeFailure("connect failed", False))
            return
        if exchange.encode() is None:
            exchange.on_end(ExchangeFailure("not sent", False))
            return
        exchange.connection = EmulatedConnection(exchange, "")
        if self.mode != "frozen":
            self.gatherer.loop.after_ms(0.4, lambda: self._accept(exchange))

    def _accept(self, exchange: Exchange) -> None:
        if exchange.connection is None or exchange.on_continue is None:
            return
        chunk = exchange.on_continue()
        if chunk is None:
            return
        self.accepted += 1
        body = chunk.split(b"\r\n")[1]

        def respond(answer: Answer) -> None:
            reply = Reply(answer.status, answer.headers, answer.body, True)
            self.gatherer.loop.after_ms(0.2, lambda: self._end(exchange, reply))

        if self.mode == "draining":
            respond(Answer(503, [], b"not serving"))
            return
        now_ms = self.gatherer.loop.time() * 1000
        request = CallerRequest(b"POST", b"/fragment", [], body, now_ms, False)
        cancel = handle_fragment(self.gatherer.state, request, respond)
        exchange.connection.on_close = cancel  # type: ignore[attr-defined]
        if self.mode == "killed":
            reset = ExchangeFailure("reset", True)
            self.gatherer.loop.after_ms(5.0, cancel)
            self.gatherer.loop.after_ms(5.0, lambda: self._end(exchange, reset))

    def _end(self, exchange: Exchange, outcome: Reply | ExchangeFailure) -> None:
        if exchange.connection is not None:
            exchange.connection = None
            exchange.on_end(outcome)


class RecordingLog:
    """Event log that records events in memory."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def detail(self, event: str, **fields: object) -> None:
        """Record an event."""
        self.events.append((event, fields))

    record = detail


def _read_reply(status: int, headers: Headers) -> ReplyHead:
    header_values = dict(headers)
    return ReplyHead(
        b"",
        header_values.get(b"proof", b""),
        b"not-run" in header_values,
        status == 421,
        False,
        float(header_values[b"limit"]) if b"limit" in header_values else None,
        b"leaving" in header_values,
        float(header_values.get(b"pause", 0)),
    )


def _create_wire_format(path: str, time_left_ms: float) -> WireFormat:
    def read_request(request: CallerRequest) -> RequestHead:
        return RequestHead(request.target, "shop.example", path, time_left_ms)

    return WireFormat(
        read_request,
        lambda request: request.target,
        lambda template, _, time_left_ms, __: b"%s %.3f" % (template, time_left_ms),
        _read_reply,
        lambda headers: headers,
        lambda proofs, missing: [(b"parts", b"%d" % len(proofs)), (b"missing", b"%d" % missing)],
        lambda after_ms: [(b"retry", b"%.0f" % after_ms)],
        lambda request, customer: request,
        [],
        frozenset({429, 503}),
    )


class Emulator:
    """An instance with emulated endpoints and callers on virtual time."""

    def __init__(
        self,
        route: Route,
        replicas: int = 2,
        work_ms: float = 20.0,
        time_left_ms: float = 1_500.0,
        seed: int = 1,
        extra: float = 50.0,
        name: str = "front-1",
        shared: "Emulator | None" = None,
        instances: int = 10,
    ) -> None:
        self.loop = shared.loop if shared is not None else VirtualLoop()
        self.name = name
        self.rng = random.Random(seed)
        self.route = route
        self.endpoints: dict[str, EmulatedEndpoint] = {}
        self.answers: dict[bytes, tuple[float, Answer]] = {}
        self.log = RecordingLog()
        self.misdirected: list[str] = []
        self.gatherer_pools: dict[str, PeerPool] = {}
        catalog, self.directory = Catalog(), Directory()
        adopt(catalog, make_configuration(1, route), 0.0)
        services = route.shards or tuple(target.service for target in route.targets)
        self.deadly_ids: set[bytes] = set()
        for service in services:
            for number in range(replicas):
                name = f"{service}/{number}"
                zone = "zone-a" if number == 0 else "zone-b"
                apply_entry(
                    self.directory,
                    EndpointEntry(name, service, "10.0.0.1", 1, zone, SLOTS, False, 0.0, 1),
                    0.0,
                )
                random_work_ms = self._randomise_work_ms(work_ms)
                self.endpoints[name] = (
                    EmulatedEndpoint(self.loop, random_work_ms)
                    if shared is None
                    else shared.endpoints[name]
                )
                if shared is None:
                    self.endpoints[name].deadly_ids = self.deadly_ids
        self.budget = ExtraLegBudget(0.2, extra, 10.0, instances)
        self.state = DispatchState(
            self.loop,  # type: ignore[arg-type]
            name,
            "zone-a",
            catalog,
            self.directory,
            self.budget,
            _create_wire_format(route.prefix + "1", time_left_ms),
            lambda endpoint: EmulatedPool(self, endpoint),  # type: ignore[arg-type,return-value]
            lambda gatherer: self.gatherer_pools[gatherer.name],  # type: ignore[arg-type,return-value]
            lambda endpoint: self.misdirected.append(endpoint.endpoint_id),
            lambda endpoint: mark_leaving(self.directory, endpoint) and None,
            self.log,  # type: ignore[arg-type]
            Counters(),
            random.Random(seed),
        )
        self.state.limit_sharers = lambda service: float(instances)
        self._run_housekeeping()

    def _randomise_work_ms(self, work_ms: float) -> Callable[[], float]:
        return lambda: work_ms * self.rng.uniform(0.7, 1.3)

    def _run_housekeeping(self) -> None:
        now_ms = self.loop.time() * 1000
        close_abandoned_legs(self.state, now_ms)
        mark_lost_zones(self.directory.by_id.values(), now_ms)
        for endpoint in self.directory.by_id.values():
            mark_if_unreachable(endpoint, now_ms)
            target = self.endpoints[endpoint.endpoint_id]
            if endpoint.is_unreachable and target.mode not in ("silent", "refuse"):
                mark_reachable(endpoint)
        self.loop.after_ms(100.0, self._run_housekeeping)

    def request(self, number: int, body: bytes = b"") -> Callable[[], None]:
        """Send a caller's request and return the function that disconnects the caller.

        Requests with the same body are the same but for their id.
        """
        request_id = b"r%d" % number
        now_ms = self.loop.time() * 1000

        def respond(answer: Answer) -> None:
            assert request_id not in self.answers, "a request was answered twice"
            self.answers[request_id] = (self.loop.time() * 1000 - now_ms, answer)

        request = CallerRequest(b"GET", request_id, [], body, now_ms, False)
        return handle_request(self.state, request, respond)

    def send_requests(self, count: int, interval_ms: float, first: int = 0) -> None:
        """Send requests at a constant interval and wait until the last ones have ended."""
        start_ms = self.loop.time() * 1000
        for number in range(count):
            self.loop.call_at(
                (start_ms + number * interval_ms) / 1000,
                lambda number=number: self.request(first + number) and None,
            )
        self.loop.run_until_ms(start_ms + count * interval_ms + 8_000)

    def ended_at_ms(self) -> list[float]:
        """Return the times at which endpoints ended, in order."""
        return sorted(at_ms for each in self.endpoints.values() for at_ms in each.ended_at_ms)

    def mean_answer_score(self, first: int, count: int) -> float:
        """Return the mean score of answers.

        The score of an answer is its coverage squared, or 0 if it misses the latency target.
        """
        total = 0.0
        for number in range(first, first + count):
            took_ms, answer = self.answers[b"r%d" % number]
            if answer.status == 200 and took_ms <= self.route.latency_target_ms:
                parts = dict(answer.headers).get(b"parts")
                share = int(parts) / len(self.route.shards) if parts else 1.0
                total += share * share
        return total / count

    def extra_leg_share(self) -> float:
        """Return the ratio of extra arrivals to first arrivals of each request and service."""
        first = extra = 0
        services: dict[str, dict[bytes, int]] = {}
        for name, endpoint in self.endpoints.items():
            counts = services.setdefault(name.split("/")[0], {})
            for _, request_id in endpoint.arrivals:
                counts[request_id] = counts.get(request_id, 0) + 1
        for counts in services.values():
            first += len(counts)
            extra += sum(counts.values()) - len(counts)
        return extra / max(1, first)

    def max_runs_per_request(self) -> int:
        """Return the maximum number of runs of a request on a service."""
        services: dict[str, dict[bytes, int]] = {}
        for name, endpoint in self.endpoints.items():
            counts = services.setdefault(name.split("/")[0], {})
            for request_id in endpoint.runs:
                counts[request_id] = counts.get(request_id, 0) + 1
        return max((max(counts.values(), default=0) for counts in services.values()), default=0)
