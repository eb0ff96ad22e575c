"""Admission section of the state dump."""

from typing import Any

from .models import AdmissionState


def admission_diagnostics(state: AdmissionState) -> dict[str, Any]:
    """Return the state of the callers' limits, without credentials or their digests."""
    return {
        "revision": state.revision,
        "callers": {
            name: {
                "tokens": round(caller.bucket.tokens, 1),
                "rate_per_s": round(caller.bucket.rate_per_s, 1),
                "demand_per_s": round(caller.demand_per_s, 1),
            }
            for name, caller in state.callers.items()
        },
    }
