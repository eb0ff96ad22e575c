"""Tests of rate limits, faults and the list of instances of the platform stand-in."""

import random
from typing import Any

from wisteriarock.platform.models import ListedInstance
from wisteriastandins.http_server import Request
from wisteriastandins.platform.decide import (
    admit,
    apply_control,
    classify,
    create_state,
    run_operation,
    should_lose_reply,
    watch_response,
)
from wisteriastandins.platform.kv import delete, put
from wisteriastandins.platform.models import (
    Operation,
    PlatformConfig,
    PlatformControl,
    RateLimit,
    Store,
)

from tests.common import function_suite


def make_platform_config(**changes: Any) -> PlatformConfig:
    instance = ListedInstance(
        name="e1", role="entry", zone="a", host="127.0.0.1", port=1, state="live"
    )
    config = PlatformConfig(
        host="127.0.0.1",
        port=0,
        latency_ms=0,
        writes_per_s=300,
        reads_per_s=2000,
        list_lag_ms=1000,
        instances=[instance],
    )
    return {**config, **changes}  # type: ignore[typeddict-item]


def test_no_second_has_more_calls_than_the_rate() -> None:
    """Guards against a burst above the limit across the boundary of two seconds."""
    limit = RateLimit(300)
    admitted = [now_ms for now_ms in range(5000) if admit(limit, now_ms)]
    assert len(admitted) == 1500
    pairs = zip(admitted, admitted[300:], strict=False)
    assert all(later - earlier >= 1000 for earlier, later in pairs)


def test_the_list_lags_behind_changes() -> None:
    """Guards against a list that shows a change immediately, or never."""
    state = create_state(make_platform_config(), 0)

    def names(now_ms: float) -> list[tuple[str, str]]:
        body = run_operation(state, Operation.INSTANCES, "", b"", now_ms, 9000).body
        assert body["as_of_ms"] == 8000
        return [(entry["name"], entry["state"]) for entry in body["instances"]]

    apply_control(state, PlatformControl(instances={"e1": "leaving"}), 5000)
    apply_control(state, PlatformControl(instances={"e1": "gone"}), 5500)
    assert names(5999) == [("e1", "live")]
    assert names(6000) == [("e1", "leaving")]
    assert names(6500) == []
    apply_control(state, PlatformControl(instances={"e1": "live"}), 7000)
    assert names(7999) == []
    assert names(8000) == [("e1", "live")]
    assert apply_control(state, PlatformControl(instances={"e2": "gone"}), 8000) == "e2"


def test_watches_see_changes_and_deletions() -> None:
    """Guards against a watch that misses an earlier change, or returns without any change."""
    store = Store()
    assert watch_response(store, "k", 0) is None
    put(store, "k", "v", 0, None)
    assert watch_response(store, "k", 0) == (200, {"value": "v", "revision": 1})
    assert watch_response(store, "k", 1) is None
    delete(store, "k", 1)
    deleted = watch_response(store, "k", 1)
    assert deleted is not None and deleted.status == 404
    assert watch_response(store, "k", 0) is None


def test_only_writes_that_took_effect_lose_their_reply() -> None:
    """Guards against reads and conflicts that use up the number of lost replies."""
    state = create_state(make_platform_config(), 0)
    state.lost_replies = 1
    rng = random.Random(1)
    outcomes = [(Operation.GET, 200), (Operation.PUT, 409), (Operation.PUT, 200)]
    assert [should_lose_reply(state, *outcome, rng) for outcome in outcomes] == [False, False, True]
    state.lost_reply_share = 0.5
    lost = sum(should_lose_reply(state, Operation.DELETE, 200, rng) for _ in range(1000))
    assert 400 < lost < 600


def test_paths_and_bodies() -> None:
    """Guards against truncated keys that contain slashes, and against unvalidated bodies."""
    found = classify(Request("PUT", "/v1/kv/bundle/content%2Fx", {}, b""))
    assert found == (Operation.PUT, "bundle/content/x")
    renewal = classify(Request("POST", "/v1/leases/l1/renew", {}, b""))
    assert renewal == (Operation.LEASE_RENEW, "l1")
    assert classify(Request("POST", "/v1/kv/a", {}, b"")) is None
    state = create_state(make_platform_config(), 0)
    statuses = {
        b'{"value":"v","expected_revision":0}': 200,
        b'{"value":"v","expected_revision":0,"lease_id":null}': 409,
        b'{"value":"v","expected_revision":0,"lease_id":"x"}': 404,
        b'{"value":"v"}': 400,
        b'{"value":"%b","expected_revision":1}' % (b"x" * 1_000_001): 413,
        b'{"value":"%b","expected_revision":1}' % (b"x" * 1_000_000): 200,
    }
    for body, status in statuses.items():
        assert run_operation(state, Operation.PUT, "k", body, 0, 0).status == status


load_tests = function_suite(globals())
