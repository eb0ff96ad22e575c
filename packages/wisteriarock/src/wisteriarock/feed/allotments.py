"""Messages on allotments: reports of instances, orders of relays, totals between relays."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection, Mapping
from urllib.parse import parse_qsl, quote, urlsplit

from wisteriarock.catalog.models import Customer
from wisteriarock.customers.const import (
    BOUND_MAX_MS,
    EXCHANGE_INTERVAL_MS,
    RELAY_AVOIDED_MS,
    REPORT_TIMEOUT_MS,
    RETRY_PAUSE_MS,
    WATCH_SLACK_MS,
    WATCH_WAIT_MS,
)
from wisteriarock.customers.decide import (
    apply_answer,
    begin_call,
    confirm_pending,
    end_call,
    return_pending,
    take_pending,
)
from wisteriarock.customers.diagnostics import log_orders
from wisteriarock.customers.messages import (
    decode_answer,
    decode_report,
    encode_answer,
    encode_report,
)
from wisteriarock.customers.models import LocalAllotments, OrdersAnswer, Report, Tolerance, Totals
from wisteriarock.customers.totals import (
    forget_idle,
    heard_share,
    keep_outboxes,
    make_answer,
    record_report,
    return_totals,
    take_totals,
    update_orders,
)
from wisteriarock.http.front import Answer, CallerRequest, Respond
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.failures import FailureReporter, run_supervised
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import StoreError, StoreErrorKind

from .const import INSTANCE_COUNT_TTL_MS
from .models import Relay
from .state import Feed, classify_relay_status, is_relay, loop_time_ms

PATH_PREFIX = "/allotments/"
_REPORT_PATH = PATH_PREFIX + "report"
_WATCH_PATH = PATH_PREFIX + "watch"


class AllotmentExchange:
    """Allotments of an instance, with the connections on which it tells of them.

    Attributes
    ----------
    local : LocalAllotments
        Allotments as this instance uses them.
    totals : Totals or None
        Allotments as seen by the relay of a zone, None if this instance is none.
    customers : callable
        Returns the customers of the configuration in force, by name.
    instances : callable
        Returns the number of instances in all zones.
    has_news : asyncio.Event
        Set when there are counts to be reported.
    watchers : list of callable
        Callbacks that answer members that wait for orders.
    avoided_until_ms : dict
        Time until which a relay that failed is avoided, by instance.
    """

    def __init__(
        self,
        feed: Feed,
        tolerance: Tolerance,
        customers: Callable[[], Mapping[str, Customer]],
        instances: Callable[[], int],
    ) -> None:
        self.feed = feed
        self.local = LocalAllotments(tolerance, loop_time_ms(feed))
        self.totals: Totals | None = None
        self.customers = customers
        self.instances = instances
        self.has_news = asyncio.Event()
        self.watchers: list[Callable[[], None]] = []
        self.avoided_until_ms: dict[str, float] = {}
        self.clients: dict[tuple[str, str], StoreClient] = {}


def start(exchange: AllotmentExchange) -> list[asyncio.Task[None]]:
    """Start the tasks that report, watch for orders, and exchange totals."""
    feed = exchange.feed
    failures = FailureReporter(feed.log, feed.counters)
    works = {
        "allotment-reports": lambda: _report(exchange),
        "allotment-orders": lambda: _watch(exchange),
        "allotment-totals": lambda: _exchange_totals(exchange),
    }
    return [
        feed.loop.create_task(run_supervised(name, work, failures), name=name)
        for name, work in works.items()
    ]


def current_totals(exchange: AllotmentExchange) -> Totals | None:
    """Return the totals of this instance as relay; created when it becomes one."""
    feed = exchange.feed
    if not is_relay(feed) or feed.is_stopping:
        exchange.totals = None
    elif exchange.totals is None:
        exchange.totals = Totals(
            feed.instance, feed.zone, exchange.local.tolerance, loop_time_ms(feed)
        )
    return exchange.totals


def _share(exchange: AllotmentExchange, totals: Totals) -> float:
    feed = exchange.feed
    now_ms = loop_time_ms(feed)
    zone_sizes = {
        zone: count
        for zone, (count, counted_at_ms) in feed.state.instance_counts.items()
        if now_ms - counted_at_ms < INSTANCE_COUNT_TTL_MS
    }
    # Zones that are not counted yet are silent as well.
    zone_sizes[""] = max(0, exchange.instances() - sum(zone_sizes.values()))
    return heard_share(totals, zone_sizes, now_ms)


def _take_report(exchange: AllotmentExchange, totals: Totals, report: Report) -> OrdersAnswer:
    """Count a report, and pass changed orders on."""
    now_ms = loop_time_ms(exchange.feed)
    share = _share(exchange, totals)
    record_report(totals, report, exchange.customers(), share, now_ms)
    if report.counts:
        _renew_orders(exchange, totals, report.counts, share)
    return make_answer(totals, now_ms)


def _renew_orders(
    exchange: AllotmentExchange, totals: Totals, names: Collection[str], share: float
) -> None:
    now_ms = loop_time_ms(exchange.feed)
    if update_orders(totals, exchange.customers(), names, share, now_ms):
        log_orders(totals, share, exchange.feed.log)
        apply_answer(exchange.local, make_answer(totals, now_ms), now_ms)
        watchers, exchange.watchers = exchange.watchers, []
        for wake in watchers:
            wake()


# Relay


def handle_allotment_request(
    exchange: AllotmentExchange, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Answer a report at once, and a watch when the orders change or its wait ends."""
    totals = current_totals(exchange)
    if totals is None:
        respond(Answer(503, [], b"no relay"))
        return _do_nothing
    parts = urlsplit(request.target.decode("latin-1"))
    if parts.path == _REPORT_PATH:
        report = decode_report(request.body)
        if report is None:
            respond(Answer(400, [], b"malformed report"))
            return _do_nothing
        respond(Answer(200, [], encode_answer(_take_report(exchange, totals, report))))
        return _do_nothing
    if parts.path == _WATCH_PATH:
        query = dict(parse_qsl(parts.query))
        bound = query.get("bound", "")
        bound_ms = min(float(bound), BOUND_MAX_MS) if bound.isdigit() else 0.0
        report = Report(query.get("instance", ""), query.get("zone", ""), {}, {}, bound_ms)
        answer = _take_report(exchange, totals, report)
        if query.get("after") == f"{totals.name}-{totals.version}":
            return _hold_watch(exchange, respond)
        respond(Answer(200, [], encode_answer(answer)))
        return _do_nothing
    respond(Answer(404, [], b"report or watch"))
    return _do_nothing


