"""Applies changes of endpoint entries to the directory."""

from collections.abc import Iterable

from wisteriarock.balancing.models import Endpoint
from wisteriarock.store.models import Item, Position, Snapshot

from .const import (
    DEPARTED_MAX,
    DEPARTED_TTL_MS,
    LAPSE_GRACE_MS,
    RETRY_BACKOFF_INSTANCES,
    RETRY_BACKOFF_LIMIT_MS,
    RETRY_BACKOFF_MAX_MS,
)
from .listing import list_endpoint, unlist_endpoint
from .models import Departed, Directory, DirectoryChange, EndpointEntry


def _create_endpoint(entry: EndpointEntry, now_ms: float) -> Endpoint:
    endpoint = Endpoint(
        entry.endpoint_id, entry.service, entry.host, entry.port, entry.zone, max(1, entry.slots)
    )
    endpoint.started_at_unix_ms = entry.started_at_unix_ms
    endpoint.cold_until_ms = now_ms + entry.cold_left_ms
    return endpoint


def apply_entry(directory: Directory, entry: EndpointEntry, now_ms: float) -> list[DirectoryChange]:
    """Add or update an endpoint from its entry.

    A new process, address or service under the same id replaces the endpoint and discards its
    statistics, which describe the former process.

    Returns
    -------
    list of DirectoryChange
        What changed; empty for a heartbeat that changes nothing.
    """
    directory.lapsed_until_ms.pop(entry.endpoint_id, None)
    current = directory.by_id.get(entry.endpoint_id)
    changes: list[DirectoryChange] = []
    if current is not None:
        is_same = (
            current.host == entry.host
            and current.port == entry.port
            and current.service == entry.service
            and current.started_at_unix_ms == entry.started_at_unix_ms
        )
        if is_same:
            current.slots = max(1, entry.slots)
            if entry.cold_left_ms > 0:
                current.cold_until_ms = now_ms + entry.cold_left_ms
            if entry.is_draining and not current.is_draining:
                current.is_draining = True
                unlist_endpoint(directory, current)
                changes.append(DirectoryChange("draining", current, False))
            elif not entry.is_draining and current.is_draining and not current.has_said_leaving:
                current.is_draining = False
                list_endpoint(directory, current)
                changes.append(DirectoryChange("ready", current, False))
            return changes
        unlist_endpoint(directory, current)
        changes.append(DirectoryChange("replaced", current, True))
    endpoint = _create_endpoint(entry, now_ms)
    endpoint.is_draining = entry.is_draining
    endpoint.is_evacuated = entry.zone in directory.evacuations
    directory.by_id[entry.endpoint_id] = endpoint
    if not entry.is_draining:
        list_endpoint(directory, endpoint)
    changes.append(DirectoryChange("added", endpoint, False))
    return changes


def mark_leaving(directory: Directory, endpoint: Endpoint) -> list[DirectoryChange]:
    """Drain an endpoint that says itself that it leaves, whatever its entry says.

    A new process, or another endpoint at the address, is not leaving.
    """
    endpoint.has_said_leaving = True
    if endpoint.is_draining or directory.by_id.get(endpoint.endpoint_id) is not endpoint:
        return []
    endpoint.is_draining = True
    unlist_endpoint(directory, endpoint)
    return [DirectoryChange("draining", endpoint, False)]


def remove_entry(
    directory: Directory, endpoint_id: str, now_ms: float, *, may_have_lapsed: bool
) -> list[DirectoryChange]:
    """Remove an endpoint whose entry was deleted or has expired.

    Parameters
    ----------
    may_have_lapsed : bool
        The store had an outage recently, so the entry may have expired although the endpoint is
        alive. The endpoint then stays in use for `LAPSE_GRACE_MS`.
    """
    endpoint = directory.by_id.get(endpoint_id)
    if endpoint is None:
        return []
    if may_have_lapsed and not endpoint.is_draining:
        directory.lapsed_until_ms.setdefault(endpoint_id, now_ms + LAPSE_GRACE_MS)
        return [DirectoryChange("lapsed", endpoint, False)]
    return [_drop_endpoint(directory, endpoint, now_ms)]


