"""Tests of customers that compete for the slots of few endpoints, on virtual time."""

from collections.abc import Callable

from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Customer, Route
from wisteriarock.dispatch.controller import handle_request
from wisteriarock.gathering.decide import replace_gatherers
from wisteriarock.gathering.models import Gatherer
from wisteriarock.http.front import Answer, CallerRequest

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import Emulator, PeerPool
from tests.wisteriarock.samples import (
    make_configuration,
    make_fan_out_route,
    make_single_service_route,
)

ENTRIES = 6
WORK_MS = 60.0
# Three endpoints with two slots.
CAPACITY_PER_S = 6 * 1_000.0 / WORK_MS


def _name_customers(emulator: Emulator, customers: tuple[Customer, ...]) -> None:
    """Put a configuration with customers in force; a caller's key is the customer's name."""
    configuration = make_configuration(2, emulator.route)
    configuration = configuration._replace(customers=customers, needs_key=True)
    adopt(emulator.state.catalog, configuration, 0.0)
    read_request = emulator.state.wire_format.read_request

    def read_with_key(request: CallerRequest) -> object:
        head = read_request(request)
        return head._replace(key_digest=dict(request.headers)[b"key"]) if head else None

    emulator.state.wire_format = emulator.state.wire_format._replace(
        read_request=read_with_key  # type: ignore[arg-type]
    )


def _customer(name: str, rate_per_s: float = 10.0, priority: int | None = 1) -> Customer:
    return Customer(name, frozenset({name.encode()}), priority, rate_per_s, rate_per_s)


class Zone:
    """Entries of a zone, of which each takes few requests, and the gatherer that they share."""

    def __init__(self, route: Route, *customers: Customer, beside: "Zone | None" = None) -> None:
        self.gatherer = Emulator(
            route,
            3,
            WORK_MS,
            4_000.0,
            name="gatherer",
            extra=20.0,
            shared=beside.gatherer if beside else None,
        )
        self.entries = [
            Emulator(route, 3, WORK_MS, 4_000.0, n, 20.0, f"entry-{n}", self.gatherer, ENTRIES)
            for n in range(ENTRIES)
        ]
        self.answers: dict[bytes, tuple[float, Answer]] = {}
        for entry in self.entries:
            entry.gatherer_pools = {"gatherer": PeerPool(self.gatherer)}
            chosen = (Gatherer("gatherer", "10.0.0.1", 7_380, 1.0),)
            replace_gatherers(entry.state.gatherers, chosen)
        for each in (self.gatherer, *self.entries):
            _name_customers(each, customers)

    def send(self, customer: str, per_s: float, from_ms: float, to_ms: float) -> None:
        """Schedule requests of a customer, in turn to the entries."""
        for number in range(int((to_ms - from_ms) * per_s / 1_000)):
            at_ms = from_ms + number * 1_000 / per_s
            request_id = b"%s-%d" % (customer.encode(), number)
            entry = self.entries[number % ENTRIES]
            self.gatherer.loop.call_at(at_ms / 1000, self._request(entry, customer, request_id))

    def _request(self, entry: Emulator, customer: str, request_id: bytes) -> Callable[[], None]:
        def send() -> None:
            now_ms = self.gatherer.loop.time() * 1000

            def respond(answer: Answer) -> None:
                assert request_id not in self.answers, "a request was answered twice"
                self.answers[request_id] = (self.gatherer.loop.time() * 1000 - now_ms, answer)

            headers = [(b"key", customer.encode())]
            request = CallerRequest(b"GET", request_id, headers, b"", now_ms, False)
            handle_request(entry.state, request, respond)

        return send

    def took_ms(self, customer: str, status: int = 200) -> list[float]:
        """Return the times of a customer's answers with a status, in order."""
        prefix = customer.encode() + b"-"
        return sorted(
            took_ms
            for request_id, (took_ms, answer) in self.answers.items()
            if request_id.startswith(prefix) and answer.status == status
        )

    def runs(self) -> dict[bytes, int]:
        """Return the number of runs of each request."""
        counts: dict[bytes, int] = {}
        for endpoint in self.gatherer.endpoints.values():
            for request_id in endpoint.runs:
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts


