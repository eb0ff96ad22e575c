"""Decide whether a request may run."""

import hashlib
import math
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from wisteriarock.bundle.models import ActiveBundle, CallerSpec, KindSpec
from wisteriarock.limits.token_bucket import create_bucket, time_until_available_ms, try_consume
from wisteriarock.query.models import QueryBody

from .const import (
    ALL_SHARDS,
    DEMAND_WINDOW_MS,
    LAG_DECAY_FACTOR,
    MAX_DEADLINE_MS,
    MAX_IN_FLIGHT_SHARE,
    MAX_LOOP_LAG_MS,
    MAX_SHARDS,
    MIN_RETRY_AFTER_MS,
    NOT_READY_RETRY_AFTER_MS,
    OVERLOAD_RETRY_AFTER_MS,
    REQUEST_ID_PATTERN,
)
from .models import AdmissionState, Admitted, CallerState, InstanceLoad, Rejection


def index_bundle(state: AdmissionState, bundle: ActiveBundle, now_ms: float) -> None:
    """Update the index to the bundle in force; a new bundle does not refill callers' buckets."""
    if state.revision == bundle.revision and state.digest == bundle.digest:
        return
    content = bundle.content
    state.revision, state.digest = bundle.revision, bundle.digest
    state.credentials = {c["credential_sha256"]: name for name, c in content["callers"].items()}
    state.shards = frozenset(s for svc in content["services"].values() for s in svc["shards"])
    previous = state.callers
    state.callers = {}
    for name, spec in content["callers"].items():
        previous_state = previous.get(name)
        bucket = create_bucket(spec["cost_per_s"], spec["cost_burst"], now_ms)
        if previous_state is None:
            state.callers[name] = CallerState(bucket, 0.0, now_ms)
            continue
        bucket.tokens = min(previous_state.bucket.tokens, bucket.burst)
        state.callers[name] = CallerState(
            bucket, previous_state.demand_per_s, previous_state.demand_updated_at_ms
        )


def find_caller(state: AdmissionState, authorization: str) -> str | None:
    """Return the caller whose credential is in an `Authorization: Bearer` header, or None."""
    scheme, _, credential = authorization.partition(" ")
    if scheme.lower() != "bearer" or not credential:
        return None
    # The lookup key is a digest, so the lookup time reveals nothing useful about the credential.
    return state.credentials.get(hashlib.sha256(credential.strip().encode()).hexdigest())


def _check_fields(body: QueryBody) -> Rejection | None:
    if not REQUEST_ID_PATTERN.fullmatch(body["request_id"]):
        message = "A request id has 1 to 64 letters, digits, hyphens and underscores."
        return Rejection(400, "invalid_field", message, "$.request_id")
    if not 1 <= body["deadline_ms"] <= MAX_DEADLINE_MS:
        message = f"A deadline is 1 to {MAX_DEADLINE_MS} ms."
        return Rejection(400, "invalid_field", message, "$.deadline_ms")
    shards = body["shards"]
    if not 1 <= len(shards) <= MAX_SHARDS:
        message = f"A request names 1 to {MAX_SHARDS} shards."
        return Rejection(400, "invalid_field", message, "$.shards")
    if len(set(shards)) != len(shards):
        return Rejection(400, "duplicate_shard", "A shard is named twice.", "$.shards")
    return None


def _check_kind(body: QueryBody, kind: KindSpec) -> Rejection | None:
    if body["deadline_ms"] > kind["deadline_max_ms"]:
        message = f"The longest deadline of this kind is {kind['deadline_max_ms']} ms."
        return Rejection(400, "deadline_too_long", message, "$.deadline_ms")
    if body["repeatable"] and not kind["idempotent"]:
        message = "This kind of request is not repeatable."
        return Rejection(400, "not_repeatable", message, "$.repeatable")
    if not body["repeatable"] and not body.get("ticket"):
        message = "A request that is not repeatable needs a ticket from POST /v1/tickets."
        return Rejection(400, "ticket_required", message, "$.ticket")
    return None


def _check_shards(
    state: AdmissionState, caller: CallerSpec, shards: Iterable[str]
) -> Rejection | None:
    allowed = frozenset(caller["shards"])
    for index, shard in enumerate(shards):
        path = f"$.shards[{index}]"
        # A caller without access gets the same answer whether or not the shard exists.
        if ALL_SHARDS not in allowed and shard not in allowed:
            return Rejection(403, "forbidden_shard", "The caller may not reach this shard.", path)
        if shard not in state.shards:
            return Rejection(400, "unknown_shard", "The bundle has no such shard.", path)
    return None


def check_request(
    state: AdmissionState, bundle: ActiveBundle, caller: str, body: QueryBody
) -> Result[KindSpec, Rejection]:
    """Validate the fields of a request and the caller's permissions.

    Returns
    -------
    Result
        The kind of request, or the first rejection, whose path names the invalid field.
    """
    if rejection := _check_fields(body):
        return Failure(rejection)
    spec = bundle.content["callers"][caller]
    if body["kind"] not in spec["kinds"]:
        message = "The caller may not ask requests of this kind."
        return Failure(Rejection(403, "forbidden_kind", message, "$.kind"))
    kind = bundle.content["kinds"][body["kind"]]
    rejection = _check_kind(body, kind) or _check_shards(state, spec, body["shards"])
    return Failure(rejection) if rejection else Success(kind)


