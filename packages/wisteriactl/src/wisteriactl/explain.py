"""Ask a running instance where a request would go now, and lay out its explanation."""

import json
from collections.abc import Sequence
from typing import Any

from returns.result import Success
from wisteriarock.codec.json_text import parse_json
from wisteriarock.explain.question import Problem, encode_target
from wisteriarock.http.address import parse_address

from .const import ExitCode
from .fetch import fetch
from .models import Outcome

# What of an endpoint is shown as a column, with its title.
_COLUMNS = {
    "cost_ms": "cost ms",
    "load_per_slot": "load/slot",
    "load_source": "load from",
    "in_flight": "own legs",
    "speed_ratio": "speed",
    "slow_ratio": "slow",
    "error_rate": "errors",
    "silent_for_ms": "silent ms",
    "observed_ms_ago": "seen ms ago",
}


async def explain(
    at: str, host: str, path: str, customer: str | None, shard: str | None, timeout_s: float
) -> Outcome:
    """Return the explanation of a request by the instance whose metrics address is `at`."""
    address = parse_address(at)
    if address is None or not at.isprintable():
        return _problem("bad_address", f"--at: found {at!r}, allowed: HOST:PORT")
    target = encode_target(host, path, customer, shard)
    if isinstance(target, Problem):
        return _problem(target.code, target.message, target.field)
    reply = await fetch(
        address[0].strip("[]"), address[1], target, {}, timeout_s, reads_errors=True
    )
    if not isinstance(reply, Success):
        return Outcome(ExitCode.UNREACHABLE, f"{at}: {reply.failure()}")
    return decode_reply(at, *reply.unwrap())


def _problem(
    code: str, message: str, field: str = "", exit_code: ExitCode = ExitCode.INPUT
) -> Outcome:
    return Outcome(exit_code, message, {"error": {"code": code, "message": message, "path": field}})


def decode_reply(at: str, status: int, body: bytes) -> Outcome:
    """Return the outcome that the reply of an instance stands for."""
    try:
        data = _replace_surrogates(parse_json(body))
        if status == 200:
            return Outcome(ExitCode.OK, "\n".join(lay_out(data)), {"explanation": data})
        error = data["error"]
        code, message, field = (str(error[name]) for name in ("code", "message", "path"))
    except (ValueError, KeyError, TypeError, AttributeError):
        return Outcome(ExitCode.UNREACHABLE, f"{at}: status {status}, no explanation")
    exit_code = {429: ExitCode.NOT_YET_KNOWN, 500: ExitCode.UNREACHABLE}.get(status, ExitCode.INPUT)
    return _problem(code, message, field, exit_code)


def _replace_surrogates(data: Any) -> Any:
    """Return data with a question mark for half of a surrogate pair, which cannot be printed."""
    return parse_json(json.dumps(data, ensure_ascii=False).encode("utf-8", "replace"))


def lay_out(data: dict[str, Any]) -> list[str]:
    """Return the lines of an explanation."""
    lines = [
        f"{data['instance']} in {data['zone']}, configuration {data['configuration_version']}: "
        f"{data['host']}{data['path']}",
        f"outcome: {_outcome_text(data)}",
    ]
    route = data["route"]
    if route is not None:
        lines += [
            f"route {route['name']}: {route['kind']}, {route['host']}{route['prefix']}, "
            f"priority {route['priority']}, idempotent {_text(route['is_idempotent'])}, "
            f"public {_text(route['is_public'])}",
            f"  expected {route['expected_ms']} ms after {route['samples']} replies, hedge after "
            f"{route['hedge_ms']} ms, target {route['latency_target_ms']} ms, timeout "
            f"{route['timeout_ms']} ms, {route['max_attempts']} attempts, needs "
            f"{route['needed_parts']} of {data['services_total']} parts",
        ]
    customer = data["customer"]
    if customer is not None:
        order = "no order"
        if customer["is_under_order"]:
            order = (
                f"order of {customer['order_ms_ago']} ms ago: share {customer['admitted_share']}"
            )
        lines.append(
            f"customer {customer['name']}: priority {customer['priority']}, allotment "
            f"{customer['rate_per_s']} per s and {customer['burst']} at once, {order}"
            + (", no contact to a relay" if customer["is_alone"] else "")
        )
    services = data["services"]
    is_detailed = any("endpoints" in row for row in services)
    lines += _list_services(services)
    if is_detailed:
        for row in services:
            lines += ["", *_lay_out_endpoints(row)]
    if data["is_cut"]:
        lines.append("The lists are cut; --shard shows one shard.")
    return [_printable(line) for line in [*lines, *(f"note: {note}" for note in data["notes"])]]


