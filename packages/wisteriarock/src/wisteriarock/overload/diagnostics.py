"""What operators see of the work under way and of the work that waits."""

from .models import OverloadState, Room


def dump_overload(state: OverloadState, now_ms: float) -> dict[str, object]:
    """Return the rooms of this instance, with the customers that wait in them."""
    rooms = {"processor": state.processor} if state.version else {}
    return {
        "rooms": {name: _dump_room(room) for name, room in (rooms | state.services).items()},
        "short_for_ms": {
            service: round(max(0.0, until_ms - now_ms))
            for service, until_ms in state.short_until_ms.items()
        },
    }


def _dump_room(room: Room) -> dict[str, object]:
    return {
        "places": round(room.places, 1),
        "used": round(room.used, 1),
        "pace": round(room.pace, 2),
        "waiting": room.waiting_count,
        "customers": {
            name: {
                "waiting": len(use.waiting),
                "asked": round(use.asked, 1),
                "started": round(use.started, 1),
            }
            for name, use in room.uses.items()
            if use.waiting
        },
    }


def overload_gauges(state: OverloadState, now_ms: float) -> dict[str, tuple[str, float]]:
    """Return the help text and the value of each gauge, by name."""
    rooms = [state.processor, *state.services.values()]
    waiting = sum(room.waiting_count for room in rooms)
    short = sum(until_ms > now_ms for until_ms in state.short_until_ms.values())
    return {
        "overload_waiting": ("Requests that wait for room", float(waiting)),
        "services_short": ("Services short of room", float(short)),
    }
