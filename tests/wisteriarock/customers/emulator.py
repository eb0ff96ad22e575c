"""Instances and relays of a few zones on virtual time, without sockets."""

import random
from collections.abc import Callable, Collection

from wisteriarock.catalog.models import Customer
from wisteriarock.customers.const import (
    EXCHANGE_INTERVAL_MS,
    PEER_TIMEOUT_MS,
    RETRY_PAUSE_MS,
    WATCH_WAIT_MS,
)
from wisteriarock.customers.decide import (
    apply_answer,
    begin_call,
    confirm_pending,
    end_call,
    return_pending,
    take_pending,
    tolerated_excess,
    try_admit,
)
from wisteriarock.customers.models import LocalAllotments, Report, Tolerance, Totals
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
from wisteriarock.limits.token_bucket import create_bucket, refill

TICK_MS = 10.0
# Time after which instances know the new relay of a zone.
TAKEOVER_MS = 6_000.0
# Time from the end of a process until the next one takes requests.
START_MS = 700.0
TOLERANCE = Tolerance(5.0, 0.1, 20.0)
# Longest time for which a refused caller waits.
BACK_WITHIN_MS = 400.0


class Node:
    """An instance; `is_up` is false while it is paused or has ended."""

    def __init__(self, name: str, zone: int) -> None:
        self.name = name
        self.zone = zone
        self.local = LocalAllotments(TOLERANCE, -1e6)
        self.totals: Totals | None = None
        self.is_up = True
        self.reports_at_ms = 0.0
        self.watches_at_ms = 0.0


