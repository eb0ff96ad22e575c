"""Decide which heads an instance adopts, where it fetches them and which instances watch."""

import random
from collections.abc import Collection, Iterable, Mapping

from returns.result import Failure, Result, Success

from wisteriarock.membership.decide import rank_instances

from .const import (
    MAX_PEERS_PER_ROUND,
    RETRY_BACKOFF_MAX_MS,
    RETRY_BACKOFF_MIN_MS,
    WATCH_ROLE,
    WATCHERS_PER_ZONE,
)
from .models import ActiveBundle, AdoptionError, HeadClaim, PeerHead


def is_watcher(instance: str, zone_instances: Iterable[str]) -> bool:
    """Return whether an instance watches the platform on behalf of its zone.

    Parameters
    ----------
    instance : str
        Name of the instance.
    zone_instances : iterable of str
        Live instances of its zone, including itself.
    """
    return instance in rank_instances(WATCH_ROLE, zone_instances)[:WATCHERS_PER_ZONE]


def live_peer_claims(
    heads: Mapping[str, PeerHead], now_ms: float, suspect_after_ms: float
) -> dict[str, HeadClaim]:
    """Return the heads of peers whose last heartbeat is at most `suspect_after_ms` old."""
    return {
        name: head.claim
        for name, head in heads.items()
        if now_ms - head.received_at_ms <= suspect_after_ms and head.claim.revision > 0
    }


def rank_candidate_heads(
    current: ActiveBundle | None,
    is_provisional: bool,
    claims: Iterable[HeadClaim],
    refused_digests: Collection[str],
) -> list[HeadClaim]:
    """Return the heads that may replace the active bundle, best first.

    Parameters
    ----------
    current : ActiveBundle or None
        The active bundle.
    is_provisional : bool
        Whether the active bundle came from the bundle file. Such a bundle may never have become
        the head, so a head of the same revision may replace it.
    claims : iterable of HeadClaim
        Heads reported by the platform and the live peers.
    refused_digests : collection of str
        Digests of bundles that were refused before.

    Returns
    -------
    list of HeadClaim
        Highest revision first, then lowest digest, so that all instances make the same choice.
        The other heads are used if no source supplies the body of the first one.
    """
    min_revision = 1
    if current is not None:
        min_revision = current.revision if is_provisional else current.revision + 1
    candidates = {
        claim
        for claim in claims
        if claim.revision >= min_revision
        and claim.digest not in refused_digests
        and (current is None or claim.digest != current.digest)
    }
    return sorted(candidates, key=lambda claim: (-claim.revision, claim.digest))


def decide_adoption(
    current: ActiveBundle | None, is_provisional: bool, candidate: ActiveBundle
) -> Result[ActiveBundle, AdoptionError]:
    """Decide whether a verified bundle replaces the active one.

    Parameters
    ----------
    current : ActiveBundle or None
        The active bundle.
    is_provisional : bool
        Whether the active bundle came from the bundle file.
    candidate : ActiveBundle
        A verified bundle.

    Returns
    -------
    Result
        The candidate, or the reason for keeping the current bundle. Revisions never decrease. A
        candidate of the next revision must refer to the current envelope as its previous one. If
        revisions in between were missed, their envelopes are unknown to this instance and the
        candidate is accepted without that check.
    """
    if current is None:
        return Success(candidate)
    if is_provisional and candidate.revision == current.revision:
        return Success(candidate)
    if candidate.revision <= current.revision:
        return Failure(AdoptionError.NOT_NEWER)
    is_successor = candidate.revision == current.revision + 1
    if (
        is_successor
        and not is_provisional
        and candidate.envelope["previous_digest"] != current.digest
    ):
        return Failure(AdoptionError.CHAIN_BROKEN)
    return Success(candidate)


def select_peers(
    claim: HeadClaim,
    peer_claims: Mapping[str, HeadClaim],
    own_zone_members: Collection[str],
    rng: random.Random,
) -> tuple[list[str], list[str]]:
    """Return peers that have a head, those of the local zone and those of other zones.

    Each list is shuffled, to spread the load of sending a new bundle over the peers, and limited,
    as each unresponsive peer delays the remaining sources by one timeout.
    """
    peers_with_head = sorted(name for name, other in peer_claims.items() if other == claim)
    zone_peers = [name for name in peers_with_head if name in own_zone_members]
    other_peers = [name for name in peers_with_head if name not in own_zone_members]
    rng.shuffle(zone_peers)
    rng.shuffle(other_peers)
    return zone_peers[:MAX_PEERS_PER_ROUND], other_peers[:MAX_PEERS_PER_ROUND]


def backoff_ms(failures: int, rng: random.Random) -> float:
    """Return the delay before the next attempt after a number of consecutive failures.

    It doubles from `RETRY_BACKOFF_MIN_MS` to `RETRY_BACKOFF_MAX_MS`. Jitter then reduces it by up
    to half, so that instances that failed together do not retry together.
    """
    if failures <= 0:
        return 0.0
    # The exponent is limited so that the float does not overflow during a long outage.
    full_ms = min(RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MIN_MS * 2.0 ** min(failures - 1, 20))
    return full_ms * rng.uniform(0.5, 1.0)
