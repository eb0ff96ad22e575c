"""Feed logic: answers to followers, the choice of relays and the number of live instances."""

import json
import zlib
from collections.abc import Sequence

from wisteriarock.codec.json_text import is_printable, parse_json
from wisteriarock.gathering.decide import choose_gatherers, decode_gatherers, encode_gatherers
from wisteriarock.gathering.models import FanOutShape, Gatherer
from wisteriarock.http.address import parse_ip_address
from wisteriarock.quarantine.const import NOTICE_TTL_MS, NOTICES_MAX
from wisteriarock.quarantine.models import Notice
from wisteriarock.store.models import Item, Position

from .const import (
    ANSWER_MAX_BYTES,
    ANSWER_REUSE_MS,
    COMPRESSION_LEVEL,
    FEED_TIMEOUT_MS,
    FOLLOWER_TIMEOUT_MS,
    HISTORY_MAX_BYTES,
    HISTORY_MAX_CHANGES,
    INSTANCE_COUNT_TTL_MS,
    LOST_ZONES_TTL_MS,
    RELAY_KEY_PREFIX,
)
from .models import FeedAnswer, FeedState, Relay, RelayValue

_POSITION_MAX_DIGITS = 18


def reset_history(state: FeedState, position: Position) -> None:
    """Clear the history and start it at the position of a full load."""
    state.history.clear()
    state.history_bytes = 0
    state.history_start = position
    state.position = position


def record_changes(state: FeedState, items: list[Item], position: Position) -> list[Item]:
    """Add the changes up to a position to the history; return those that are new.

    Several sources deliver the same changes, each of them completely and in order.
    """
    new_items = [item for item in items if item.position > state.position]
    state.history.extend(new_items)
    state.history_bytes += sum(len(item.value or b"") for item in new_items)
    while len(state.history) > HISTORY_MAX_CHANGES or state.history_bytes > HISTORY_MAX_BYTES:
        oldest = state.history.popleft()
        state.history_bytes -= len(oldest.value or b"")
        state.history_start = oldest.position
    state.position = max(state.position, position)
    return new_items


def lacks_era(state: FeedState, known_era: int) -> bool:
    """Return whether the store has returned from a copy that this instance has not read yet."""
    return state.position.revision > 0 and known_era > state.position.era


def changes_after(
    state: FeedState,
    after: Position,
    store_age_ms: float,
    failure_free_ms: float,
    now_ms: float = 0.0,
) -> FeedAnswer | None:
    """Return the changes after a position, or None if the history starts later.

    A follower of a former era gets everything, if the history holds all of this era.
    """
    is_full = after.era < state.position.era
    start = Position(state.position.era, 0) if is_full else after
    if start < state.history_start:
        return None
    changes = [
        (
            item.key,
            item.position.revision,
            None if item.value is None else item.value.decode("latin-1"),
        )
        for item in state.history
        if item.position > start
    ]
    return {
        "era": state.position.era,
        "revision": state.position.revision,
        "copy_revision": state.copy_revision,
        "is_full": is_full,
        "store_age_ms": store_age_ms,
        "calm_ms": failure_free_ms,
        "changes": changes,
        "lost_zones": [],
        "zone": state.zone,
        "gatherers": _encode_own_gatherers(state),
        "notices": current_notices(state, now_ms),
    }


def _encode_own_gatherers(state: FeedState) -> list[list[str | float]] | None:
    return None if state.gatherers is None else encode_gatherers(state.gatherers)


def standby_answer(
    state: FeedState, store_age_ms: float, failure_free_ms: float, lost_zones: Sequence[str] = ()
) -> FeedAnswer:
    """Return an answer with the position of the relay, without changes."""
    return {
        "era": state.position.era,
        "revision": state.position.revision,
        "copy_revision": state.copy_revision,
        "is_full": False,
        "store_age_ms": store_age_ms,
        "calm_ms": failure_free_ms,
        "changes": None,
        "lost_zones": list(lost_zones),
        "zone": state.zone,
        "gatherers": None,
        "notices": [],
    }


def record_lost_zones(state: FeedState, zones: Sequence[str], now_ms: float) -> bool:
    """Record the zones that an instance reported as lost; return whether they are new."""
    is_changed = not current_lost_zones(state, now_ms) or set(zones) != set(state.lost_zones)
    if zones:
        state.lost_zones, state.lost_zones_at_ms = tuple(zones), now_ms
    return bool(zones) and is_changed


def current_lost_zones(state: FeedState, now_ms: float) -> tuple[str, ...]:
    """Return the zones reported as lost within `LOST_ZONES_TTL_MS`."""
    return state.lost_zones if now_ms - state.lost_zones_at_ms < LOST_ZONES_TTL_MS else ()


def record_notice(state: FeedState, notice: Notice, now_ms: float) -> bool:
    """Record a notice to be passed on; return whether it is new."""
    for old in [each for each, at_ms in state.notices.items() if now_ms - at_ms >= NOTICE_TTL_MS]:
        del state.notices[old]
    if notice in state.notices:
        return False
    state.notices[notice] = now_ms
    while len(state.notices) > NOTICES_MAX:
        del state.notices[next(iter(state.notices))]
    state.encoded_answers.clear()
    return True


