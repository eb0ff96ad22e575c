"""Keyed digest of requests between instances, with replay protection."""

import hmac
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash
from returns.result import Failure, Result, Success

from wisteriarock.settings.models import PeerKey

from .const import (
    CLOCK_DIFFERENCE_MS,
    HEADER_DIGEST,
    HEADER_INSTANCE,
    HEADER_KEY_ID,
    HEADER_NONCE,
    HEADER_TIME,
    MAX_NONCE_LENGTH,
    MAX_NONCES,
    NONCE_GROUP_MS,
)
from .models import PeerAuthError


@dataclass
class NonceStore:
    """Hashes of senders and nonces that were accepted, in groups by the time in the request."""

    groups: dict[int, set[int]] = field(default_factory=dict)
    size: int = 0


def _digest(
    key: PeerKey, method: str, path: str, sender: str, time_ms: str, nonce: str, body: bytes
) -> str:
    # Header values can't hold a line break, so the parts can't run into each other.
    head = "\n".join((method, path, sender, time_ms, nonce, ""))
    return hmac.digest(key["secret"].encode(), head.encode() + body, "sha256").hex()


def sign(
    key: PeerKey, method: str, path: str, sender: str, time_ms: int, nonce: str, body: bytes
) -> dict[str, str]:
    """Return the headers that authenticate a request.

    Parameters
    ----------
    key : PeerKey
        The key that signs.
    method, path : str
        As in the request line, without the query.
    sender : str
        Name of this instance.
    time_ms : int
        Wall-clock time in milliseconds.
    nonce : str
        Never used before by this sender.
    body : bytes
        The body, empty if there is none.
    """
    return {
        HEADER_INSTANCE: sender,
        HEADER_TIME: str(time_ms),
        HEADER_NONCE: nonce,
        HEADER_KEY_ID: key["key_id"],
        HEADER_DIGEST: _digest(key, method, path, sender, str(time_ms), nonce, body),
    }


def _take_nonce(
    store: NonceStore, sender: str, nonce: str, time_ms: int, now_ms: float
) -> PeerAuthError | None:
    oldest = int(now_ms - CLOCK_DIFFERENCE_MS) // NONCE_GROUP_MS
    for group in [group for group in store.groups if group < oldest]:
        store.size -= len(store.groups.pop(group))
    seen = store.groups.setdefault(time_ms // NONCE_GROUP_MS, set())
    mark = xxhash.xxh3_64_intdigest(f"{sender}\n{nonce}".encode())
    if mark in seen:
        return PeerAuthError.REPLAYED
    if store.size >= MAX_NONCES:
        return PeerAuthError.TOO_MANY
    seen.add(mark)
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
    """Check a request and take its nonce.

    Parameters
    ----------
    keys : sequence of PeerKey
        All keys that are valid now.
    method, path : str
        As received.
    headers : mapping
        As received; names are looked up as `const` spells them.
    body : bytes
        As received.
    now_ms : float
        Wall-clock time in milliseconds.
    store : NonceStore
        Changed in place when the request is accepted.

    Returns
    -------
    Result
        Name of the sender, or why the request is refused.
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
    if abs(now_ms - time_ms) > CLOCK_DIFFERENCE_MS:
        return Failure(PeerAuthError.CLOCK_DIFFERENCE)
    refusal = _take_nonce(store, sender, nonce, time_ms, now_ms)
    return Failure(refusal) if refusal else Success(sender)
