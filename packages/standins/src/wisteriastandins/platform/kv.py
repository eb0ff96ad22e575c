"""Compare-and-swap, leases and revisions of the key-value service. Performs no I/O."""

from returns.result import Failure, Result, Success

from .models import Lease, Store, StoredValue, WriteError


def get_revision(store: Store, key: str) -> int:
    """Return the revision of a key, or 0 if it is absent."""
    stored = store.values.get(key)
    return stored.revision if stored else 0


def _next_revision(store: Store, key: str) -> int:
    revision = store.revisions.get(key, 0) + 1
    store.revisions[key] = revision
    store.changed_keys.append(key)
    return revision


def _detach_from_lease(store: Store, key: str) -> None:
    stored = store.values.get(key)
    if stored and stored.lease_id in store.leases:
        store.leases[stored.lease_id].keys.discard(key)


def put(
    store: Store, key: str, value: str, expected_revision: int, lease_id: str | None
) -> Result[int, WriteError]:
    """Write a key if it has the expected revision; 0 means that the key is absent.

    Parameters
    ----------
    store : Store
        Changed in place.
    key, value : str
        Key and value to write.
    expected_revision : int
        Revision that the key must have.
    lease_id : str or None
        Lease to attach the key to; None detaches it from any lease.

    Returns
    -------
    Result
        The new revision, or the reason why nothing was written.
    """
    if lease_id is not None and lease_id not in store.leases:
        return Failure(WriteError.NO_LEASE)
    if get_revision(store, key) != expected_revision:
        return Failure(WriteError.CONFLICT)
    _detach_from_lease(store, key)
    if lease_id is not None:
        store.leases[lease_id].keys.add(key)
    revision = _next_revision(store, key)
    store.values[key] = StoredValue(value, revision, lease_id)
    return Success(revision)


def delete(store: Store, key: str, expected_revision: int) -> Result[int, WriteError]:
    """Delete a key if it has the expected revision, and return the revision of the deletion."""
    current_revision = get_revision(store, key)
    if current_revision != expected_revision:
        return Failure(WriteError.CONFLICT)
    if current_revision == 0:
        return Failure(WriteError.NOT_FOUND)
    _detach_from_lease(store, key)
    del store.values[key]
    return Success(_next_revision(store, key))


def create_lease(store: Store, ttl_ms: float, now_ms: float) -> str:
    """Create a lease and return its ID."""
    store.leases_created += 1
    lease_id = f"lease-{store.leases_created}"
    store.leases[lease_id] = Lease(ttl_ms, now_ms + ttl_ms)
    return lease_id


def renew_lease(store: Store, lease_id: str, now_ms: float) -> bool:
    """Restart the duration of a lease; return false if it has ended."""
    lease = store.leases.get(lease_id)
    if lease is None:
        return False
    lease.expires_at_ms = now_ms + lease.ttl_ms
    return True


def end_lease(store: Store, lease_id: str) -> bool:
    """End a lease and delete its keys; return false if it has already ended."""
    lease = store.leases.pop(lease_id, None)
    if lease is None:
        return False
    for key in sorted(lease.keys):
        del store.values[key]
        _next_revision(store, key)
    return True


def expire_leases(store: Store, now_ms: float) -> None:
    """End the leases that have expired."""
    expired_ids = [name for name, lease in store.leases.items() if lease.expires_at_ms <= now_ms]
    for lease_id in expired_ids:
        end_lease(store, lease_id)


def next_expiry_ms(store: Store) -> float | None:
    """Return the time of the next lease expiry, or None if there are no leases."""
    return min((lease.expires_at_ms for lease in store.leases.values()), default=None)
