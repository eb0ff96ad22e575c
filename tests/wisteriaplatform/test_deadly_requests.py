"""Tests of requests that end the endpoints which run them, against running instances."""

from wisteriarock.dispatch.state import DispatchState
from wisteriarock.feed.decide import has_live_relay
from wisteriarock.feed.state import is_relay
from wisteriarock.front.instance import Instance
from wisteriarock.http.front import CallerRequest

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    request_bytes,
    send,
    wait_until,
)


def _is_deadly(request: CallerRequest) -> bool:
    return request.target.endswith(b"/deadly")


def _make_deadly(running: Deployment) -> list[bytes]:
    """Let all endpoints end on marked requests; return the list of ids under which they end."""
    ended: list[bytes] = []
    for endpoint in running.endpoints.values():
        endpoint.is_deadly = _is_deadly
        endpoint.on_deadly_end = ended.append
    return ended


def _fingerprints(state: DispatchState) -> set[str]:
    return set(state.quarantine.request_until_ms)


def _now_ms(instance: Instance) -> float:
    return instance.loop.time() * 1000


async def _restart(running: Deployment) -> None:
    """Start the endpoints that have ended again, under their ids."""
    for number, (name, endpoint) in enumerate(running.endpoints.items()):
        await endpoint.stop()
        await endpoint.start()
        running.store.put(f"servers/{name}", endpoint.make_entry(born=5_000 + number))
    known = running.instance.directory.by_id
    await wait_until(lambda: all(each.started_at_unix_ms >= 5_000 for each in known.values()))


async def test_deadly_request_is_given_up_and_refused_later():
    """Guards against a request that is sent on, and sent again, after it ended endpoints."""
    async with deployment() as running:
        ended = _make_deadly(running)
        response = await send(running.port, request_bytes("/blend/deadly", "r-1"))
        assert response.status == 502
        await _restart(running)
        # At most one copy of each shard: none was sent again to the other copy.
        first = len(ended)
        assert 2 <= first <= 4
        response = await send(running.port, request_bytes("/blend/deadly", "r-2"))
        assert response.status == 502 and ended[first:] == [b"r-2"]
        response = await send(running.port, request_bytes("/blend/deadly", "r-3"))
        assert response.status == 503 and float(response.headers["retry-after"]) > 1
        assert ended[first:] == [b"r-2"]
        response = await send(running.port, request_bytes("/blend/innocent", "r-4"))
        assert response.status == 200


async def test_other_instances_learn_of_a_deadly_request():
    """Guards against instances of other zones that let a known request end more endpoints."""
    async with (
        deployment() as running,
        another_instance(running, "front-2", zone="zone-b") as second,
    ):
        first = running.instance
        await wait_until(lambda: is_relay(first.feed) and is_relay(second.feed))
        await wait_until(lambda: len(first.feed_state.relays) == 2)
        async with another_instance(running, "front-3", zone="zone-b") as third:
            await wait_until(lambda: has_live_relay(third.feed_state, 0, _now_ms(third)))
            _make_deadly(running)
            response = await send(running.port, request_bytes("/blend/deadly", "r-1"))
            assert response.status == 502
            expected = _fingerprints(first.dispatch)
            assert len(expected) == 1
            # The relay of the other zone is told, and its follower learns it from it.
            await wait_until(lambda: _fingerprints(second.dispatch) == expected)
            await wait_until(lambda: _fingerprints(third.dispatch) == expected)


load_tests = function_suite(globals())
