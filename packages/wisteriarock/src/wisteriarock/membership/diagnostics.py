"""Membership section of the state dump."""

from typing import Any

from wisteriarock.blackboard.models import Blackboard

from .models import MembershipState


def membership_diagnostics(
    board: Blackboard, state: MembershipState, now_ms: float
) -> dict[str, Any]:
    """Return the members, the endpoint assignment and the endpoint views."""
    return {
        "incarnation": board.incarnation,
        "members": {
            name: {
                "zone": member.zone,
                "phase": member.phase.value,
                "incarnation": member.incarnation,
                "heard_ago_ms": round(now_ms - member.last_heartbeat_at_ms),
                "bundle_revision": member.bundle_revision,
                "holding": sorted(state.holding.get(name, ())),
            }
            for name, member in sorted(board.members.items())
        },
        "assignment": dict(sorted(state.assignment.items())),
        "endpoint_views": {name: dict(view) for name, view in sorted(board.endpoint_views.items())},
        "platform_list_age_ms": (
            round(now_ms - board.instance_list_at_ms) if board.instance_list else None
        ),
    }