def _hold_watch(exchange: AllotmentExchange, respond: Respond) -> Callable[[], None]:
    def answer() -> None:
        cancel()
        totals = current_totals(exchange)
        if totals is None:
            respond(Answer(503, [], b"no relay"))
            return
        body = encode_answer(make_answer(totals, loop_time_ms(exchange.feed)))
        respond(Answer(200, [], body))

    def cancel() -> None:
        timer.cancel()
        if answer in exchange.watchers:
            exchange.watchers.remove(answer)

    timer = exchange.feed.loop.call_later(WATCH_WAIT_MS / 1000, answer)
    exchange.watchers.append(answer)
    return cancel


async def _exchange_totals(exchange: AllotmentExchange) -> None:
    """Tell the other relays the totals of the members, and lift orders in time."""
    feed = exchange.feed
    sending: dict[str, asyncio.Task[None]] = {}
    while True:
        await asyncio.sleep(EXCHANGE_INTERVAL_MS / 1000)
        totals = current_totals(exchange)
        if totals is None or not exchange.customers():
            continue
        relays = {
            relay.instance: relay
            for relay in feed.state.relays.values()
            if relay.instance != feed.instance
        }
        keep_outboxes(totals, set(relays))
        now_ms = loop_time_ms(feed)
        forget_idle(totals, exchange.customers(), now_ms)
        _renew_orders(exchange, totals, list(totals.orders), _share(exchange, totals))
        apply_answer(exchange.local, make_answer(totals, now_ms), now_ms)
        for name, relay in relays.items():
            if name not in sending or sending[name].done():
                sending[name] = feed.loop.create_task(_send_totals(exchange, totals, relay))


async def _send_totals(exchange: AllotmentExchange, totals: Totals, relay: Relay) -> None:
    now_ms = loop_time_ms(exchange.feed)
    since_ms = totals.outboxes[relay.instance].since_ms
    report = take_totals(totals, relay.instance, now_ms)
    if report is None:
        return
    answer = await _call_report(exchange, relay, "totals", report)
    if isinstance(answer, StoreError):
        now_ms = loop_time_ms(exchange.feed)
        return_totals(totals, relay.instance, report.counts, since_ms or now_ms, now_ms)


# Member


def _choose_relay(exchange: AllotmentExchange) -> Relay | None:
    """Return the relay of the local zone, or that of the next zone if it has just failed."""
    feed, now_ms = exchange.feed, loop_time_ms(exchange.feed)
    relays = feed.state.relays
    zones = sorted(relays)
    later = [zone for zone in zones if zone > feed.zone]
    order = [feed.zone, *later, *(zone for zone in zones if zone < feed.zone)]
    known = [relays[zone] for zone in order if zone in relays]
    known = [relay for relay in known if relay.instance != feed.instance]
    for relay in known:
        if exchange.avoided_until_ms.get(relay.instance, 0.0) <= now_ms:
            return relay
    return None


async def _report(exchange: AllotmentExchange) -> None:
    """Report new counts, at most once in each interval."""
    feed, local = exchange.feed, exchange.local
    while True:
        await exchange.has_news.wait()
        exchange.has_news.clear()
        counts = take_pending(local)
        if not counts:
            continue
        reported_at_ms = loop_time_ms(feed)
        report = Report(feed.instance, feed.zone, {}, counts)
        totals = current_totals(exchange)
        if totals is not None:
            answer: OrdersAnswer | None = _take_report(exchange, totals, report)
        else:
            relay = _choose_relay(exchange)
            answer = None
            if relay is not None:
                answer = await _report_to(exchange, relay, report)
        if answer is None:
            return_pending(local, counts)
            exchange.has_news.set()
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            continue
        confirm_pending(local, reported_at_ms)
        apply_answer(local, answer, loop_time_ms(feed))
        await asyncio.sleep(local.interval_ms / 1000)