def _outcome_text(data: dict[str, Any]) -> str:
    parts = (data["outcome"], data["status"], data["reason"])
    return " ".join(str(part) for part in parts if part)


def _list_services(services: Sequence[dict[str, Any]]) -> list[str]:
    if not services:
        return []
    rows = [["service", "goes to", "endpoint", "zone", "cost ms", "usable", "excluded", "weight"]]
    for row in services:
        excluded = ", ".join(f"{count} {why}" for why, count in row["excluded_by"].items())
        rows.append(
            [
                row["service"] + (" (short of room)" if row["is_short"] else ""),
                *(_text(row[name]) for name in ("goes_to", "endpoint", "zone", "cost_ms")),
                _text(row["candidates"]),
                excluded or "-",
                _text(row.get("weight")),
            ]
        )
    if all("weight" not in row for row in services):
        rows = [row[:-1] for row in rows]
    return _align(rows)


def _lay_out_endpoints(row: dict[str, Any]) -> list[str]:
    rows = [["", "endpoint", "zone", *_COLUMNS.values(), "report", "limits"]]
    numbered = [(str(number + 1), each) for number, each in enumerate(row["endpoints"])]
    for number, each in [*numbered, *(("-", each) for each in row["excluded"])]:
        figures = [_text(each[name]) for name in _COLUMNS]
        limits = "; ".join(_limit_text(limit) for limit in each["limits"]) or "-"
        report = _report_text(each["report"])
        rows.append([number, each["endpoint"], each["zone"], *figures, report, limits])
    shown = len(row["endpoints"]) + len(row["excluded"])
    lines = [f"{row['service']}: {shown} of {row['endpoints_total']} endpoints, in order of choice"]
    lines += _align(rows)
    for number, each in numbered:
        adds = ", ".join(f"{name} {ms:+}" for name, ms in each["adds_ms"].items() if ms)
        lines.append(f"  {number} {each['endpoint']} adds ms: {adds or 'nothing'}{_states(each)}")
    for each in row["excluded"]:
        why = ", ".join(each["excluded_by"])
        lines.append(f"  - {each['endpoint']} excluded: {why}{_states(each)}")
    return lines


def _states(each: dict[str, Any]) -> str:
    """Return the passing states of an endpoint."""
    states = {"cold": each["cold_for_ms"], "paused": each["pause_left_ms"]}
    return "".join(f", {name} for {left_ms} ms" for name, left_ms in states.items() if left_ms)


def _report_text(report: dict[str, Any] | None) -> str:
    if report is None:
        return "none"
    return (
        f"{report['running']} run, {report['waiting']} wait, {report['slots']} slots, "
        f"pace {report['pace']} (usual {report['usual_pace']}), {report['age_ms']} ms ago"
    )


def _limit_text(limit: dict[str, Any]) -> str:
    sharers = limit["sharers"]
    share = "unknown share" if sharers is None else f"1 of {sharers} shares"
    left = f"{limit['share_left']} of {limit['share_max']} left"
    return f"{limit['kind']} {limit['per_s']} per s, {share}, {left}"


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)


def _align(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def _printable(line: str) -> str:
    """Return a line that can be written to any terminal: names come from the configuration."""
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in line)
