"""Tests of the choice of gatherers, the division of shards and the shares of the budget."""

from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Catalog
from wisteriarock.gathering.decide import (
    assign_shards,
    choose_gatherers,
    decode_fragment_answer,
    decode_fragment_request,
    decode_gatherers,
    encode_fragment_answer,
    encode_gatherers,
    find_fan_out_shape,
    needed_parts_of_fragment,
    needs_gatherers,
    replace_gatherers,
    share_budget,
    usable_gatherers,
)
from wisteriarock.gathering.models import (
    FanOutShape,
    FragmentAnswer,
    Gatherer,
    GathererDirectory,
)

from tests.common import function_suite
from tests.wisteriarock.samples import make_configuration, make_fan_out_route

SHARDS = tuple(f"shard-{number}" for number in range(87))


def _make_gatherer(name: str, capacity_cores: float = 1.0) -> Gatherer:
    return Gatherer(name, "10.0.0.1", 7_380, capacity_cores)


def _make_zone(*capacities: float) -> list[Gatherer]:
    return [_make_gatherer(f"front-{number}", cores) for number, cores in enumerate(capacities)]


def test_small_deployments_query_endpoints_directly():
    """Guards against an extra hop where each instance can keep its own connections."""
    assert not needs_gatherers(FanOutShape(20, 26), 9, 1.07)
    assert choose_gatherers(_make_zone(1.07, 1.07), FanOutShape(20, 26), 9) == ()
    assert not needs_gatherers(FanOutShape(0, 0), 195, 0.5)


def test_hundreds_of_instances_need_gatherers():
    """Guards against more connections than the endpoints accept, and against cold ones."""
    assert needs_gatherers(FanOutShape(87, 120), 195, 2.15)
    assert needs_gatherers(FanOutShape(90, 55), 66, 0.516)


def test_a_slow_instance_does_not_spend_its_target_on_one_query():
    """Guards against fan-outs that take longer than their target on an instance's processor."""
    assert needs_gatherers(FanOutShape(87, 120), 19, 0.12)


def test_near_instances_with_a_short_target_need_gatherers():
    """Guards against legs of one query that take up the time of a caller in a hurry.

    27 instances with one query of 90 legs per second each learn little of 270 endpoints, and their
    links and processors take a sixth of the shortest target of 68 ms for the legs of one query.
    """
    assert needs_gatherers(FanOutShape(90, 56, 68.0), 27, 1.29)
    zone = _make_zone(*[1.29] * 6, 2.15, 2.15)
    chosen = choose_gatherers(zone, FanOutShape(90, 56, 68.0), 27)
    assert [each.capacity_cores for each in chosen] == [2.15, 2.15]
    # Without a caller in a hurry, each instance queries the endpoints itself.
    assert not needs_gatherers(FanOutShape(90, 56, 175.0), 27, 1.29)
    assert not needs_gatherers(FanOutShape(20, 26, 60.0), 9, 1.07)


def test_the_most_capable_instances_are_chosen():
    """Guards against fan-outs on slow instances of a zone with unequal ones."""
    zone = _make_zone(*[0.516] * 36, 2.15, 2.15, 2.15)
    chosen = choose_gatherers(zone, FanOutShape(87, 120), 195)
    assert {each.capacity_cores for each in chosen} == {2.15}
    assert len(chosen) == 3


def test_slow_instances_gather_together():
    """Guards against two slow instances that gather for a zone of many."""
    chosen = choose_gatherers(_make_zone(*[0.12] * 40), FanOutShape(87, 120), 195)
    assert 8 < len(chosen) < 20
    assert choose_gatherers(_make_zone(0.0, 0.0), FanOutShape(87, 120), 195) == ()


def test_shards_stay_with_their_gatherer():
    """Guards against connections that turn cold when a gatherer joins or fails."""
    directory = GathererDirectory()
    zone = _make_zone(1.0, 1.0, 1.0)
    replace_gatherers(directory, tuple(zone))
    before = assign_shards(directory, SHARDS, zone)
    assert sorted(shard for each in before.values() for shard in each) == sorted(SHARDS)
    assert all(15 <= len(each) <= 43 for each in before.values())
    after = assign_shards(directory, SHARDS, zone[:2])
    for gatherer in zone[:2]:
        assert set(before[gatherer.name]) <= set(after[gatherer.name])


def test_a_failed_gatherer_is_used_again():
    """Guards against a gatherer that is passed over for good after one failure."""
    directory = GathererDirectory()
    zone = tuple(_make_zone(1.0, 1.0))
    assert replace_gatherers(directory, zone) and not replace_gatherers(directory, zone)
    directory.suspended_until_ms["front-0"] = 1_000.0
    assert usable_gatherers(directory, 500.0) == [zone[1]]
    assert usable_gatherers(directory, 1_000.0) == list(zone)
    replace_gatherers(directory, zone[1:])
    assert directory.suspended_until_ms == {}


def test_parts_that_may_be_missing_are_divided():
    """Guards against an answer held back for parts that the route does not need."""
    assert needed_parts_of_fragment(29, 87, 83) == 27
    assert needed_parts_of_fragment(87, 87, 83) == 83
    assert needed_parts_of_fragment(1, 87, 83) == 0
    assert needed_parts_of_fragment(10, 20, 20) == 10


def test_budget_shares_stay_within_the_published_budget():
    """Guards against shares that add up to more than all instances together may send."""
    for extra, instances, gatherers in (
        (430.0, 195, 15),
        (172.0, 66, 9),
        (54.0, 7, 4),
        (430.0, 1_000, 30),
    ):
        gatherer = share_budget(extra, instances, gatherers, is_gatherer=True)
        other = share_budget(extra, instances, gatherers, is_gatherer=False)
        assert gatherer is not None and other is not None
        total = gatherers * sum(gatherer) + (instances - gatherers) * sum(other)
        assert total <= 0.9 * extra, (extra, instances, gatherers, total)
        assert gatherer.burst >= 1.0
    assert share_budget(54.0, 7, 7, is_gatherer=True) is None


def test_fan_out_shape_is_that_of_the_largest_route():
    """Guards against a choice by a route without fan-out."""
    catalog = Catalog()
    assert find_fan_out_shape(catalog) == FanOutShape(0, 0)
    adopt(catalog, make_configuration(1, make_fan_out_route(20)), 0.0)
    assert find_fan_out_shape(catalog) == FanOutShape(20, 26, 200.0)


def test_the_reply_to_a_plain_request_is_passed_on_whole():
    """Guards against a status, header or byte of an endpoint's reply that is lost on the way."""
    answer: FragmentAnswer = {
        "parts": [("invoicing", "p")],
        "records": "",
        "may_have_run": [],
        "withheld": [],
        "ended": [],
        "reply": (201, [("Name", "v\xff")], bytes(range(256)).decode("latin-1")),
        "retry_after_ms": 250.0,
        "short": [("invoicing", 2_000.0)],
    }
    body = encode_fragment_answer(answer)
    assert decode_fragment_answer(body) == answer
    # Not a byte for each character.
    assert decode_fragment_answer(body.replace(b"\\u00ff", b"\\u0100")) is None


def test_malformed_messages_are_rejected():
    """Guards against a message of a peer that stops an instance."""
    for body in (b"", b"[]", b"{}", b'{"records": 1}', b'{"records": "zz", "parts": []}'):
        assert decode_fragment_answer(body) is None
        assert decode_fragment_request(body) is None
    zone = tuple(_make_zone(1.0, 0.5))
    assert decode_gatherers(encode_gatherers(zone)) == zone


load_tests = function_suite(globals())
