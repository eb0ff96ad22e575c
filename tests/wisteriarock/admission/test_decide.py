"""Tests of admission."""

import random

from returns.result import Failure, Success
from wisteriarock.admission.decide import (
    admit,
    charge,
    check_overload,
    current_demand,
    find_caller,
    index_bundle,
    share_of_limit,
    smooth_lag,
)
from wisteriarock.admission.models import AdmissionState, CallerState, InstanceLoad
from wisteriarock.limits.token_bucket import create_bucket
from wisteriarock.query.models import QueryBody

from tests.common import function_suite
from tests.wisteriarock.fixtures import CREDENTIAL, make_bundle

LIMIT_TOLERANCE = 0.10
IDLE = InstanceLoad(0, 100, 0.0)


def _body(**fields: object) -> QueryBody:
    return {  # type: ignore[return-value]
        "request_id": "r1",
        "kind": "recall_screen",
        "shards": ["mill-00"],
        "deadline_ms": 500,
        "repeatable": True,
        **fields,
    }


def _rejected(caller: str, body: QueryBody) -> tuple[int, str, str]:
    result = admit(AdmissionState(), make_bundle(), caller, body, IDLE, [], 0)
    assert isinstance(result, Failure), result
    rejection = result.failure()
    return rejection.status, rejection.code, rejection.path


def test_each_invalid_field_is_rejected_with_its_path() -> None:
    """Guards against running a request with invalid fields or without permission."""
    cases = [
        ("desk", _body(request_id="a b"), (400, "invalid_field", "$.request_id")),
        ("desk", _body(deadline_ms=0), (400, "invalid_field", "$.deadline_ms")),
        ("desk", _body(deadline_ms=20_000), (400, "deadline_too_long", "$.deadline_ms")),
        ("desk", _body(shards=[]), (400, "invalid_field", "$.shards")),
        ("desk", _body(shards=["mill-00"] * 2), (400, "duplicate_shard", "$.shards")),
        ("desk", _body(shards=["mill-00", "x"]), (400, "unknown_shard", "$.shards[1]")),
        ("desk", _body(kind="nothing"), (403, "forbidden_kind", "$.kind")),
        ("narrow", _body(kind="invoice_lookup"), (403, "forbidden_kind", "$.kind")),
        ("narrow", _body(shards=["mill-01"]), (403, "forbidden_shard", "$.shards[0]")),
        ("narrow", _body(shards=["no-such"]), (403, "forbidden_shard", "$.shards[0]")),
        ("desk", _body(kind="invoice_lookup"), (400, "not_repeatable", "$.repeatable")),
        (
            "desk",
            _body(kind="invoice_lookup", repeatable=False),
            (400, "ticket_required", "$.ticket"),
        ),
    ]
    for caller, body, expected in cases:
        assert _rejected(caller, body) == expected, body


def test_callers_are_found_by_the_digest_of_their_credential() -> None:
    """Guards against a credential that is accepted as another caller's."""
    state = AdmissionState()
    index_bundle(state, make_bundle(), 0)
    assert find_caller(state, f"Bearer {CREDENTIAL}") == "desk"
    for header in ("", "Bearer ", "Basic x", "Bearer wrong", CREDENTIAL):
        assert find_caller(state, header) is None


def test_a_new_bundle_does_not_refill_buckets() -> None:
    """Guards against a bundle change that gives every caller a full burst again."""
    state = AdmissionState()
    body = _body(shards=["mill-00", "mill-01", "mill-02", "mill-03"])
    while isinstance(admit(state, make_bundle(1), "desk", body, IDLE, [], 0), Success):
        pass
    assert isinstance(admit(state, make_bundle(2), "desk", body, IDLE, [], 0), Failure)


def test_shares_add_up_to_the_limit() -> None:
    """Guards against instances that together admit more than the bundle allows."""
    for demands in ([0, 0, 0], [100, 0, 0], [50, 30, 0], [300, 100, 5], [1000, 1000, 1000]):
        shares = [
            share_of_limit(100, own, demands[:i] + demands[i + 1 :])
            for i, own in enumerate(demands)
        ]
        assert abs(sum(shares) - 100) < 1e-6, (demands, shares)


def _admitted_per_s(offered_per_s: list[float], seed: int) -> float:
    """Return the total admission rate of instances that exchange their demand every 500 ms."""
    rng = random.Random(seed)
    spec = make_bundle().content["callers"]["desk"]
    callers = [CallerState(create_bucket(100, 100, 0)) for _ in offered_per_s]
    exchanged_demands = [0.0 for _ in offered_per_s]
    admitted = 0
    for now_ms in range(0, 60_000, 5):
        if now_ms % 500 == 0:
            exchanged_demands = [current_demand(caller, now_ms) for caller in callers]
        for index, rate in enumerate(offered_per_s):
            if rng.random() >= rate * 0.005:
                continue
            others = exchanged_demands[:index] + exchanged_demands[index + 1 :]
            rejection = charge(callers[index], spec, 1.0, others, now_ms)
            admitted += rejection is None and now_ms >= 10_000
    return admitted / 50


def test_the_total_rate_meets_the_limit_for_even_and_uneven_load() -> None:
    """Guards against a total rate of nine instances that is off the limit by more than 10 %."""
    one = [150.0] + [0.0] * 8
    even = [150.0 / 9] * 9
    skewed = [100.0, 40.0, 20.0] + [2.0] * 6
    for seed in (1, 2, 3):
        for offered in (one, even, skewed):
            rate = _admitted_per_s(offered, seed)
            assert 100 * (1 - LIMIT_TOLERANCE) <= rate <= 100 * (1 + LIMIT_TOLERANCE), (
                offered,
                seed,
                rate,
            )


def test_background_requests_are_rejected_first_in_an_overload() -> None:
    """Guards against background requests, such as exports, that displace urgent ones."""
    kinds = make_bundle().content["kinds"]

    def rejected_kinds(in_flight: int, loop_lag_ms: float) -> list[str]:
        load = InstanceLoad(in_flight, 100, loop_lag_ms)
        return [name for name, kind in kinds.items() if check_overload(kind, load)]

    for levels in ([(50, 0), (70, 0), (90, 0), (100, 0)], [(0, 60), (0, 61), (0, 151), (0, 401)]):
        rejected = [rejected_kinds(in_flight, lag) for in_flight, lag in levels]
        assert rejected[0] == []
        assert rejected[1] == ["archive_export"]
        assert rejected[2] == ["invoice_lookup", "archive_export"]
        assert len(rejected[3]) == 3


def test_loop_lag_decays_slowly() -> None:
    """Guards against a process that admits a burst of requests between two stalls."""
    lag_ms = smooth_lag(0.0, 500.0)
    for _ in range(4):
        lag_ms = smooth_lag(lag_ms, 0.0)
    assert 200 < lag_ms < 210


load_tests = function_suite(globals())
