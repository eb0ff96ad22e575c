"""State of the stand-in for the platform's store: keys, revisions, leases and history."""

import base64
from typing import Any, NamedTuple


class Row(NamedTuple):
    """A key with its value, revisions and lease."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int


class Change(NamedTuple):
    """A change in the history; `row` is None if the key was removed."""

    key: str
    revision: int
    row: Row | None


class Lease(NamedTuple):
    """Lifetime of a lease, and the time at which it ends unless it is renewed."""

    ttl_ms: float
    end_ms: float


class StoreCopy(NamedTuple):
    """What a copy of the store holds."""

    rows: dict[str, Row]
    history: list[Change]
    revision: int
    leases: dict[int, Lease]
    era: int | None


class StoreState:
    """Content of the store.

    Attributes
    ----------
    era : int or None
        Era that the replies name; None to name none.
    discarded_revision : int
        Changes up to and including this revision were discarded from the history.
    page_size : int
        Maximum number of items in one page of a listing.
    """

    def __init__(self, page_size: int = 50) -> None:
        self.rows: dict[str, Row] = {}
        self.history: list[Change] = []
        self.revision = 1
        self.discarded_revision = 1
        self.page_size = page_size
        self.leases: dict[int, Lease] = {}
        self.next_lease = 77_000
        self.era: int | None = None


def encode_row(row: Row, **extra_fields: Any) -> dict[str, Any]:
    """Return the JSON form of a row in response bodies."""
    return {
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "revision": row.revision,
        "created": row.created,
        "lease": row.lease,
        **extra_fields,
    }


def apply_writes(
    state: StoreState, writes: dict[str, tuple[bytes, int]], removed: list[str]
) -> int:
    """Apply writes and removals as one revision and return it."""
    state.revision += 1
    for key, (value, lease) in writes.items():
        previous = state.rows.get(key)
        created = previous.created if previous else state.revision
        row = Row(key, value, state.revision, created, lease)
        state.rows[key] = row
        state.history.append(Change(key, state.revision, row))
    for key in removed:
        if state.rows.pop(key, None) is not None:
            state.history.append(Change(key, state.revision, None))
    return state.revision


def transact(state: StoreState, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Apply a transaction and return the HTTP status and the body."""
    mismatches = [
        row for row in body.get("expected", ()) if _revision(state, row["key"]) != row["revision"]
    ]
    if mismatches:
        keys = [row["key"] for row in body["expected"]]
        return 412, {"items": [encode_row(state.rows[key]) for key in keys if key in state.rows]}
    writes = body.get("writes", ())
    if any(row.get("lease") and row["lease"] not in state.leases for row in writes):
        return 404, {"error": "no such lease"}
    values = {
        row["key"]: (base64.b64decode(row["value"]), int(row.get("lease", 0))) for row in writes
    }
    return 200, {"revision": apply_writes(state, values, list(body.get("remove", ())))}


def _revision(state: StoreState, key: str) -> int:
    row = state.rows.get(key)
    return row.revision if row else 0


def list_page(state: StoreState, prefix: str, after: str) -> dict[str, Any]:
    """Return a page of a listing."""
    keys = sorted(key for key in state.rows if key.startswith(prefix) and key > after)
    page = keys[: state.page_size]
    return {
        "items": [encode_row(state.rows[key]) for key in page],
        "has_more": len(keys) > len(page),
        "store_revision": state.revision,
    }


def changes_after(state: StoreState, prefix: str, after: int) -> dict[str, Any] | None:
    """Return the changes after a revision, or None if the history does not have it."""
    if after < state.discarded_revision or after > state.revision:
        return None
    events = [
        (
            encode_row(change.row)
            if change.row is not None
            else {"key": change.key, "revision": change.revision, "is_gone": True}
        )
        for change in state.history
        if change.revision > after and change.key.startswith(prefix)
    ]
    return {"events": events, "store_revision": state.revision}


def discard_history(state: StoreState) -> None:
    """Discard the history."""
    state.history.clear()
    state.discarded_revision = state.revision


def create_lease(state: StoreState, now_ms: float, ttl_ms: float) -> int:
    """Create a lease and return its id."""
    state.next_lease += 1
    state.leases[state.next_lease] = Lease(ttl_ms, now_ms + ttl_ms)
    return state.next_lease


def renew_lease(state: StoreState, lease: int, now_ms: float) -> bool:
    """Renew a lease; return whether the store knows it."""
    known = state.leases.get(lease)
    if known is None:
        return False
    state.leases[lease] = known._replace(end_ms=now_ms + known.ttl_ms)
    return True


def end_lease(state: StoreState, lease: int) -> None:
    """End a lease and remove its keys."""
    if state.leases.pop(lease, None) is None:
        return
    keys = [key for key, row in state.rows.items() if row.lease == lease]
    if keys:
        apply_writes(state, {}, keys)


def expire_leases(state: StoreState, now_ms: float) -> None:
    """End the leases whose lifetime has passed."""
    ended = [number for number, lease in state.leases.items() if lease.end_ms <= now_ms]
    for number in ended:
        end_lease(state, number)


def take_copy(state: StoreState) -> StoreCopy:
    """Return a copy of the store as it is now."""
    return StoreCopy(
        dict(state.rows), list(state.history), state.revision, dict(state.leases), state.era
    )


def return_from_copy(state: StoreState, copy: StoreCopy, revisions_ahead: int = 0) -> None:
    """Lose all that was written since a copy was taken; the era rises by one.

    Parameters
    ----------
    revisions_ahead : int
        Number of revisions that are given out at once, by writes of keys that nobody reads.
    """
    state.rows, state.history = dict(copy.rows), list(copy.history)
    state.leases = dict(copy.leases)
    state.revision = copy.revision
    state.era = (state.era or 0) + 1
    for number in range(revisions_ahead):
        apply_writes(state, {f"other/{number}": (b"", 0)}, [])
