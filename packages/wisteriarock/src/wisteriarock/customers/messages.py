"""Encoding and decoding of the messages on allotments between instances."""

import json
import math

from wisteriarock.codec.json_text import parse_json

from .const import BOUND_MAX_MS, MESSAGE_CUSTOMERS_MAX
from .models import Counts, Order, OrdersAnswer, Report

_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError)


def encode_report(report: Report) -> bytes:
    """Encode a report as JSON."""
    # Apart from the other counts, so that an earlier release can read them.
    back = {name: counts.back for name, counts in report.counts.items() if counts.back}
    counts = {name: (each.asked, each.admitted) for name, each in report.counts.items()}
    body = {**report._asdict(), "counts": counts, "back": back}
    return json.dumps(body, separators=(",", ":")).encode()


def decode_report(body: bytes) -> Report | None:
    """Decode a report; return None if it is malformed."""
    try:
        data = parse_json(body)
        back = data.get("back", {})
        counts = {
            str(name): Counts(_count(asked), _count(admitted), _count(back.get(name, 0)))
            for name, (asked, admitted) in data["counts"].items()
        }
        members = {str(zone): _count(count) for zone, count in data["members"].items()}
        bound_ms = _number(data["bound_ms"], BOUND_MAX_MS)
        report = Report(str(data["sender"]), str(data["zone"]), members, counts, bound_ms)
    except _ERRORS:
        return None
    return report if len(report.counts) <= MESSAGE_CUSTOMERS_MAX else None


def _count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 2**31:
        raise ValueError("not a count")
    return value


def _number(value: object, most: float) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= most:
        raise ValueError("not a number in its range")
    return float(value)


def encode_answer(answer: OrdersAnswer) -> bytes:
    """Encode the answer of a relay as JSON."""
    orders = {
        name: (round(order.share, 4), round(order.wait_ms)) for name, order in answer.orders.items()
    }
    # Apart from the orders, so that an earlier release can read them.
    back_shares = {name: round(order.back_share, 4) for name, order in answer.orders.items()}
    body = {**answer._asdict(), "orders": orders, "back_shares": back_shares}
    return json.dumps(body, separators=(",", ":")).encode()


def decode_answer(body: bytes) -> OrdersAnswer | None:
    """Decode the answer of a relay; return None if it is malformed."""
    try:
        data = parse_json(body)
        back_shares = data.get("back_shares", {})
        orders = {
            str(name): Order(
                _number(share, 1.0),
                _number(wait_ms, math.inf),
                _number(back_shares.get(name, share), 1.0),
            )
            for name, (share, wait_ms) in data["orders"].items()
        }
        return OrdersAnswer(
            str(data["relay"]),
            int(data["version"]),
            bool(data["is_settled"]),
            _number(data["interval_ms"], 60_000.0),
            orders,
        )
    except _ERRORS:
        return None