def test_a_small_customer_beside_a_flood_at_few_slots():
    """Guards against a flood that fills the queues of endpoints that many instances choose.

    Pattern: a customer sends four times what the endpoints of a service can serve; each instance
    sees only a few of the requests. Another one stays within its allotment.
    """
    zone = Zone(make_single_service_route(), _customer("flood", 50.0), _customer("small", 20.0))
    zone.send("flood", 4 * CAPACITY_PER_S, 0.0, 6_000.0)
    zone.send("small", 10.0, 1_000.0, 6_000.0)
    zone.gatherer.loop.run_until_ms(12_000.0)
    small = zone.took_ms("small")
    assert len(small) >= 48, len(small)
    assert small[len(small) // 2] <= 700.0, small
    assert len(zone.took_ms("flood")) >= 0.8 * 6 * CAPACITY_PER_S
    refused = zone.took_ms("flood", 503)
    assert refused[len(refused) // 2] <= 100.0, "the flood waited before it was refused"


def test_urgent_customers_go_first_in_a_burst():
    """Guards against requests of an urgent customer that wait behind those of others."""
    zone = Zone(
        make_single_service_route(), _customer("urgent", priority=0), _customer("other", priority=1)
    )
    for customer in ("other", "urgent"):
        zone.send(customer, 1.2 * CAPACITY_PER_S, 0.0, 3_000.0)
    zone.gatherer.loop.run_until_ms(10_000.0)
    urgent, other = zone.took_ms("urgent"), zone.took_ms("other")
    assert len(urgent) > 2 * len(other) > 0
    assert urgent[len(urgent) // 2] < other[len(other) // 2]


def test_a_burst_in_one_zone_leaves_room_for_the_other():
    """Guards against a burst in one zone that takes the slots from the customers of another.

    What the other zone leaves is used: the burst gets more than its half of the slots.
    """
    route, customers = make_single_service_route(), (_customer("flood"), _customer("small"))
    busy = Zone(route, *customers)
    quiet = Zone(route, *customers, beside=busy)
    busy.send("flood", 4 * CAPACITY_PER_S, 0.0, 4_000.0)
    quiet.send("small", 0.2 * CAPACITY_PER_S, 1_000.0, 4_000.0)
    busy.gatherer.loop.run_until_ms(12_000.0)
    small = quiet.took_ms("small")
    assert len(small) >= 0.97 * 3 * 0.2 * CAPACITY_PER_S
    assert small[len(small) // 2] <= route.latency_target_ms
    assert len(busy.took_ms("flood")) >= 0.6 * 4 * CAPACITY_PER_S


def test_urgent_fan_outs_go_first_at_a_busy_gatherer():
    """Guards against urgent fan-outs that wait for the processor behind less urgent ones."""
    zone = Zone(make_fan_out_route(8), _customer("urgent", priority=0), _customer("other"))
    zone.gatherer.state.capacity_cores = 0.1
    for customer in ("other", "urgent"):
        zone.send(customer, 60.0, 0.0, 1_000.0)
    zone.gatherer.loop.run_until_ms(8_000.0)
    urgent, other = zone.took_ms("urgent"), zone.took_ms("other")
    assert len(urgent) == 60 and urgent[-1] < other[len(other) // 2]
    assert zone.gatherer.state.counters.total("overload_waits") > 0
    assert zone.gatherer.state.overload.processor.used == 0


def test_a_fan_out_without_room_at_one_gatherer_is_answered_at_once():
    """Guards against a caller that waits for parts although too many of them cannot come."""
    entry = Emulator(make_fan_out_route(40, min_coverage=0.9), extra=400.0)
    for number in range(2):
        name = f"gatherer-{number}"
        gatherer = Emulator(entry.route, name=name, shared=entry, extra=400.0)
        entry.gatherer_pools[name] = PeerPool(gatherer)
        _name_customers(gatherer, (_customer("buyer"),))
    _name_customers(entry, (_customer("buyer"),))
    busy = entry.gatherer_pools["gatherer-0"].gatherer.state.overload.processor
    busy.used, busy.used_ms = 1e6, 1e12
    chosen = tuple(Gatherer(name, "10.0.0.1", 7_380, 1.0) for name in entry.gatherer_pools)
    replace_gatherers(entry.state.gatherers, chosen)
    request = CallerRequest(b"GET", b"r0", [(b"key", b"buyer")], b"", 0.0, False)
    answers: list[Answer] = []
    handle_request(entry.state, request, answers.append)
    entry.loop.run_until_ms(10.0)
    assert [answer.status for answer in answers] == [502]
    entry.loop.run_until_ms(2_000.0)
    assert not entry.state.active and entry.extra_leg_share() == 0.0


def test_requests_that_must_not_run_twice_are_refused_truthfully():
    """Guards against a status 503 for a request that has run, and against a second run.

    Pattern: a flood of requests that are not idempotent, while the gatherer that keeps their order
    is killed.
    """
    zone = Zone(make_single_service_route(idempotent=False), _customer("flood", 50.0))
    zone.send("flood", 4 * CAPACITY_PER_S, 0.0, 3_000.0)
    zone.gatherer.loop.run_until_ms(2_000.0)
    for entry in zone.entries:
        entry.gatherer_pools["gatherer"].mode = "killed"
    zone.gatherer.loop.run_until_ms(12_000.0)
    runs = zone.runs()
    assert max(runs.values()) == 1
    refused = {each for each, (_, answer) in zone.answers.items() if answer.status == 503}
    assert refused and not refused & runs.keys()
    assert len(zone.answers) == 3 * 4 * CAPACITY_PER_S
    for each in (zone.gatherer, *zone.entries):
        assert not each.state.active
        assert all(not room.used for room in each.state.overload.services.values())


def _play_calm(route: Route, *, has_customers: bool) -> Emulator:
    """Play a calm minute of requests of one caller, which always carries its key."""
    emulator = Emulator(route)
    if has_customers:
        _name_customers(emulator, (_customer("buyer"),))

    def send(number: int) -> None:
        now_ms = emulator.loop.time() * 1000
        headers = [(b"key", b"buyer")]
        request = CallerRequest(b"GET", b"r%d" % number, headers, b"", now_ms, False)
        handle_request(emulator.state, request, lambda answer: None)

    for number in range(200):
        emulator.loop.call_at(number * 0.05, lambda number=number: send(number))
    emulator.loop.run_until_ms(60_000.0)
    return emulator


def test_calm_and_no_customers_change_no_decision():
    """Guards against work and other decisions where customers are not configured, or not short."""
    for route in (make_fan_out_route(8), make_single_service_route()):
        plain, named = (_play_calm(route, has_customers=each) for each in (False, True))
        for name, endpoint in plain.endpoints.items():
            assert endpoint.arrivals == named.endpoints[name].arrivals
        for overload in (plain.state.overload, named.state.overload):
            assert not overload.services and not overload.processor.used
        assert not plain.state.overload.legs and not plain.state.overload.processor.uses


load_tests = function_suite(globals())
