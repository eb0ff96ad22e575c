"""Tests of the authentication of requests between instances."""

from returns.result import Failure, Success
from wisteriarock.peers import const
from wisteriarock.peers.auth import NonceStore, sign, verify
from wisteriarock.peers.models import PeerAuthError
from wisteriarock.settings.models import PeerKey

from tests.common import function_suite

OLD_KEY: PeerKey = {"key_id": "k1", "secret": "an old secret of peers"}
NEW_KEY: PeerKey = {"key_id": "k2", "secret": "a new secret of peers"}
NOW_MS = 1_000_000_000


def _sign_request(
    nonce: str = "n1", time_ms: int = NOW_MS, key: PeerKey = OLD_KEY
) -> dict[str, str]:
    return sign(key, "POST", "/p", "e1", time_ms, nonce, b"body")


def test_keys_can_be_replaced_without_downtime() -> None:
    """Guards against instances that refuse each other's requests during a key replacement."""
    store = NonceStore()
    for keys, key in (
        ([OLD_KEY], OLD_KEY),
        ([OLD_KEY, NEW_KEY], OLD_KEY),
        ([NEW_KEY, OLD_KEY], NEW_KEY),
        ([NEW_KEY, OLD_KEY], OLD_KEY),
    ):
        headers = _sign_request(f"n{store.size}", key=key)
        assert verify(keys, "POST", "/p", headers, b"body", NOW_MS, store) == Success("e1")
    refused = verify([NEW_KEY], "POST", "/p", _sign_request("n9"), b"body", NOW_MS, store)
    assert refused == Failure(PeerAuthError.UNKNOWN_KEY)


def test_altered_requests_are_refused() -> None:
    """Guards against requests that were altered or sent under another instance's name."""
    store = NonceStore()
    valid = _sign_request()
    altered = [
        ("GET", "/p", valid, b"body"),
        ("POST", "/q", valid, b"body"),
        ("POST", "/p", valid, b"bodx"),
        ("POST", "/p", {**valid, const.HEADER_INSTANCE: "e2"}, b"body"),
        ("POST", "/p", {**valid, const.HEADER_TIME: str(NOW_MS + 1)}, b"body"),
        ("POST", "/p", {**valid, const.HEADER_NONCE: "n2"}, b"body"),
        ("POST", "/p", {**valid, const.HEADER_DIGEST: "\u00e9" * 64}, b"body"),
    ]
    for method, path, headers, body in altered:
        result = verify([OLD_KEY], method, path, headers, body, NOW_MS, store)
        assert result == Failure(PeerAuthError.BAD_DIGEST), headers
    for name in valid:
        partial = {k: v for k, v in valid.items() if k != name}
        result = verify([OLD_KEY], "POST", "/p", partial, b"body", NOW_MS, store)
        assert result == Failure(PeerAuthError.MISSING_HEADER)
    assert store.size == 0


def test_a_nonce_is_accepted_once_and_dropped_after_expiry() -> None:
    """Guards against replayed requests, and against unbounded growth of the nonce store."""
    store = NonceStore()
    for step in range(200):
        now_ms = NOW_MS + step * 1_000
        headers = _sign_request(f"n{step}", now_ms)
        assert verify([OLD_KEY], "POST", "/p", headers, b"body", now_ms, store) == Success("e1")
        for age_ms in (0, 29_999):
            replayed = verify([OLD_KEY], "POST", "/p", headers, b"body", now_ms + age_ms, store)
            assert replayed == Failure(PeerAuthError.REPLAYED)
        late = verify([OLD_KEY], "POST", "/p", headers, b"body", now_ms + 30_001, store)
        assert late == Failure(PeerAuthError.CLOCK_DIFFERENCE)
    assert store.size <= 40


def test_requests_are_refused_when_the_nonce_store_is_full() -> None:
    """Guards against a request flood that exhausts memory or makes replays possible."""
    store = NonceStore(size=const.MAX_NONCES)
    refused = verify([OLD_KEY], "POST", "/p", _sign_request(), b"body", NOW_MS, store)
    assert refused == Failure(PeerAuthError.TOO_MANY)


load_tests = function_suite(globals())