def _drop_endpoint(directory: Directory, endpoint: Endpoint, now_ms: float) -> DirectoryChange:
    _remember_departed(directory, endpoint, now_ms)
    directory.by_id.pop(endpoint.endpoint_id, None)
    directory.lapsed_until_ms.pop(endpoint.endpoint_id, None)
    unlist_endpoint(directory, endpoint)
    endpoint.is_draining = True
    return DirectoryChange("gone", endpoint, False)


def expire_lapsed(directory: Directory, now_ms: float) -> list[DirectoryChange]:
    """Remove endpoints whose lapsed entries did not reappear in time."""
    expired_ids = [
        endpoint_id
        for endpoint_id, until_ms in directory.lapsed_until_ms.items()
        if until_ms <= now_ms
    ]
    return [
        _drop_endpoint(directory, directory.by_id[endpoint_id], now_ms)
        for endpoint_id in expired_ids
    ]


def resync(
    directory: Directory, entries: Iterable[EndpointEntry], now_ms: float, *, may_have_lapsed: bool
) -> list[DirectoryChange]:
    """Replace the content of the directory with a complete listing of the store."""
    changes: list[DirectoryChange] = []
    listed_ids = set()
    for entry in entries:
        listed_ids.add(entry.endpoint_id)
        changes += apply_entry(directory, entry, now_ms)
    for endpoint_id in [known_id for known_id in directory.by_id if known_id not in listed_ids]:
        changes += remove_entry(directory, endpoint_id, now_ms, may_have_lapsed=may_have_lapsed)
    return changes


def retry_backoff_max_ms(instances: int | None, *, is_relay: bool) -> float:
    """Return the longest backoff after failed calls to the store.

    Parameters
    ----------
    instances : int or None
        Number of instances in all zones, None if it is not known.
    """
    if is_relay or instances is None:
        return RETRY_BACKOFF_MAX_MS
    factor = max(1.0, instances / RETRY_BACKOFF_INSTANCES)
    return min(RETRY_BACKOFF_LIMIT_MS, RETRY_BACKOFF_MAX_MS * factor)


def changes_since(position: Position, known_keys: Iterable[str], snapshot: Snapshot) -> list[Item]:
    """Return the changes between the known keys at a position and a snapshot.

    A key that is missing from the snapshot counts as removed at the snapshot's position, because
    the store's history no longer tells when it was removed.
    """
    items = snapshot_items(snapshot)
    changed = [item for item in items if item.position > position]
    return changed + missing_items(known_keys, items, snapshot.position)


def snapshot_items(snapshot: Snapshot) -> list[Item]:
    """Return all items of a snapshot."""
    return [
        *snapshot.configuration,
        *snapshot.evacuations,
        *snapshot.relays,
        *snapshot.endpoints,
    ]


def missing_items(
    known_keys: Iterable[str], items: Iterable[Item], position: Position
) -> list[Item]:
    """Return the removal, at a position, of each known key that is not among items."""
    current_keys = {item.key for item in items if item.value is not None}
    return [Item(key, None, position) for key in known_keys if key not in current_keys]


def is_outdated_copy(directory: Directory, entry: EndpointEntry) -> bool:
    """Return whether a copy of the store shows an endpoint as it no longer is.

    The endpoint has left, drains or has been started anew since; it writes its entry again if it
    lives.
    """
    known = directory.by_id.get(entry.endpoint_id)
    if known is not None:
        if _is_older(entry.started_at_unix_ms, known.started_at_unix_ms):
            return True
        return known.is_draining and not entry.is_draining
    departed = directory.departed.get(entry.endpoint_id)
    return departed is not None and not _is_older(
        departed.started_at_unix_ms, entry.started_at_unix_ms
    )


def _is_older(started_at_unix_ms: int | None, other_unix_ms: int | None) -> bool:
    """Return whether a process was started before another one, as far as both are known."""
    if started_at_unix_ms is None or other_unix_ms is None:
        return False
    return started_at_unix_ms < other_unix_ms


def _remember_departed(directory: Directory, endpoint: Endpoint, now_ms: float) -> None:
    departed = directory.departed
    departed.pop(endpoint.endpoint_id, None)
    departed[endpoint.endpoint_id] = Departed(endpoint.started_at_unix_ms, now_ms)
    while departed:
        oldest_id = next(iter(departed))
        age_ms = now_ms - departed[oldest_id].at_ms
        if age_ms < DEPARTED_TTL_MS and len(departed) <= DEPARTED_MAX:
            break
        del departed[oldest_id]
