"""Rate limits, list of instances and operations of the platform. Performs no I/O."""

import random
from typing import Any
from urllib.parse import unquote

from returns.result import Result, Success
from wisteriarock.codec.decode import decode
from wisteriarock.codec.models import DecodeError
from wisteriarock.platform.models import InstanceList, ListedInstance

from wisteriastandins.http_server import MAX_BODY_BYTES, Request, Response, error_response
from wisteriastandins.lag import LaggedValue, record_value, value_as_of

from . import kv
from .models import (
    MAX_KEY_LENGTH,
    MAX_VALUE_BYTES,
    WRITE_OPERATIONS,
    DeleteBody,
    LeaseBody,
    Operation,
    PlatformConfig,
    PlatformControl,
    PlatformState,
    PutBody,
    RateLimit,
    Store,
    WriteError,
)

_KV_PREFIX = "/v1/kv/"
_LEASES_PATH = "/v1/leases"
_CONTROL_FIELDS = (
    "outage",
    "slow_ms",
    "lost_replies",
    "lost_reply_share",
    "latency_ms",
    "list_lag_ms",
)


def create_state(config: PlatformConfig, now_ms: float) -> PlatformState:
    """Return the initial state."""
    instance_list: LaggedValue[list[ListedInstance]] = LaggedValue()
    record_value(instance_list, list(config["instances"]), now_ms, config["list_lag_ms"])
    return PlatformState(
        write_limit=RateLimit(config["writes_per_s"]),
        read_limit=RateLimit(config["reads_per_s"]),
        latency_ms=config["latency_ms"],
        list_lag_ms=config["list_lag_ms"],
        instance_list=instance_list,
    )


def admit(limit: RateLimit, now_ms: float) -> bool:
    """Return whether a call is within the limit, which applies to any period of one second."""
    admitted = limit.admitted_at_ms
    while admitted and admitted[0] <= now_ms - 1000:
        admitted.popleft()
    if len(admitted) >= limit.calls_per_s:
        return False
    admitted.append(now_ms)
    return True


def admit_operation(state: PlatformState, operation: Operation, now_ms: float) -> bool:
    """Return whether a call is within the limit for its kind of operation, read or write."""
    return admit(state.write_limit if operation in WRITE_OPERATIONS else state.read_limit, now_ms)


def should_lose_reply(
    state: PlatformState, operation: Operation, status: int, rng: random.Random
) -> bool:
    """Return whether to drop the reply to a call; only replies to successful writes are dropped."""
    if operation not in WRITE_OPERATIONS or status != 200:
        return False
    if state.lost_replies > 0:
        state.lost_replies -= 1
        return True
    return rng.random() < state.lost_reply_share


def change_instances(state: PlatformState, change: PlatformControl, now_ms: float) -> str | None:
    """Change the list of instances; return the first unknown name, if any."""
    instances_by_name = {entry["name"]: entry for entry in state.instance_list.history[-1][1]}
    instances_by_name.update({entry["name"]: entry for entry in change.get("add_instances", [])})
    changes = change.get("instances", {})
    for name in changes:
        if name not in instances_by_name and name not in state.removed_instances:
            return name
    for name, new_state in changes.items():
        instance = instances_by_name.pop(name, None) or state.removed_instances[name]
        if new_state == "gone":
            state.removed_instances[name] = instance
        else:
            instances_by_name[name] = {**instance, "state": new_state}
    record_value(state.instance_list, list(instances_by_name.values()), now_ms, state.list_lag_ms)
    return None


def apply_control(state: PlatformState, change: PlatformControl, now_ms: float) -> str | None:
    """Apply a change to faults, rates and instances; return an unknown instance name, if any."""
    changes_list = "instances" in change or "add_instances" in change
    if changes_list and (unknown_instance := change_instances(state, change, now_ms)):
        return unknown_instance
    for name in _CONTROL_FIELDS:
        if name in change:
            setattr(state, name, change[name])  # type: ignore[literal-required]
    state.write_limit.calls_per_s = change.get("writes_per_s", state.write_limit.calls_per_s)
    state.read_limit.calls_per_s = change.get("reads_per_s", state.read_limit.calls_per_s)
    return None


def classify(request: Request) -> tuple[Operation, str] | None:
    """Return the operation of a request and its key or lease ID, or None for an unknown path."""
    method, path = request.method, request.path
    if path.startswith(_KV_PREFIX) and len(path) > len(_KV_PREFIX):
        key = unquote(path[len(_KV_PREFIX) :])
        if method == "GET":
            has_revision = "after_revision" in request.query
            return (Operation.WATCH if has_revision else Operation.GET), key
        operation = {"PUT": Operation.PUT, "DELETE": Operation.DELETE}.get(method)
        return (operation, key) if operation else None
    if path == _LEASES_PATH and method == "POST":
        return Operation.LEASE_CREATE, ""
    if path.startswith(f"{_LEASES_PATH}/"):
        lease_id = unquote(path[len(_LEASES_PATH) + 1 :])
        if method == "POST" and lease_id.endswith("/renew"):
            return Operation.LEASE_RENEW, lease_id.removesuffix("/renew")
        return (Operation.LEASE_DELETE, lease_id) if method == "DELETE" else None
    if path == "/v1/instances" and method == "GET":
        return Operation.INSTANCES, ""
    return None


