"""Decide to which customer a key belongs."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from wisteriarock.catalog.models import Catalog, Customer

from .const import KEY_DIGEST_BYTES, KEY_NEWS_AGE_MAX_MS


class KeyRefusal(NamedTuple):
    """Why a request is refused because of its key; `status` is the HTTP status."""

    status: int
    reason: str


NOT_LOADED = KeyRefusal(503, "no current configuration yet")
MAYBE_NEW = KeyRefusal(503, "key may be newer than the configuration of this instance")
NO_KEY = KeyRefusal(401, "no valid key")
UNKNOWN = KeyRefusal(401, "unknown key")


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known; the key itself is kept nowhere."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


def index_keys(customers: Iterable[Customer]) -> tuple[dict[bytes, Customer], frozenset[str]]:
    """Index customers by the digests of their keys.

    Returns
    -------
    tuple
        The index, and the names of customers that name a key of another one. Such a key is no
        key: it does not tell which of them a request belongs to.
    """
    by_key: dict[bytes, Customer] = {}
    shared: dict[bytes, set[str]] = {}
    for customer in customers:
        for digest in customer.key_digests:
            other = by_key.setdefault(digest, customer)
            if other is not customer:
                shared.setdefault(digest, {other.name}).add(customer.name)
    for digest in shared:
        del by_key[digest]
    return by_key, frozenset(name for names in shared.values() for name in names)


def find_customer(
    catalog: Catalog, key_digest: bytes | None, news_age_ms: float, *, is_loaded: bool
) -> Customer | KeyRefusal:
    """Return the customer that holds a key, or why the request is refused.

    Parameters
    ----------
    key_digest : bytes or None
        Digest of the key; None if the request has none, or a malformed one.
    news_age_ms : float
        Time since the store was last heard of, directly or through a relay.
    is_loaded : bool
        Whether the configuration was brought up to date since the start of the process. Until
        then it may still name a key that was withdrawn before.
    """
    if not is_loaded:
        return NOT_LOADED
    if key_digest is None:
        return NO_KEY
    customer = catalog.customers_by_key.get(key_digest)
    if customer is not None:
        return customer
    return MAYBE_NEW if news_age_ms > KEY_NEWS_AGE_MAX_MS else UNKNOWN
