"""Bundle section of the state dump."""

from collections.abc import Collection, Mapping
from typing import Any

from .const import ATTR_DIGEST, ATTR_REVISION, ATTR_STATE
from .models import ActiveBundle, BundleSource, Head, HeadClaim


def describe_bundle(bundle: ActiveBundle | None) -> dict[str, Any] | None:
    """Return the identity and sizes of a bundle, without the credential digests of callers."""
    if bundle is None:
        return None
    content = bundle.content
    return {
        ATTR_REVISION: bundle.revision,
        ATTR_DIGEST: bundle.digest,
        "content_digest": bundle.envelope["content_digest"],
        "previous_digest": bundle.envelope["previous_digest"],
        "proposer": bundle.envelope["proposer"],
        "approver": bundle.envelope["approver"],
        "organisations": len(content["organisations"]),
        "callers": len(content["callers"]),
        "kinds": sorted(content["kinds"]),
        "services": len(content["services"]),
        "endpoints": sum(len(s["endpoints"]) for s in content["services"].values()),
    }


def describe_distribution(
    state: str,
    source: BundleSource,
    head_seen: Head | None,
    is_watching: bool,
    peer_claims: Mapping[str, HeadClaim],
    refused_digests: Collection[str],
    failures: int,
    last_refusal: str,
) -> dict[str, Any]:
    """Return the state of bundle distribution on this instance."""
    return {
        ATTR_STATE: state,
        "source": source.value,
        "head_seen": head_seen,
        "watches_platform": is_watching,
        "peer_heads": {name: list(claim) for name, claim in sorted(peer_claims.items())},
        "refused_digests": sorted(refused_digests),
        "failures_in_a_row": failures,
        "last_refusal": last_refusal,
    }