def current_notices(state: FeedState, now_ms: float) -> list[Notice]:
    """Return the notices that were reported within `NOTICE_TTL_MS`."""
    return [notice for notice, at_ms in state.notices.items() if now_ms - at_ms < NOTICE_TTL_MS]


def encode_position(position: Position) -> str:
    """Return a position as a follower names it in its call."""
    return f"{position.era}.{position.revision}"


def parse_position(text: str, default_era: int) -> Position | None:
    """Return the position that a follower names, None if it is malformed.

    An instance that does not know eras names a revision alone, which is of the default era.
    """
    era, dot, revision = text.partition(".")
    if not dot:
        era, revision = str(default_era), era
    if not (era.isdecimal() and revision.isdecimal() and text.isascii()):
        return None
    if max(len(era), len(revision)) > _POSITION_MAX_DIGITS:
        return None
    return Position(int(era), int(revision))


def encode_answer(answer: FeedAnswer) -> bytes:
    """Encode an answer as compressed JSON."""
    text = json.dumps(answer, separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def encoded_changes(
    state: FeedState, after: Position, store_age_ms: float, failure_free_ms: float, now_ms: float
) -> bytes | None:
    """Return the encoded changes after a position, or None if the history starts later.

    Followers woken at the same time ask for the same changes, so the encoded answer is cached.
    """
    if now_ms - state.encoded_at_ms > ANSWER_REUSE_MS or state.encoded_position != state.position:
        state.encoded_answers.clear()
        state.encoded_at_ms, state.encoded_position = now_ms, state.position
    body = state.encoded_answers.get(after)
    if body is None:
        answer = changes_after(state, after, store_age_ms, failure_free_ms, now_ms)
        if answer is None:
            return None
        body = state.encoded_answers[after] = encode_answer(answer)
    return body


def decode_answer(body: bytes) -> tuple[list[Item] | None, FeedAnswer] | None:
    """Decode a relay's answer.

    Returns
    -------
    tuple or None
        The changes (None in a standby answer) and the other fields of the answer; None if the
        answer is malformed.
    """
    try:
        # The history of a relay is bounded, so a larger answer is malformed and fails to parse.
        text = zlib.decompressobj().decompress(body, ANSWER_MAX_BYTES)
        data = parse_json(text)
        changes = data["changes"]
        era = int(data.get("era", 0))
        if not 0 <= era < 10**_POSITION_MAX_DIGITS:
            return None
        items = (
            None
            if changes is None
            else [
                Item(
                    str(key),
                    None if value is None else value.encode("latin-1"),
                    Position(era, int(revision)),
                )
                for key, revision, value in changes
            ]
        )
        answer: FeedAnswer = {
            "era": era,
            "revision": int(data["revision"]),
            "copy_revision": int(data.get("copy_revision", 0)),
            "is_full": bool(data.get("is_full", False)),
            "store_age_ms": float(data["store_age_ms"]),
            "calm_ms": float(data["calm_ms"]),
            "changes": None,
            "lost_zones": [str(zone) for zone in data["lost_zones"]],
            "zone": str(data.get("zone", "")),
            "gatherers": data.get("gatherers"),
            "notices": [
                Notice(str(route), str(fingerprint), bool(is_confirmed))
                for route, fingerprint, is_confirmed in data.get("notices", ())
            ],
        }
    except (zlib.error, ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None
    return items, answer


def apply_relay_item(state: FeedState, item: Item, now_ms: float) -> bool:
    """Update the known relays from an item; return whether its key belongs to a relay."""
    if not item.key.startswith(RELAY_KEY_PREFIX):
        return False
    zone = item.key.removeprefix(RELAY_KEY_PREFIX)
    relay = None if item.value is None else _decode_relay_value(zone, item.value, item.position)
    if relay is None:
        state.relays.pop(zone, None)
    else:
        state.relays[zone] = relay
        if relay.instances:
            state.instance_counts[zone] = (relay.instances, now_ms)
            state.gatherer_counts[zone] = relay.gatherers
    return True


def _decode_relay_value(zone: str, value: bytes, position: Position) -> Relay | None:
    try:
        data: RelayValue = parse_json(value)
        address = parse_ip_address(data["address"])
        instances = max(0, int(data["instances"]))
        gatherers = max(0, int(data.get("gatherers", 0)))
        instance = data["instance"]
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None
    if address is None or not is_printable(instance):
        return None
    return Relay(zone, instance, *address, instances, gatherers, position.revision)


def encode_relay_value(
    instance: str, host: str, port: int, instances: int, gatherers: int = 0
) -> bytes:
    """Encode the value that a relay writes to its key in the store."""
    value: RelayValue = {
        "instance": instance,
        "address": f"{host}:{port}",
        "instances": instances,
        "gatherers": gatherers,
    }
    return json.dumps(value, separators=(",", ":")).encode()


def is_root(state: FeedState) -> bool:
    """Return whether this instance is the relay that watches the store for the other relays.

    That is the relay of the first zone in alphabetical order. A relay follows only relays of zones
    before its own, so that relays never follow each other in a circle.
    """
    return state.lease is not None and state.zone <= min(state.relays, default=state.zone)


def choose_relays(state: FeedState, zone: str, instance: str) -> list[Relay]:
    """Return the relays to follow: the relay of the local zone, then one of another zone.

    The other zone is the next one in alphabetical order, so that the zones follow different relays.
    A relay follows only the root.
    """
    if state.lease is not None:
        return [] if is_root(state) else [state.relays[min(state.relays)]]
    chosen = []
    own = state.relays.get(zone)
    if own is not None and own.instance != instance:
        chosen.append(own)
    others = sorted(name for name in state.relays if name != zone)
    candidates = [name for name in others if name > zone] or others
    if candidates:
        chosen.append(state.relays[candidates[0]])
    return chosen


def has_live_feed(state: FeedState, now_ms: float) -> bool:
    """Return whether changes arrive from relays, so that this instance need not watch the store.

    False as soon as every relay refuses: the store may serve this instance although the relays are
    cut off from it.
    """
    if is_root(state):
        return False
    return any(
        now_ms - answered_at_ms < FEED_TIMEOUT_MS
        for answered_at_ms in state.relay_answered_at_ms.values()
    )


def has_live_relay(state: FeedState, rank: int, now_ms: float) -> bool:
    """Return whether the relay at a rank in `choose_relays` delivers changes."""
    answered_at_ms = state.relay_answered_at_ms.get(rank)
    return answered_at_ms is not None and now_ms - answered_at_ms < FEED_TIMEOUT_MS


def count_own_zone_instances(state: FeedState, zone: str, now_ms: float) -> int:
    """Return the number of instances of the local zone for this relay to publish.

    A new relay has not received calls of all its followers yet. It publishes the number of its
    predecessor, or 0 (not known).
    """
    gone = [
        name
        for name, called_at_ms in state.followers.items()
        if now_ms - called_at_ms > FOLLOWER_TIMEOUT_MS
    ]
    for name in gone:
        del state.followers[name]
        state.candidates.pop(name, None)
    if state.lease is None or now_ms - state.relay_since_ms < FOLLOWER_TIMEOUT_MS:
        count, counted_at_ms = state.instance_counts.get(zone, (0, 0.0))
        return count if now_ms - counted_at_ms < INSTANCE_COUNT_TTL_MS else 0
    return 1 + len(state.followers)


def count_instances(state: FeedState, now_ms: float) -> int | None:
    """Return the number of instances in all zones, or None if any zone is not counted yet."""
    for relay in state.relays.values():
        if relay.instances:
            state.instance_counts[relay.zone] = (relay.instances, now_ms)
    instance_counts = {
        zone: count
        for zone, (count, counted_at_ms) in state.instance_counts.items()
        if now_ms - counted_at_ms < INSTANCE_COUNT_TTL_MS
    }
    if not instance_counts or any(zone not in instance_counts for zone in state.relays):
        return None
    return sum(instance_counts.values())


def update_gatherers(
    state: FeedState, own: Gatherer, shape: FanOutShape, instances: int, now_ms: float
) -> None:
    """Choose the gatherers of the local zone again, as its relay.

    A new relay has not received calls of all its followers yet and keeps the current gatherers.

    Parameters
    ----------
    own : Gatherer
        This instance as a candidate.
    instances : int
        Number of instances in all zones.
    """
    if state.lease is None or now_ms - state.relay_since_ms < FOLLOWER_TIMEOUT_MS:
        return
    candidates = [own, *(each for name, each in state.candidates.items() if name != own.name)]
    state.gatherers = choose_gatherers(candidates, shape, instances)


def accept_gatherers(state: FeedState, answer: FeedAnswer) -> bool:
    """Adopt the gatherers in a relay's answer; return False if they are malformed."""
    rows = answer["gatherers"]
    if rows is None or answer["zone"] != state.zone or state.lease is not None:
        return True
    try:
        state.gatherers = decode_gatherers(rows)
    except (ValueError, TypeError):
        return False
    return True


def count_assigned_instances(state: FeedState, now_ms: float) -> int | None:
    """Return the number of instances that usually query a given shard, or None if it is not known.

    In a zone with gatherers this is one, in other zones it is every instance.
    """
    if count_instances(state, now_ms) is None:
        return None
    return sum(
        1 if state.gatherer_counts.get(zone) else count
        for zone, (count, counted_at_ms) in state.instance_counts.items()
        if now_ms - counted_at_ms < INSTANCE_COUNT_TTL_MS
    )


def count_gatherers(state: FeedState, now_ms: float) -> int | None:
    """Return the number of instances that query endpoints, or None if it is not known.

    In a zone without gatherers, every instance does.
    """
    if count_instances(state, now_ms) is None:
        return None
    return sum(
        state.gatherer_counts.get(zone) or count
        for zone, (count, counted_at_ms) in state.instance_counts.items()
        if now_ms - counted_at_ms < INSTANCE_COUNT_TTL_MS
    )