def current_demand(caller: CallerState, now_ms: float) -> float:
    """Return the recent demand in cost units per second, decayed to `now_ms`."""
    elapsed_ms = max(0.0, now_ms - caller.demand_updated_at_ms)
    return caller.demand_per_s * math.exp(-elapsed_ms / DEMAND_WINDOW_MS)


def _record_demand(caller: CallerState, cost: float, now_ms: float) -> None:
    caller.demand_per_s = current_demand(caller, now_ms) + cost * 1000 / DEMAND_WINDOW_MS
    caller.demand_updated_at_ms = now_ms


def share_of_limit(
    limit_per_s: float, own_demand_per_s: float, peer_demands_per_s: Iterable[float]
) -> float:
    """Return the share of a caller's limit that this instance may use.

    The shares of all instances add up to the limit if they know each other's demand. While the
    total demand is below the limit, the remainder is divided evenly, so that load can move between
    instances.

    Parameters
    ----------
    limit_per_s : float
        The caller's limit in cost units per second.
    own_demand_per_s : float
        Demand at this instance in cost units per second.
    peer_demands_per_s : iterable of float
        Demand at each of the other instances in cost units per second.
    """
    peer_demands = list(peer_demands_per_s)
    total = own_demand_per_s + sum(peer_demands)
    if total >= limit_per_s:
        return limit_per_s * own_demand_per_s / total if total > 0 else 0.0
    return own_demand_per_s + (limit_per_s - total) / (len(peer_demands) + 1)


def charge(
    caller: CallerState,
    spec: CallerSpec,
    cost: float,
    peer_demands_per_s: Iterable[float],
    now_ms: float,
) -> Rejection | None:
    """Charge the cost of a request to its caller, or return a rejection with a retry delay."""
    _record_demand(caller, cost, now_ms)
    peer_demands = list(peer_demands_per_s)
    share = share_of_limit(spec["cost_per_s"], current_demand(caller, now_ms), peer_demands)
    fraction = share / spec["cost_per_s"] if spec["cost_per_s"] > 0 else 0.0
    caller.bucket.rate_per_s = share
    # The burst is divided like the rate, but must admit any request that fits into the full burst.
    caller.bucket.burst = max(spec["cost_burst"] * fraction, min(cost, spec["cost_burst"]))
    if try_consume(caller.bucket, cost, now_ms):
        return None
    wait_ms = time_until_available_ms(caller.bucket, cost, now_ms)
    if math.isinf(wait_ms):
        message = "The request costs more than the caller's burst."
        return Rejection(429, "cost_over_burst", message, "$.shards", MIN_RETRY_AFTER_MS)
    message = "The caller's cost limit is used up."
    return Rejection(429, "cost_limit", message, "$", max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms)))


def smooth_lag(previous_ms: float, observed_ms: float) -> float:
    """Return the event loop lag that admission uses: it rises immediately and decays slowly."""
    return max(observed_ms, previous_ms * LAG_DECAY_FACTOR)


def check_overload(kind: KindSpec, load: InstanceLoad) -> Rejection | None:
    """Reject a request if its priority is too low for the current load of the instance."""
    priority = kind["priority"]
    below_in_flight_limit = load.in_flight < load.max_queries * MAX_IN_FLIGHT_SHARE[priority]
    if below_in_flight_limit and load.loop_lag_ms <= MAX_LOOP_LAG_MS[priority]:
        return None
    message = "The instance has no room for requests of this priority."
    return Rejection(429, "overloaded", message, "$", OVERLOAD_RETRY_AFTER_MS)


def check_stop(deadline_ms: float, stops_at_ms: float | None, now_ms: float) -> Rejection | None:
    """Reject a request that may still run when the process stops.

    Parameters
    ----------
    deadline_ms : float
        Time that the caller gives the request, in milliseconds.
    stops_at_ms : float or None
        Monotonic time at which the process stops, None if it is not shutting down.
    now_ms : float
        Monotonic time in milliseconds.
    """
    if stops_at_ms is None or now_ms + deadline_ms <= stops_at_ms:
        return None
    message = "The instance stops before the deadline of the request."
    return Rejection(503, "draining", message, "$", NOT_READY_RETRY_AFTER_MS)


def admit(
    state: AdmissionState,
    bundle: ActiveBundle,
    caller: str,
    body: QueryBody,
    load: InstanceLoad,
    peer_demands_per_s: Iterable[float],
    now_ms: float,
) -> Result[Admitted, Rejection]:
    """Decide whether a request may run, and charge its cost to the caller.

    Parameters
    ----------
    state : AdmissionState
        Index of the bundle and the state of the callers' limits; updated.
    bundle : ActiveBundle
        The bundle in force.
    caller : str
        Name of the caller.
    body : QueryBody
        The decoded body.
    load : InstanceLoad
        Load of this instance.
    peer_demands_per_s : iterable of float
        The caller's demand at each of the other instances, in cost units per second.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    Result
        The admitted request, or the rejection of a request that was not executed.
    """
    index_bundle(state, bundle, now_ms)
    checked = check_request(state, bundle, caller, body)
    if not isinstance(checked, Success):
        return Failure(checked.failure())
    kind = checked.unwrap()
    if rejection := check_overload(kind, load):
        return Failure(rejection)
    cost = kind["cost_per_leg"] * len(body["shards"])
    spec = bundle.content["callers"][caller]
    if rejection := charge(state.callers[caller], spec, cost, peer_demands_per_s, now_ms):
        return Failure(rejection)
    return Success(Admitted(kind, cost))
