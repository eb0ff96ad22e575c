"""Tests of requests that end the endpoints which run them, on virtual time."""

from wisteriarock.dispatch.controller import apply_notice
from wisteriarock.quarantine.const import ENDS_MAX, REQUEST_TTL_MS, ROUTE_TTL_MS

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import Emulator
from tests.wisteriarock.dispatch.test_fragments import _create_zone
from tests.wisteriarock.samples import make_fan_out_route, make_single_service_route

SHARDS = 20


def _send_deadly(emulator: Emulator, number: int, wait_ms: float = 4_000.0) -> None:
    """Send a request that ends endpoints; all of them are the same but for their id."""
    emulator.deadly_ids.add(b"r%d" % number)
    emulator.request(number, b"deadly")
    emulator.loop.run_until_ms(emulator.loop.time() * 1000 + wait_ms)


def _sent_after_third_end(emulator: Emulator, number: int) -> int:
    """Return how often a request reached an endpoint after the third one had ended under it."""
    ended = emulator.ended_at_ms()
    if len(ended) < ENDS_MAX:
        return 0
    return sum(
        at_ms > ended[ENDS_MAX - 1] + 1.0 and request_id == b"r%d" % number
        for endpoint in emulator.endpoints.values()
        for at_ms, request_id in endpoint.arrivals
    )


def test_deadly_fan_out_is_given_up():
    """Guards against a request that is sent on after endpoints have ended under it."""
    emulator = Emulator(make_fan_out_route(SHARDS))
    _send_deadly(emulator, 0)
    assert emulator.ended_at_ms()
    assert len(emulator.ended_at_ms()) <= SHARDS
    assert _sent_after_third_end(emulator, 0) == 0
    took_ms, answer = emulator.answers[b"r0"]
    assert answer.status == 502 and took_ms < emulator.route.latency_target_ms
    assert not emulator.state.active and not emulator.state.abandoned
    events = [fields for event, fields in emulator.log.events if event == "request_quarantined"]
    assert len(events) == 1 and events[0]["ended"] == 2 and not events[0]["confirmed"]


def test_deadly_request_that_is_sent_again_is_refused():
    """Guards against callers who repeat a request until all endpoints have ended."""
    emulator = Emulator(make_fan_out_route(SHARDS))
    _send_deadly(emulator, 0)
    first = len(emulator.ended_at_ms())
    _send_deadly(emulator, 1)
    assert len(emulator.ended_at_ms()) == first + 1
    assert emulator.answers[b"r1"][1].status == 502
    for number in range(2, 6):
        _send_deadly(emulator, number, 100.0)
        took_ms, answer = emulator.answers[b"r%d" % number]
        assert answer.status == 503 and took_ms == 0.0
        assert float(dict(answer.headers)[b"retry"]) > 1_000
    assert len(emulator.ended_at_ms()) == first + 1
    # After the quarantine, the request is tried on one endpoint.
    emulator.loop.run_until_ms(emulator.loop.time() * 1000 + REQUEST_TTL_MS)
    _send_deadly(emulator, 6)
    assert len(emulator.ended_at_ms()) == first + 2


def test_other_requests_of_the_route_are_served():
    """Guards against innocent requests that are refused, or harmed more than by their endpoints."""
    emulator = Emulator(make_fan_out_route(SHARDS))
    emulator.loop.call_at(0.5, lambda: _start_deadly(emulator, 900))
    for index, at_ms in enumerate(range(1_000, 9_000, 1_000)):
        emulator.loop.call_at(
            at_ms / 1000, lambda number=901 + index: _start_deadly(emulator, number)
        )
    emulator.send_requests(200, 40.0)
    assert len(emulator.ended_at_ms()) <= SHARDS + 1
    statuses = [emulator.answers[b"r%d" % number][1].status for number in range(200)]
    assert sum(status == 200 for status in statuses) >= 196, statuses
    assert emulator.mean_answer_score(30, 170) > 0.93, emulator.mean_answer_score(30, 170)


def _start_deadly(emulator: Emulator, number: int) -> None:
    emulator.deadly_ids.add(b"r%d" % number)
    emulator.request(number, b"deadly")


