"""Tests of the keyed digest."""

from returns.result import Failure, Success
from wisteriarock.peers import const
from wisteriarock.peers.auth import NonceStore, sign, verify
from wisteriarock.peers.models import PeerAuthError
from wisteriarock.settings.models import PeerKey

from tests.common import function_suite

OLD: PeerKey = {"key_id": "k1", "secret": "an old secret of peers"}
NEW: PeerKey = {"key_id": "k2", "secret": "a new secret of peers"}
NOW_MS = 1_000_000_000


def _signed(nonce: str = "n1", time_ms: int = NOW_MS, key: PeerKey = OLD) -> dict[str, str]:
    return sign(key, "POST", "/p", "e1", time_ms, nonce, b"body")


def test_keys_can_be_replaced_without_a_stop() -> None:
    """Guards against instances that refuse each other while a key is being replaced."""
    store = NonceStore()
    for keys, key in (([OLD], OLD), ([OLD, NEW], OLD), ([NEW, OLD], NEW), ([NEW, OLD], OLD)):
        headers = _signed(f"n{store.size}", key=key)
        assert verify(keys, "POST", "/p", headers, b"body", NOW_MS, store) == Success("e1")
    refused = verify([NEW], "POST", "/p", _signed("n9"), b"body", NOW_MS, store)
    assert refused == Failure(PeerAuthError.UNKNOWN_KEY)


def test_a_change_of_any_part_is_refused() -> None:
    """Guards against a request that was altered, or sent under another name."""
    store = NonceStore()
    good = _signed()
    altered = [
        ("GET", "/p", good, b"body"),
        ("POST", "/q", good, b"body"),
        ("POST", "/p", good, b"bodx"),
        ("POST", "/p", {**good, const.HEADER_INSTANCE: "e2"}, b"body"),
        ("POST", "/p", {**good, const.HEADER_TIME: str(NOW_MS + 1)}, b"body"),
        ("POST", "/p", {**good, const.HEADER_NONCE: "n2"}, b"body"),
        ("POST", "/p", {**good, const.HEADER_DIGEST: "\u00e9" * 64}, b"body"),
    ]
    for method, path, headers, body in altered:
        result = verify([OLD], method, path, headers, body, NOW_MS, store)
        assert result == Failure(PeerAuthError.BAD_DIGEST), headers
    for name in good:
        partial = {k: v for k, v in good.items() if k != name}
        result = verify([OLD], "POST", "/p", partial, b"body", NOW_MS, store)
        assert result == Failure(PeerAuthError.MISSING_HEADER)
    assert store.size == 0


def test_a_nonce_is_taken_once_and_forgotten_when_its_time_is_over() -> None:
    """Guards against replayed requests, and against memory that grows without bound."""
    store = NonceStore()
    for step in range(200):
        now_ms = NOW_MS + step * 1_000
        headers = _signed(f"n{step}", now_ms)
        assert verify([OLD], "POST", "/p", headers, b"body", now_ms, store) == Success("e1")
        for age_ms in (0, 29_999):
            again = verify([OLD], "POST", "/p", headers, b"body", now_ms + age_ms, store)
            assert again == Failure(PeerAuthError.REPLAYED)
        late = verify([OLD], "POST", "/p", headers, b"body", now_ms + 30_001, store)
        assert late == Failure(PeerAuthError.CLOCK_DIFFERENCE)
    assert store.size <= 40


def test_requests_beyond_the_bound_on_nonces_are_refused() -> None:
    """Guards against a flood of requests that uses up the memory or opens a replay."""
    store = NonceStore(size=const.MAX_NONCES)
    refused = verify([OLD], "POST", "/p", _signed(), b"body", NOW_MS, store)
    assert refused == Failure(PeerAuthError.TOO_MANY)


load_tests = function_suite(globals())
