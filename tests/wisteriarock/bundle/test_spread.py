"""Tests of the selection of heads, sources and watchers."""

from wisteriarock.bundle import spread
from wisteriarock.bundle.const import RETRY_BACKOFF_MAX_MS
from wisteriarock.bundle.models import ActiveBundle, AdoptionError, HeadClaim, PeerHead
from wisteriarock.bundle.verify import encode_body, verify_body

from tests.bundle_samples import OPERATOR_KEYS, make_bundle_chain, make_rng
from tests.common import function_suite

FIRST, SECOND, THIRD = (
    verify_body(encode_body(bundle), OPERATOR_KEYS, None).unwrap()
    for bundle in make_bundle_chain(3)
)


def _make_fork(bundle: ActiveBundle) -> ActiveBundle:
    envelope = {**bundle.envelope, "previous_digest": "0" * 64}
    return bundle._replace(digest="1" * 64, envelope=envelope)


def test_revisions_never_decrease_and_the_chain_is_checked() -> None:
    """Guards against an instance that downgrades or follows a fork."""
    assert spread.decide_adoption(None, False, SECOND).unwrap() is SECOND
    assert spread.decide_adoption(FIRST, False, SECOND).unwrap() is SECOND
    assert spread.decide_adoption(FIRST, False, THIRD).unwrap() is THIRD
    for older in (FIRST, SECOND):
        assert spread.decide_adoption(SECOND, False, older).failure() is AdoptionError.NOT_NEWER
    assert (
        spread.decide_adoption(SECOND, False, _make_fork(THIRD)).failure()
        is AdoptionError.CHAIN_BROKEN
    )


def test_accepted_bundle_replaces_one_from_the_file() -> None:
    """Guards against an instance that keeps a signed bundle that never became the head."""
    never_accepted = _make_fork(SECOND)
    assert spread.decide_adoption(never_accepted, True, SECOND).unwrap() is SECOND
    assert spread.decide_adoption(never_accepted, True, THIRD).unwrap() is THIRD
    assert spread.decide_adoption(never_accepted, True, FIRST).failure() is AdoptionError.NOT_NEWER


def test_candidate_heads_are_newer_not_refused_and_ordered() -> None:
    """Guards against fetching an old or refused head, and a bad claim that hides the others."""
    claims = [HeadClaim(1, "a"), HeadClaim(3, "c"), HeadClaim(9, "bad"), HeadClaim(3, "b")]
    candidates = spread.rank_candidate_heads(SECOND, False, claims, {"bad"})
    assert candidates == [HeadClaim(3, "b"), HeadClaim(3, "c")]
    assert spread.rank_candidate_heads(None, False, claims, ())[0] == HeadClaim(9, "bad")
    assert spread.rank_candidate_heads(SECOND, True, [HeadClaim(2, SECOND.digest)], ()) == []
    assert spread.rank_candidate_heads(THIRD, False, claims, {"bad"}) == []
    assert spread.rank_candidate_heads(THIRD, True, claims, {"bad"}) == candidates


def test_heads_of_silent_peers_are_ignored() -> None:
    """Guards against a start that waits for a peer that has stopped."""
    heads = {
        "old": PeerHead(HeadClaim(9, "x"), 0),
        "new": PeerHead(HeadClaim(1, "y"), 1500),
        "none": PeerHead(HeadClaim(0, ""), 1500),
    }
    assert spread.live_peer_claims(heads, 2001, 2000) == {"new": HeadClaim(1, "y")}


def test_two_watchers_per_zone_and_a_lost_one_is_replaced() -> None:
    """Guards against a zone without a watcher, and platform load from too many watchers."""
    names = [f"e{n}" for n in range(9)]
    watchers = [name for name in names if spread.is_watcher(name, names)]
    assert len(watchers) == 2
    remaining = [name for name in names if name != watchers[0]]
    assert watchers[1] in [name for name in remaining if spread.is_watcher(name, remaining)]
    assert spread.is_watcher("e1", ["e1"])


def test_backoff_grows_to_its_maximum_with_jitter() -> None:
    """Guards against synchronised retries and a backoff longer than the rollout time."""
    rng = make_rng()
    waits = [spread.backoff_ms(failures, rng) for failures in range(1, 5_000)]
    assert 50 <= waits[0] <= 100
    assert max(waits) <= RETRY_BACKOFF_MAX_MS
    assert len(set(waits[10:])) > 4_000
    assert spread.backoff_ms(0, rng) == 0


load_tests = function_suite(globals())
