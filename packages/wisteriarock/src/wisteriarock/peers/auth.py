"""Authentication of requests between instances: keyed digests and replay protection."""

import hmac
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash
from returns.result import Failure, Result, Success

from wisteriarock.settings.models import PeerKey

from .const import (
    HEADER_DIGEST,
    HEADER_INSTANCE,
    HEADER_KEY_ID,
    HEADER_NONCE,
    HEADER_TIME,
    MAX_CLOCK_DIFFERENCE_MS,
    MAX_NONCE_LENGTH,
    MAX_NONCES,
    NONCE_GROUP_MS,
)
from .models import PeerAuthError


@dataclass
class NonceStore:
    """Hashes of accepted senders and nonces, grouped by the time in the request."""

    groups: dict[int, set[int]] = field(default_factory=dict)
    size: int = 0


def _digest(
    key: PeerKey, method: str, path: str, sender: str, time_ms: str, nonce: str, body: bytes
) -> str:
    # Header values cannot contain a line break, so the concatenation is unambiguous.
    head = "\n".join((method, path, sender, time_ms, nonce, ""))
    return hmac.digest(key["secret"].encode(), head.encode() + body, "sha256").hex()


def sign(
    key: PeerKey, method: str, path: str, sender: str, time_ms: int, nonce: str, body: bytes
) -> dict[str, str]:
    """Return the headers that authenticate a request.

    Parameters
    ----------
    key : PeerKey
        Key to sign with.
    method, path : str
        Method and path of the request line, without the query string.
    sender : str
        Name of this instance.
    time_ms : int
        Wall-clock time in milliseconds.
    nonce : str
        Value that this sender has not used before.
    body : bytes
        Request body, or empty.
    """
    return {
        HEADER_INSTANCE: sender,
        HEADER_TIME: str(time_ms),
        HEADER_NONCE: nonce,
        HEADER_KEY_ID: key["key_id"],
        HEADER_DIGEST: _digest(key, method, path, sender, str(time_ms), nonce, body),
    }


def _record_nonce(
    store: NonceStore, sender: str, nonce: str, time_ms: int, now_ms: float
) -> PeerAuthError | None:
    oldest_group = int(now_ms - MAX_CLOCK_DIFFERENCE_MS) // NONCE_GROUP_MS
    for group in [group for group in store.groups if group < oldest_group]:
        store.size -= len(store.groups.pop(group))
    nonce_hashes = store.groups.setdefault(time_ms // NONCE_GROUP_MS, set())
    nonce_hash = xxhash.xxh3_64_intdigest(f"{sender}\n{nonce}".encode())
    if nonce_hash in nonce_hashes:
        return PeerAuthError.REPLAYED
    if store.size >= MAX_NONCES:
        return PeerAuthError.TOO_MANY
    nonce_hashes.add(nonce_hash)
    store.size += 1
    return None


def verify(
    keys: Sequence[PeerKey],
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    now_ms: float,
    store: NonceStore,
) -> Result[str, PeerAuthError]:
    """Authenticate a request and record its nonce.

    Parameters
    ----------
    keys : sequence of PeerKey
        All keys that are currently valid.
    method, path : str
        Method and path of the received request.
    headers : mapping
        Received headers, with their names in lower case.
    body : bytes
        Received body.
    now_ms : float
        Wall-clock time in milliseconds.
    store : NonceStore
        Nonces of accepted requests; updated in place.

    Returns
    -------
    Result
        Name of the sender, or the reason for the refusal.
    """
    names = (HEADER_INSTANCE, HEADER_TIME, HEADER_NONCE, HEADER_KEY_ID, HEADER_DIGEST)
    values = [headers.get(name, "") for name in names]
    sender, time_text, nonce, key_id, digest = values
    if not all(values) or len(nonce) > MAX_NONCE_LENGTH:
        return Failure(PeerAuthError.MISSING_HEADER)
    if not (time_text.isascii() and time_text.isdigit() and len(time_text) < 16):
        return Failure(PeerAuthError.MISSING_HEADER)
    key = next((key for key in keys if key["key_id"] == key_id), None)
    if key is None:
        return Failure(PeerAuthError.UNKNOWN_KEY)
    expected = _digest(key, method, path, sender, time_text, nonce, body)
    if not hmac.compare_digest(expected.encode(), digest.encode()):
        return Failure(PeerAuthError.BAD_DIGEST)
    time_ms = int(time_text)
    if abs(now_ms - time_ms) > MAX_CLOCK_DIFFERENCE_MS:
        return Failure(PeerAuthError.CLOCK_DIFFERENCE)
    refusal = _record_nonce(store, sender, nonce, time_ms, now_ms)
    return Failure(refusal) if refusal else Success(sender)
