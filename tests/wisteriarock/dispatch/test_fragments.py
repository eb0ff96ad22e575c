"""Tests of fan-outs that are divided among gatherers, with emulated endpoints on virtual time."""

from wisteriarock.gathering.decide import replace_gatherers
from wisteriarock.gathering.models import Gatherer

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import Emulator, PeerPool
from tests.wisteriarock.samples import make_fan_out_route

SHARDS = 40


def _create_zone(
    replicas: int = 2, gatherers: int = 2, extra: float = 400.0
) -> tuple[Emulator, dict[str, PeerPool]]:
    """Return an instance that is no gatherer, and the connections to its gatherers."""
    entry = Emulator(make_fan_out_route(SHARDS, min_coverage=0.9), replicas, extra=extra)
    pools = {}
    for number in range(gatherers):
        name = f"gatherer-{number}"
        gatherer = Emulator(entry.route, replicas, name=name, shared=entry, extra=extra)
        pools[name] = PeerPool(gatherer)
    entry.gatherer_pools = pools
    chosen = tuple(Gatherer(name, "10.0.0.1", 7_380, 1.0) for name in pools)
    replace_gatherers(entry.state.gatherers, chosen)
    return entry, pools


def _complete_answers(entry: Emulator, count: int) -> int:
    answers = [entry.answers[b"r%d" % number][1] for number in range(count)]
    return sum(dict(answer.headers).get(b"parts") == b"%d" % SHARDS for answer in answers)


def test_few_queries_for_each_instance():
    """Guards against late or partial answers where each instance gets a query in many seconds.

    Pattern: hundreds of instances, few queries for each; the gatherers are used by all of them.
    """
    entry, pools = _create_zone()
    entry.send_requests(50, 200.0)
    assert entry.mean_answer_score(0, 50) > 0.97
    assert all(pool.accepted == 50 for pool in pools.values())
    assert not entry.budget.buckets, "the instance sent legs of its own"
    assert entry.max_runs_per_request() <= entry.route.max_attempts
    assert not entry.state.active and not any(pool.gatherer.state.active for pool in pools.values())


def test_a_frozen_gatherer_costs_a_short_wait():
    """Guards against queries that wait for a paused gatherer, and against legs sent twice.

    Pattern: an instance freezes and wakes again. It has not accepted the fragment, so that the legs
    are sent from here and must not count as extra legs.
    """
    entry, pools = _create_zone()
    pools["gatherer-0"].mode = "frozen"
    entry.send_requests(30, 200.0)
    assert entry.mean_answer_score(0, 30) > 0.95
    assert entry.extra_leg_share() < 0.05
    assert entry.max_runs_per_request() <= entry.route.max_attempts


def test_a_draining_gatherer_is_passed_over():
    """Guards against a planned stop of a gatherer that harms queries."""
    for mode in ("draining", "refuse"):
        entry, pools = _create_zone()
        pools["gatherer-1"].mode = mode
        entry.send_requests(30, 200.0)
        assert _complete_answers(entry, 30) >= 28, mode
        assert entry.extra_leg_share() < 0.05, mode


def test_a_killed_gatherer_is_replaced_within_the_query():
    """Guards against the loss of a query whose gatherer is killed while it works on it."""
    entry, pools = _create_zone()
    pools["gatherer-0"].mode = "killed"
    entry.send_requests(4, 1_500.0)
    assert _complete_answers(entry, 4) == 4
    assert entry.max_runs_per_request() <= entry.route.max_attempts


def test_attempts_hold_across_a_lost_gatherer():
    """Guards against a third endpoint for a shard on which two may have run already."""
    entry, pools = _create_zone(replicas=3)
    pools["gatherer-0"].mode = "killed"
    entry.send_requests(10, 1_500.0)
    assert entry.max_runs_per_request() <= entry.route.max_attempts
    statuses = {entry.answers[b"r%d" % number][1].status for number in range(10)}
    assert statuses <= {200, 502}


def test_silent_shards_of_one_fragment():
    """Guards against an answer that is held back for parts that the route can do without."""
    entry, _ = _create_zone()
    for number in range(2):
        entry.endpoints[f"shard-3/{number}"].mode = "silent"
    entry.send_requests(30, 200.0)
    assert entry.mean_answer_score(0, 30) > 0.85, entry.mean_answer_score(0, 30)


def test_a_caller_that_leaves_cancels_the_fragments():
    """Guards against endpoints that work on for a caller that has left."""
    entry, pools = _create_zone()
    for endpoint in entry.endpoints.values():
        endpoint.mode = "silent"
    cancel = entry.request(0)
    entry.loop.run_until_ms(50.0)
    assert all(pool.gatherer.state.active for pool in pools.values())
    cancel()
    assert not any(pool.gatherer.state.active for pool in pools.values())


def test_without_gatherers_the_legs_are_sent_from_here():
    """Guards against queries that depend on gatherers while none is usable."""
    entry, pools = _create_zone()
    for name in pools:
        entry.state.gatherers.suspended_until_ms[name] = 1e9
    entry.send_requests(10, 200.0)
    assert _complete_answers(entry, 10) == 10
    assert not any(pool.accepted for pool in pools.values())


def test_legs_withheld_by_a_gatherer_are_not_sent_from_here():
    """Guards against a limited endpoint that is queried by every instance on top of its gatherer.

    Pattern: all endpoints of a shard name a rate limit; the gatherer has used up its share.
    """
    entry, pools = _create_zone()
    for number in range(2):
        entry.endpoints[f"shard-3/{number}"].limit_per_s = 1.0
    entry.send_requests(40, 100.0)
    limited = [entry.endpoints[f"shard-3/{number}"] for number in range(2)]
    senders = {instance for endpoint in limited for _, instance in endpoint.senders}
    assert senders and senders <= set(pools), senders
    assert entry.mean_answer_score(0, 40) > 0.9


load_tests = function_suite(globals())
