"""Tests of the choice of the head."""

from wisteriarock.bundle import spread
from wisteriarock.bundle.const import BACKOFF_MAX_MS
from wisteriarock.bundle.models import ActiveBundle, AdoptionError, HeadClaim, PeerHead
from wisteriarock.bundle.verify import encode_body, verify_body

from tests.bundle_samples import OPERATOR_KEYS, make_bundle_chain, make_rng
from tests.common import function_suite

FIRST, SECOND, THIRD = (
    verify_body(encode_body(bundle), OPERATOR_KEYS, None).unwrap()
    for bundle in make_bundle_chain(3)
)


def _fork(bundle: ActiveBundle) -> ActiveBundle:
    envelope = {**bundle.envelope, "previous_digest": "0" * 64}
    return bundle._replace(digest="1" * 64, envelope=envelope)


def test_revisions_only_rise_and_the_chain_holds() -> None:
    """Guards against an instance that goes back or follows a fork."""
    assert spread.adopt(None, False, SECOND).unwrap() is SECOND
    assert spread.adopt(FIRST, False, SECOND).unwrap() is SECOND
    assert spread.adopt(FIRST, False, THIRD).unwrap() is THIRD
    for older in (FIRST, SECOND):
        assert spread.adopt(SECOND, False, older).failure() is AdoptionError.NOT_NEWER
    assert spread.adopt(SECOND, False, _fork(THIRD)).failure() is AdoptionError.CHAIN_BROKEN


def test_a_bundle_from_the_file_yields_to_an_accepted_one() -> None:
    """Guards against an instance that stays on a signed bundle which never became the head."""
    never_accepted = _fork(SECOND)
    assert spread.adopt(never_accepted, True, SECOND).unwrap() is SECOND
    assert spread.adopt(never_accepted, True, THIRD).unwrap() is THIRD
    assert spread.adopt(never_accepted, True, FIRST).failure() is AdoptionError.NOT_NEWER


def test_heads_worth_fetching_are_newer_open_and_ordered() -> None:
    """Guards against a fetch of an old or refused head, or one bad claim that hides the others."""
    claims = [HeadClaim(1, "a"), HeadClaim(3, "c"), HeadClaim(9, "bad"), HeadClaim(3, "b")]
    wanted = spread.wanted_heads(SECOND, False, claims, {"bad"})
    assert wanted == [HeadClaim(3, "b"), HeadClaim(3, "c")]
    assert spread.wanted_heads(None, False, claims, ())[0] == HeadClaim(9, "bad")
    assert spread.wanted_heads(SECOND, True, [HeadClaim(2, SECOND.digest)], ()) == []
    assert spread.wanted_heads(THIRD, False, claims, {"bad"}) == []
    assert spread.wanted_heads(THIRD, True, claims, {"bad"}) == wanted


def test_heads_of_silent_peers_do_not_count() -> None:
    """Guards against a start that waits for a peer that is gone."""
    heads = {
        "old": PeerHead(HeadClaim(9, "x"), 0),
        "new": PeerHead(HeadClaim(1, "y"), 1500),
        "none": PeerHead(HeadClaim(0, ""), 1500),
    }
    assert spread.live_heads(heads, 2001, 2000) == {"new": HeadClaim(1, "y")}


def test_two_of_a_zone_watch_and_one_replaces_a_lost_one() -> None:
    """Guards against a zone without a watcher and against many that load the platform."""
    names = [f"e{n}" for n in range(9)]
    watchers = [name for name in names if spread.is_watcher(name, names)]
    assert len(watchers) == 2
    rest = [name for name in names if name != watchers[0]]
    assert watchers[1] in [name for name in rest if spread.is_watcher(name, rest)]
    assert spread.is_watcher("e1", ["e1"])


def test_back_off_grows_to_its_bound_with_jitter() -> None:
    """Guards against synchronous retries and against a wait that exceeds the roll-out time."""
    rng = make_rng()
    waits = [spread.backoff_ms(failures, rng) for failures in range(1, 5_000)]
    assert 50 <= waits[0] <= 100
    assert max(waits) <= BACKOFF_MAX_MS
    assert len(set(waits[10:])) > 4_000
    assert spread.backoff_ms(0, rng) == 0


load_tests = function_suite(globals())
