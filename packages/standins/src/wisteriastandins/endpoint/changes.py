"""Run-time changes to an endpoint, and its report. Performs no I/O."""

import copy
import random

from wisteriastandins.lag import LaggedValue, record_value, value_as_of

from .legs import is_cold
from .models import EndpointChange, EndpointConfig, EndpointState, Holdings, Report, ReportLie

_CONFIG_FIELDS = (
    "slots",
    "connection_cap",
    "connect_cost_ms",
    "service_median_ms",
    "service_sigma",
    "queue_limit",
    "cold_ms",
    "cold_factor",
)
_STATE_FIELDS = ("straggler_share", "straggler_factor", "slow_factor", "report_lag_ms")


def create_state(
    config: EndpointConfig, seed: int, incarnation: str, now_ms: float
) -> EndpointState:
    """Return the initial state of an endpoint, with its own random number generator."""
    own_config = copy.deepcopy(config)
    rng = random.Random(f"{seed}/{config['name']}")
    state = EndpointState(own_config, rng, incarnation, now_ms)
    set_holdings(state, own_config["holdings"])
    return state


def set_holdings(state: EndpointState, holdings: Holdings) -> None:
    """Replace the snapshots and partitions that the endpoint holds."""
    state.config["holdings"] = {
        snapshot: [(shard, part, parts) for shard, part, parts in partitions]
        for snapshot, partitions in holdings.items()
    }
    state.held_partitions = {
        int(snapshot): set(partitions) for snapshot, partitions in state.config["holdings"].items()
    }


def _apply_holdings_change(state: EndpointState, change: EndpointChange) -> Holdings:
    holdings = dict(change.get("holdings", state.config["holdings"]))
    holdings.update(change.get("add_snapshots", {}))
    if "copy_snapshot" in change:
        source, target = change["copy_snapshot"]["source"], change["copy_snapshot"]["target"]
        holdings[str(target)] = list(holdings.get(str(source), []))
    for snapshot in change.get("drop_snapshots", []):
        holdings.pop(str(snapshot), None)
    if "repartition" in change:
        shard = change["repartition"]["shard"]
        snapshot_text = str(change["repartition"]["snapshot"])
        partitions = holdings.get(snapshot_text, [])
        other_partitions = [entry for entry in partitions if entry[0] != shard]
        if len(other_partitions) < len(partitions):
            parts = [(shard, part, parts) for part, parts in change["repartition"]["parts"]]
            holdings[snapshot_text] = other_partitions + parts
    return holdings


def change_error(change: EndpointChange) -> str | None:
    """Return an error message for an invalid change, or None."""
    for name, value in change.items():
        if isinstance(value, (int, float)) and value < 0:
            return f"{name} is negative"
    snapshots = [*change.get("holdings", {}), *change.get("add_snapshots", {})]
    for snapshot in snapshots:
        if not snapshot.isdecimal():
            return f"{snapshot} is no snapshot"
    return None


def apply_change(state: EndpointState, change: EndpointChange, now_ms: float) -> None:
    """Apply sizes, faults and holdings; the caller updates listeners and connections."""
    for name in _CONFIG_FIELDS:
        if name in change:
            state.config[name] = change[name]  # type: ignore[literal-required]
    for name in _STATE_FIELDS:
        if name in change:
            setattr(state, name, change[name])  # type: ignore[literal-required]
    state.report_lie = change.get("report_lie", state.report_lie)
    if "drain" in change:
        if not change["drain"]:
            state.drain_started_at_ms = None
        elif state.drain_started_at_ms is None:
            state.drain_started_at_ms = now_ms
    set_holdings(state, _apply_holdings_change(state, change))
    record_report(state, now_ms)


def restart(state: EndpointState, incarnation: str, now_ms: float) -> None:
    """Start a new incarnation, cold and not draining; all other faults remain."""
    state.incarnation = incarnation
    state.started_at_ms = now_ms
    state.drain_started_at_ms = None
    state.down = False
    state.reports = LaggedValue()
    record_report(state, now_ms)


def clear_faults(state: EndpointState, config: EndpointConfig, now_ms: float) -> None:
    """Restore the configuration and clear all faults except a closed listener."""
    state.config = copy.deepcopy(config)
    state.straggler_share = 0.0
    state.straggler_factor = state.slow_factor = 1.0
    state.report_lag_ms = 0.0
    state.report_lie = ReportLie()
    state.drain_started_at_ms = None
    set_holdings(state, state.config["holdings"])
    record_report(state, now_ms)


def build_report(state: EndpointState, now_ms: float) -> Report:
    """Return the current report, without the lag and the false fields."""
    if state.drain_started_at_ms is not None:
        report_state = "draining"
    else:
        report_state = "cold" if is_cold(state, now_ms) else "ready"
    return Report(
        endpoint=state.config["name"],
        incarnation=state.incarnation,
        state=report_state,
        slots=state.config["slots"],
        busy=len(state.running),
        holdings=state.config["holdings"],
    )


def record_report(state: EndpointState, now_ms: float) -> None:
    """Store the current report if reports are delayed."""
    if state.report_lag_ms > 0:
        record_value(state.reports, build_report(state, now_ms), now_ms, state.report_lag_ms)
    else:
        state.reports.history.clear()


def visible_report(state: EndpointState, now_ms: float) -> Report:
    """Return the report that a poll receives now."""
    if state.report_lag_ms > 0:
        # No event marks the end of the cold phase, so each poll stores the current report too.
        record_report(state, now_ms)
        report = value_as_of(state.reports, now_ms, state.report_lag_ms)
    else:
        report = build_report(state, now_ms)
    return Report(**{**report, **state.report_lie})