class Emulator:
    """A deployment with one customer.

    Attributes
    ----------
    per_s : callable
        Returns the rate at which the customer asks in a zone, by zone and time in ms.
    groups : dict
        Part of a divided network by instance; instances of one part reach each other.
    admitted, asked : list of float
        Times of the requests.
    back_share : float
        Share of the first attempts that look like later ones, as they have less time.
    asked_short, admitted_short : int
        Number of these that were asked for, and admitted at the first attempt.
    comes_back : bool
        Whether the caller of a refused request sends it once again.
    admitted_later : int
        Number of those that were admitted at the second attempt.
    refused_below : int
        Number of requests that were refused although a bucket over all instances held a token.
    """

    def __init__(
        self, zones: tuple[int, ...], customer: Customer, per_s: Callable[[int, float], float]
    ) -> None:
        self.rng = random.Random(5)
        self.customer = customer
        self.per_s = per_s
        self.now_ms = 0.0
        self.nodes = [
            Node(f"front-{zone}-{number}", zone)
            for zone, count in enumerate(zones)
            for number in range(count)
        ]
        self.relays = {zone: self.in_zone(zone)[0] for zone in range(len(zones))}
        for relay in self.relays.values():
            relay.totals = Totals(relay.name, str(relay.zone), TOLERANCE, -1e6)
        self.old_relays: dict[int, Node] = {}
        self.stale_names: set[str] = set()
        self.groups: dict[str, int] = {}
        self.lost_share = 0.0
        self.messages = 0
        self.asked: list[float] = []
        self.admitted: list[float] = []
        self.back_share = 0.0
        self.asked_short = 0
        self.admitted_short = 0
        self.comes_back = False
        self.admitted_later = 0
        self.refused_below = 0
        self._allotment = create_bucket(customer.rate_per_s, customer.burst, 0.0)
        self._actions: list[tuple[float, Callable[[], object]]] = []
        for node in self.nodes:
            node.watches_at_ms = self.rng.random() * WATCH_WAIT_MS
            node.local.heard_at_ms = 0.0

    def in_zone(self, zone: int) -> list[Node]:
        """Return the instances of a zone."""
        return [node for node in self.nodes if node.zone == zone]

    def at(self, at_ms: float, action: Callable[[], object]) -> None:
        """Do something at a time."""
        self._actions.append((at_ms, action))

    def restart(self, node: Node) -> None:
        """Start an instance again, without memory; a relay has a successor after a while."""
        node.local = LocalAllotments(TOLERANCE, self.now_ms + START_MS)
        node.is_up = False
        self.at(self.now_ms + START_MS, lambda: setattr(node, "is_up", True))
        if node.totals is not None:
            node.totals = None
            successors = [each for each in self.in_zone(node.zone) if each is not node]
            self.at(self.now_ms + TAKEOVER_MS, lambda: self._succeed(self.rng.choice(successors)))

    def split(self, share: float) -> None:
        """Replace all relays; a share of the instances, these relays among them, hears nothing."""
        self.old_relays = dict(self.relays)
        old_names = {relay.name for relay in self.old_relays.values()}
        for zone in self.relays:
            nodes = [each for each in self.in_zone(zone) if each.name not in old_names]
            stale_count = int(share * len(nodes))
            self.stale_names |= {each.name for each in nodes[:stale_count]}
            self._succeed(nodes[stale_count])
        self.stale_names |= old_names

    def _relays_of(self, node: Node) -> dict[int, Node]:
        return self.old_relays if node.name in self.stale_names else self.relays

    def _succeed(self, node: Node) -> None:
        node.totals = Totals(node.name, str(node.zone), TOLERANCE, self.now_ms)
        self.relays[node.zone] = node

    def _reaches(self, node: Node, other: Node) -> bool:
        is_same_group = self.groups.get(node.name, 0) == self.groups.get(other.name, 0)
        is_through = is_same_group and self.rng.random() >= self.lost_share
        return other.is_up and (node is other or is_through)

    def _share(self, relay: Node) -> float:
        assert relay.totals is not None
        sizes = {str(zone): len(self.in_zone(zone)) for zone in self.relays}
        return heard_share(relay.totals, sizes, self.now_ms)

    def _relay_for(self, node: Node) -> Node | None:
        relays = self._relays_of(node)
        for zone in sorted(relays, key=lambda zone: (zone != node.zone, zone)):
            relay = relays[zone]
            if relay.totals is not None and self._reaches(node, relay):
                return relay
        return None

    def _take_report(self, relay: Node, report: Report) -> None:
        assert relay.totals is not None
        share = self._share(relay)
        customers = {self.customer.name: self.customer}
        record_report(relay.totals, report, customers, share, self.now_ms)
        self._renew(relay, report.counts, share)

    def _renew(self, relay: Node, names: Collection[str], share: float) -> None:
        totals = relay.totals
        assert totals is not None
        customers = {self.customer.name: self.customer}
        if update_orders(totals, customers, names, share, self.now_ms):
            for node in self.nodes:
                if node.is_up and self._relay_for(node) is relay:
                    self.messages += 1
                    apply_answer(node.local, make_answer(totals, self.now_ms), self.now_ms)

    def _call(self, local: LocalAllotments, relay: Node) -> float:
        bound_ms = begin_call(local, relay.name, self.now_ms)
        end_call(local, relay.name, self.now_ms, self.now_ms, is_counted=True)
        return bound_ms

    def _exchange(self, node: Node) -> None:
        local = node.local
        if local.pending and self.now_ms >= node.reports_at_ms:
            counts, reported_at_ms = take_pending(local), self.now_ms
            self.messages += 1
            relay = self._relay_for(node)
            if relay is None or relay.totals is None:
                return_pending(local, counts)
                node.reports_at_ms = self.now_ms + RETRY_PAUSE_MS
            else:
                bound_ms = self._call(local, relay)
                report = Report(node.name, str(node.zone), {}, counts, bound_ms)
                self._take_report(relay, report)
                confirm_pending(local, reported_at_ms)
                apply_answer(local, make_answer(relay.totals, self.now_ms), self.now_ms)
                node.reports_at_ms = self.now_ms + local.interval_ms
        if self.now_ms >= node.watches_at_ms:
            relay = self._relay_for(node)
            node.watches_at_ms = self.now_ms + (WATCH_WAIT_MS if relay else RETRY_PAUSE_MS)
            if relay is not None and relay.totals is not None:
                bound_ms = self._call(local, relay)
                self._take_report(relay, Report(node.name, str(node.zone), {}, {}, bound_ms))
                apply_answer(local, make_answer(relay.totals, self.now_ms), self.now_ms)

    def _exchange_totals(self, relay: Node) -> None:
        totals = relay.totals
        if totals is None or not relay.is_up:
            return
        relays = self._relays_of(relay).values()
        others = {each.name: each for each in relays if each is not relay}
        keep_outboxes(totals, set(others))
        forget_idle(totals, {self.customer.name: self.customer}, self.now_ms)
        self._renew(relay, list(totals.orders), self._share(relay))
        for name, other in others.items():
            since_ms = totals.outboxes[name].since_ms
            report = take_totals(totals, name, self.now_ms)
            if report is None:
                continue
            self.messages += 1
            if other.totals is not None and self._reaches(relay, other):
                self._take_report(other, report)
            else:
                return_totals(totals, name, report.counts, since_ms or self.now_ms, self.now_ms)

    def run(self, for_ms: float) -> None:
        """Play for a time."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for action in [each for each in self._actions if each[0] <= self.now_ms]:
                self._actions.remove(action)
                action[1]()
            for zone in self.relays:
                nodes = [node for node in self.in_zone(zone) if node.is_up]
                expected = self.per_s(zone, self.now_ms) * TICK_MS / 1000
                while nodes and expected > 0:
                    if self.rng.random() < expected:
                        self._ask_first(self.rng.choice(nodes))
                    expected -= 1
            for node in self.nodes:
                if node.is_up:
                    self._exchange(node)
            if self.now_ms % EXCHANGE_INTERVAL_MS < TICK_MS:
                for node in self.nodes:
                    self._exchange_totals(node)

    def _ask_first(self, node: Node) -> None:
        is_short = self.back_share > 0 and self.rng.random() < self.back_share
        admitted = len(self.admitted)
        self._ask(node, is_back=is_short)
        self.asked_short += is_short
        self.admitted_short += is_short and len(self.admitted) > admitted

    def _ask(self, node: Node, *, is_back: bool = False, is_again: bool = False) -> None:
        self.asked.append(self.now_ms)
        wait_ms = try_admit(
            node.local, self.customer, len(self.nodes), self.now_ms, self.rng, is_back=is_back
        )
        refill(self._allotment, self.now_ms)
        if wait_ms is None:
            self.admitted.append(self.now_ms)
            self.admitted_later += is_back
            self._allotment.tokens -= 1.0
            return
        self.refused_below += self._allotment.tokens >= 1.0
        if self.comes_back and not is_again:
            again = self.rng.choice(self.nodes)
            back_at_ms = self.now_ms + min(wait_ms, BACK_WITHIN_MS)
            self.at(
                back_at_ms, lambda: again.is_up and self._ask(again, is_back=True, is_again=True)
            )

    def worst_window(self, from_ms: float = 0.0) -> int:
        """Return the largest number of requests admitted in a window."""
        times = [at_ms for at_ms in self.admitted if at_ms >= from_ms]
        window_ms, first, worst = TOLERANCE.window_s * 1000, 0, 0
        for index, at_ms in enumerate(times):
            while times[first] < at_ms - window_ms:
                first += 1
            worst = max(worst, index - first + 1)
        return worst

    def allowed(self) -> float:
        """Return the largest number that is tolerated in a window."""
        allotment = self.customer.rate_per_s * TOLERANCE.window_s + self.customer.burst
        return allotment + tolerated_excess(self.customer, TOLERANCE)


SILENT_AFTER_MS = PEER_TIMEOUT_MS
