"""Decide which head an instance adopts and who watches the platform."""

import random
from collections.abc import Collection, Iterable, Mapping

from returns.result import Failure, Result, Success

from wisteriarock.membership.decide import rank_instances

from .const import (
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    MAX_PEERS_PER_ROUND,
    WATCH_ROLE,
    WATCHERS_PER_ZONE,
)
from .models import ActiveBundle, AdoptionError, HeadClaim, PeerHead


def is_watcher(instance: str, zone_instances: Iterable[str]) -> bool:
    """Tell whether an instance watches the platform for its zone.

    Parameters
    ----------
    instance : str
        This instance.
    zone_instances : iterable of str
        Live instances of its zone, itself included.
    """
    return instance in rank_instances(WATCH_ROLE, zone_instances)[:WATCHERS_PER_ZONE]


def live_heads(
    heads: Mapping[str, PeerHead], now_ms: float, suspect_after_ms: float
) -> dict[str, HeadClaim]:
    """Return what the peers that were heard recently have in force."""
    return {
        name: head.claim
        for name, head in heads.items()
        if now_ms - head.heard_at_ms <= suspect_after_ms and head.claim.revision > 0
    }


def wanted_heads(
    current: ActiveBundle | None,
    provisional: bool,
    claims: Iterable[HeadClaim],
    refused: Collection[str],
) -> list[HeadClaim]:
    """Return the heads worth fetching, the best first.

    Parameters
    ----------
    current : ActiveBundle or None
        The bundle in force.
    provisional : bool
        Whether it came from the bundle file. Such a bundle may never have been rolled forward, so
        an accepted one of the same revision replaces it.
    claims : iterable of HeadClaim
        Heads that the platform and the live peers name.
    refused : collection of str
        Digests that failed before.

    Returns
    -------
    list of HeadClaim
        Highest revision first, and among equals the lowest digest, so that all instances choose
        alike. The lower ones matter when no source gives the body of the highest.
    """
    lowest = 1
    if current is not None:
        lowest = current.revision if provisional else current.revision + 1
    open_claims = {
        claim
        for claim in claims
        if claim.revision >= lowest
        and claim.digest not in refused
        and (current is None or claim.digest != current.digest)
    }
    return sorted(open_claims, key=lambda claim: (-claim.revision, claim.digest))


def adopt(
    current: ActiveBundle | None, provisional: bool, candidate: ActiveBundle
) -> Result[ActiveBundle, AdoptionError]:
    """Decide whether a verified bundle replaces the one in force.

    Parameters
    ----------
    current : ActiveBundle or None
        The bundle in force.
    provisional : bool
        Whether it came from the bundle file.
    candidate : ActiveBundle
        A verified bundle.

    Returns
    -------
    Result
        The candidate, or why the current one stays. Revisions never go back. The next revision
        must name the current envelope as its previous one; with a gap between the two the
        envelopes in between are not known here, and the higher signed revision is taken.
    """
    if current is None:
        return Success(candidate)
    if provisional and candidate.revision == current.revision:
        return Success(candidate)
    if candidate.revision <= current.revision:
        return Failure(AdoptionError.NOT_NEWER)
    follows = candidate.revision == current.revision + 1
    if follows and not provisional and candidate.envelope["previous_digest"] != current.digest:
        return Failure(AdoptionError.CHAIN_BROKEN)
    return Success(candidate)


def source_order(
    claim: HeadClaim,
    peer_claims: Mapping[str, HeadClaim],
    own_zone: Collection[str],
    rng: random.Random,
) -> tuple[list[str], list[str]]:
    """Return the peers that have a head: those of the own zone, then the others.

    Each list is shuffled, so that the peers share the work of sending a new bundle, and bounded,
    so that silent peers do not delay the other sources by one time-out each.
    """
    having = sorted(name for name, other in peer_claims.items() if other == claim)
    near = [name for name in having if name in own_zone]
    far = [name for name in having if name not in own_zone]
    rng.shuffle(near)
    rng.shuffle(far)
    return near[:MAX_PEERS_PER_ROUND], far[:MAX_PEERS_PER_ROUND]


def backoff_ms(failures: int, rng: random.Random) -> float:
    """Return how long to wait after a number of failures in a row.

    Doubles from `BACKOFF_FIRST_MS` to `BACKOFF_MAX_MS`. The jitter takes away up to half, so that
    instances that failed together do not call again together.
    """
    if failures <= 0:
        return 0.0
    # The exponent is bounded so that a long outage does not overflow the float.
    full_ms = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2.0 ** min(failures - 1, 20))
    return full_ms * rng.uniform(0.5, 1.0)