def _decode_error_response(error: DecodeError) -> Response:
    return error_response(400, error.code, error.message, error.path)


def _write_response(store: Store, key: str, result: Result[int, WriteError]) -> Response:
    if isinstance(result, Success):
        return Response(200, {"revision": result.unwrap()})
    match result.failure():
        case WriteError.CONFLICT:
            return Response(409, {"revision": kv.get_revision(store, key)})
        case WriteError.NO_LEASE:
            return error_response(404, "no_lease", "The lease has ended.", "$.lease_id")
        case _:
            return error_response(404, "not_found", "The key is absent.")


def _put(store: Store, key: str, raw: bytes) -> Response:
    decoded = decode(raw, PutBody, MAX_BODY_BYTES)
    if not isinstance(decoded, Success):
        return _decode_error_response(decoded.failure())
    body = decoded.unwrap()
    if len(body["value"].encode()) > MAX_VALUE_BYTES:
        message = f"The limit is {MAX_VALUE_BYTES} bytes."
        return error_response(413, "too_long", message, "$.value")
    if len(key) > MAX_KEY_LENGTH:
        return error_response(400, "invalid_key", f"The limit is {MAX_KEY_LENGTH} characters.")
    expected, lease_id = body["expected_revision"], body.get("lease_id")
    return _write_response(store, key, kv.put(store, key, body["value"], expected, lease_id))


def _delete(store: Store, key: str, raw: bytes) -> Response:
    decoded = decode(raw, DeleteBody, MAX_BODY_BYTES)
    if not isinstance(decoded, Success):
        return _decode_error_response(decoded.failure())
    expected = decoded.unwrap()["expected_revision"]
    return _write_response(store, key, kv.delete(store, key, expected))


def _create_lease(store: Store, raw: bytes, now_ms: float) -> Response:
    decoded = decode(raw, LeaseBody, MAX_BODY_BYTES)
    if not isinstance(decoded, Success):
        return _decode_error_response(decoded.failure())
    return Response(200, {"lease_id": kv.create_lease(store, decoded.unwrap()["ttl_ms"], now_ms)})


def get_response(store: Store, key: str) -> Response:
    """Return the response to a read of a key."""
    stored = store.values.get(key)
    if stored is None:
        return error_response(404, "not_found", "The key is absent.")
    return Response(200, {"value": stored.value, "revision": stored.revision})


def watch_response(store: Store, key: str, after_revision: int) -> Response | None:
    """Return the response to a watch, or None while it has to wait.

    A watch after revision 0 waits for the key to be created. A watch after a later revision also
    ends with 404 when the key is deleted.
    """
    if key in store.values:
        has_changed = store.values[key].revision > after_revision
    else:
        has_changed = 0 < after_revision < store.revisions.get(key, 0)
    return get_response(store, key) if has_changed else None


def _list_instances(state: PlatformState, now_ms: float, wall_ms: float) -> Response:
    instances = value_as_of(state.instance_list, now_ms, state.list_lag_ms)
    return Response(200, InstanceList(instances=instances, as_of_ms=wall_ms - state.list_lag_ms))


def run_operation(
    state: PlatformState,
    operation: Operation,
    key_or_lease_id: str,
    body: bytes,
    now_ms: float,
    wall_ms: float,
) -> Response:
    """Execute any operation except a watch, and return its response.

    Parameters
    ----------
    state : PlatformState
        Changed in place; changed keys are added to `state.store.changed_keys`.
    operation : Operation
        Operation to execute.
    key_or_lease_id : str
        Key or lease ID, empty if the operation has none.
    body : bytes
        Request body.
    now_ms, wall_ms : float
        Monotonic and wall-clock time in milliseconds.
    """
    store = state.store
    kv.expire_leases(store, now_ms)
    lease_ended = error_response(404, "no_lease", "The lease has ended.")
    handlers: dict[Operation, Any] = {
        Operation.GET: lambda: get_response(store, key_or_lease_id),
        Operation.PUT: lambda: _put(store, key_or_lease_id, body),
        Operation.DELETE: lambda: _delete(store, key_or_lease_id, body),
        Operation.LEASE_CREATE: lambda: _create_lease(store, body, now_ms),
        Operation.LEASE_RENEW: lambda: (
            Response(200, {}) if kv.renew_lease(store, key_or_lease_id, now_ms) else lease_ended
        ),
        Operation.LEASE_DELETE: lambda: (
            Response(200, {}) if kv.end_lease(store, key_or_lease_id) else lease_ended
        ),
        Operation.INSTANCES: lambda: _list_instances(state, now_ms, wall_ms),
    }
    response: Response = handlers[operation]()
    return response