async def _watch(exchange: AllotmentExchange) -> None:
    """Ask a relay for its orders; it answers when they change."""
    feed, local = exchange.feed, exchange.local
    while True:
        relay = _choose_relay(exchange)
        if current_totals(exchange) is not None or relay is None or not exchange.customers():
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            continue
        answer = await _watch_at(exchange, relay)
        if answer is None:
            await asyncio.sleep(RETRY_PAUSE_MS * (0.5 + feed.rng.random()) / 1000)
        else:
            apply_answer(local, answer, loop_time_ms(feed))


async def _report_to(
    exchange: AllotmentExchange, relay: Relay, report: Report
) -> OrdersAnswer | None:
    async def call(bound_ms: float) -> OrdersAnswer | StoreError:
        return await _call_report(exchange, relay, "report", report._replace(bound_ms=bound_ms))

    return await _call_as_member(exchange, relay, call)


async def _watch_at(exchange: AllotmentExchange, relay: Relay) -> OrdersAnswer | None:
    feed, local = exchange.feed, exchange.local

    async def call(bound_ms: float) -> OrdersAnswer | StoreError:
        after = f"{quote(local.relay)}-{local.version}"
        bound = math.ceil(bound_ms)
        sender = f"instance={quote(feed.instance)}&zone={quote(feed.zone)}&bound={bound}"
        target = f"{_WATCH_PATH}?after={after}&{sender}"
        data = f"GET {target} HTTP/1.1\r\nHost: {relay.instance}\r\n\r\n".encode()
        return await _call(exchange, relay, "watch", data, WATCH_WAIT_MS + WATCH_SLACK_MS)

    return await _call_as_member(exchange, relay, call)


async def _call_as_member(
    exchange: AllotmentExchange,
    relay: Relay,
    call: Callable[[float], Awaitable[OrdersAnswer | StoreError]],
) -> OrdersAnswer | None:
    """Make a call for which a relay counts this instance.

    Parameters
    ----------
    call : callable
        Makes the call, given the time in ms for which other relays may still count this instance.
    """
    local, started_at_ms = exchange.local, loop_time_ms(exchange.feed)
    bound_ms = begin_call(local, relay.instance, started_at_ms)
    is_counted = True
    try:
        answer = await call(bound_ms)
        if isinstance(answer, StoreError):
            # A relay refuses a call after it has counted it only at the end of a watch that it has
            # held, which it does for members that have its last orders.
            is_refused = answer.kind is StoreErrorKind.REFUSED and relay.instance != local.relay
            is_counted = answer.is_sent and not is_refused
    finally:
        now_ms = loop_time_ms(exchange.feed)
        end_call(local, relay.instance, started_at_ms, now_ms, is_counted=is_counted)
    return None if isinstance(answer, StoreError) else answer


async def _call_report(
    exchange: AllotmentExchange, relay: Relay, purpose: str, report: Report
) -> OrdersAnswer | StoreError:
    body = encode_report(report)
    head = (
        f"POST {_REPORT_PATH} HTTP/1.1\r\nHost: {relay.instance}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return await _call(exchange, relay, purpose, head.encode() + body, REPORT_TIMEOUT_MS)


async def _call(
    exchange: AllotmentExchange, relay: Relay, purpose: str, call: bytes, timeout_ms: float
) -> OrdersAnswer | StoreError:
    """Call a relay on the connection for a purpose; a relay that fails is avoided for a while."""
    feed = exchange.feed
    key = (purpose, relay.zone)
    client = exchange.clients.get(key)
    if client is None or (client.host, client.port) != (relay.host, relay.port):
        if client is not None:
            client.close("relay changed")
        client = StoreClient(feed.loop, relay.host, relay.port, classify_relay_status, Counters())
        exchange.clients[key] = client
    try:
        # Also bounds the time to connect, which is longer than a report may take.
        async with asyncio.timeout(timeout_ms / 1000):
            outcome = await client.call(call, timeout_ms)
    except TimeoutError:
        client.close("no answer in time")
        outcome = StoreError(StoreErrorKind.TIMEOUT, "no answer in time")
    if not isinstance(outcome, StoreError):
        answer = decode_answer(outcome.body)
        if answer is not None:
            return answer
        outcome = StoreError(StoreErrorKind.BAD_REPLY, "cannot decode orders")
    feed.counters.count("allotment_failures", outcome.kind.value)
    exchange.avoided_until_ms[relay.instance] = loop_time_ms(feed) + RELAY_AVOIDED_MS
    return outcome


def _do_nothing() -> None:
    """Do nothing: the request has already been answered."""