def test_many_requests_that_differ_end_one_endpoint_each():
    """Guards against a fan-out to all shards while requests of its route end endpoints."""
    emulator = Emulator(make_fan_out_route(SHARDS))
    _send_deadly(emulator, 0)
    first = len(emulator.ended_at_ms())
    for number in range(1, 6):
        emulator.deadly_ids.add(b"r%d" % number)
        emulator.request(number, b"deadly %d" % number)
        emulator.loop.run_until_ms(emulator.loop.time() * 1000 + 500)
    assert len(emulator.ended_at_ms()) == first + 5
    # Calm again: fan-outs go to all shards at once.
    emulator.loop.run_until_ms(emulator.loop.time() * 1000 + ROUTE_TTL_MS)
    canaries = emulator.state.counters.total("canaries")
    emulator.send_requests(20, 40.0, first=100)
    assert emulator.state.counters.total("canaries") == canaries
    assert emulator.mean_answer_score(100, 20) > 0.97


def test_endpoints_that_end_together_blame_no_request_for_long():
    """Guards against innocent requests in quarantine when many endpoints end by themselves."""
    emulator = Emulator(make_fan_out_route(SHARDS))

    def end_some() -> None:
        for number in range(6):
            emulator.endpoints[f"shard-{number}/0"].end()

    emulator.loop.call_at(2.0, end_some)
    emulator.send_requests(150, 40.0)
    statuses = [emulator.answers[b"r%d" % number][1].status for number in range(150)]
    assert sum(status == 200 for status in statuses) >= 147, statuses
    refused = [fields for event, fields in emulator.log.events if event == "refused"]
    assert not [fields for fields in refused if fields["reason"] == "quarantined"]
    assert emulator.mean_answer_score(0, 150) > 0.9


def test_survivor_ends_the_probation():
    """Guards against an innocent request that is refused as it was suspected once."""
    emulator = Emulator(make_fan_out_route(SHARDS))
    emulator.request(0, b"innocent")
    emulator.loop.run_until_ms(3.0)
    for number in range(SHARDS):
        for replica in range(2):
            emulator.endpoints[f"shard-{number}/{replica}"].end()
    emulator.loop.run_until_ms(5_000.0)
    assert emulator.answers[b"r0"][1].status == 502
    assert emulator.state.quarantine.request_until_ms
    for number in (1, 2):
        emulator.request(number, b"innocent")
        emulator.loop.run_until_ms(emulator.loop.time() * 1000 + 1_000)
        assert emulator.answers[b"r%d" % number][1].status == 200
    assert not emulator.state.quarantine.request_until_ms


def test_deadly_request_to_one_service():
    """Guards against a plain request that ends one endpoint after the other."""
    emulator = Emulator(make_single_service_route(max_attempts=5), replicas=6)
    _send_deadly(emulator, 0)
    assert len(emulator.ended_at_ms()) == 2
    assert emulator.answers[b"r0"][1].status == 502
    _send_deadly(emulator, 1)
    assert len(emulator.ended_at_ms()) == 3
    _send_deadly(emulator, 2)
    assert len(emulator.ended_at_ms()) == 3
    assert emulator.answers[b"r2"][1].status == 503


def test_request_that_may_run_once_is_not_called_unsent():
    """Guards against a false promise that a request which ended its endpoint has not run."""
    emulator = Emulator(make_single_service_route(idempotent=False), replicas=3)
    _send_deadly(emulator, 0)
    assert len(emulator.ended_at_ms()) == 1
    assert emulator.answers[b"r0"][1].status == 502


def test_deadly_request_at_gatherers_is_given_up():
    """Guards against fragments that are sent again after endpoints ended at a gatherer."""
    entry, _ = _create_zone()
    _send_deadly(entry, 0)
    ended = len(entry.ended_at_ms())
    assert entry.answers[b"r0"][1].status == 502
    assert _sent_after_third_end(entry, 0) == 0
    _send_deadly(entry, 1)
    assert len(entry.ended_at_ms()) == ended + 1
    _send_deadly(entry, 2)
    assert len(entry.ended_at_ms()) == ended + 1


def test_notice_of_another_instance_is_applied():
    """Guards against each instance that learns for itself what a request does."""
    first = Emulator(make_fan_out_route(SHARDS))
    second = Emulator(first.route, name="front-2", shared=first)
    first.state.on_deadly = lambda notice: apply_notice(second.state, notice)
    second.deadly_ids = first.deadly_ids
    _send_deadly(first, 0)
    ended = len(first.ended_at_ms())
    _send_deadly(second, 1)
    assert len(first.ended_at_ms()) == ended + 1
    _send_deadly(second, 2)
    assert second.answers[b"r2"][1].status == 503


load_tests = function_suite(globals())
