"""Many instances that choose among the endpoints of one service, on virtual time.

Drives the decisions of `balancing` alone: no hedges, retries or connections.
"""

import math
import random
import statistics
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wisteriarock.balancing.decide import choose_endpoint, observe_reply
from wisteriarock.balancing.models import Endpoint, LoadReport

from tests.wisteriarock.dispatch.emulator import VirtualLoop

ZONES = ("zone-a", "zone-b", "zone-c")
WINDOW_MS = 1_000.0
SAMPLE_MS = 20.0

Choose = Callable[[Sequence[Endpoint], str, float, float, random.Random], Endpoint]


class Load(NamedTuple):
    """Load on one service and the behaviour of its endpoints.

    Attributes
    ----------
    utilization : float
        Mean demand, as a share of all slots at usual speed.
    zone_demand : tuple of float
        Weight of the demand of each zone.
    swing, swing_period_ms : float
        Swing of the demand of each zone, out of step with the others.
    speeds : tuple of float
        Work time of the endpoints relative to the usual one, by turns.
    noise_share, noise_factor, noise_ms : float
        Share of the time in which an endpoint is slower, by how much, and for how long at a time.
    pause_ms, pause_interval_ms : float
        Length and interval of pauses in which an endpoint works on nothing.
    reports, is_even : bool
        Whether endpoints report their load, and whether instances are asked for even load.
    news_delay_ms : float
        Time by which instances learn of each reply later than it arrives.
    slow_factor, slow_from_ms, slow_until_ms : float
        Fault that slows the first endpoint down for a time.
    spoil : callable or None
        Changes the report of an endpoint, by its number.
    """

    instances: int
    endpoints: int
    slots: int
    work_ms: float
    utilization: float
    zone_demand: tuple[float, ...] = (1.0, 1.0, 1.0)
    swing: float = 0.0
    swing_period_ms: float = 17_000.0
    speeds: tuple[float, ...] = (1.0,)
    noise_share: float = 0.0
    noise_factor: float = 2.5
    noise_ms: float = 500.0
    pause_ms: float = 0.0
    pause_interval_ms: float = 3_600.0
    one_way_ms: float = 0.1
    cross_zone_ms: float = 4.5
    work_spread: float = 0.5
    reports: bool = True
    is_even: bool = True
    news_delay_ms: float = 0.0
    slow_factor: float = 1.0
    slow_from_ms: float = 20_000.0
    slow_until_ms: float = 30_000.0
    spoil: Callable[[int, LoadReport], LoadReport] | None = None


class Figures(NamedTuple):
    """What a run showed.

    Attributes
    ----------
    busiest_ratio : float
        Load of the busiest endpoint in a second over the mean of all, averaged over the seconds.
    busiest_arrivals_ratio : float
        The same for the requests that arrive in a second.
    overrun_share : float
        Share of requests that waited although another endpoint had a free slot.
    wait_mean_ms, wait_p99_ms, latency_mean_ms, latency_p99_ms : float
        Time that requests waited for a slot, and their latency.
    cross_zone_share : float
        Share of requests sent to another zone.
    cross_zone_swing : float
        Standard deviation of that share from second to second, without the first five.
    shares : list of float
        Share of the requests of each endpoint.
    """

    busiest_ratio: float
    busiest_arrivals_ratio: float
    overrun_share: float
    wait_mean_ms: float
    wait_p99_ms: float
    latency_mean_ms: float
    latency_p99_ms: float
    cross_zone_share: float
    cross_zone_swing: float
    shares: list[float]


def mean_figures(runs: Sequence[Figures]) -> Figures:
    """Return the means of the figures of several runs, and the shares of the first one."""
    means = [sum(values) / len(runs) for values in zip(*[run[:-1] for run in runs], strict=True)]
    return Figures(*means, runs[0].shares)


def choose_evenly(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> Endpoint:
    """Choose as an instance does that is asked for even load."""
    chosen = choose_endpoint(endpoints, (), zone, expected_ms, now_ms, rng, is_even=True)
    assert chosen is not None
    return chosen


class Server:
    """An endpoint as it is, apart from what instances know of it."""

    def __init__(self, number: int, load: Load, rng: random.Random) -> None:
        self.number = number
        self.speed = load.speeds[number % len(load.speeds)]
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self.arrivals: Counter[int] = Counter()
        self.load = load
        self._noise_offset_ms = rng.uniform(0.0, load.noise_ms)
        self._pause_offset_ms = rng.uniform(0.0, load.pause_interval_ms)
        self._noise_seed = rng.randrange(2**30)

    def slowness(self, now_ms: float) -> float:
        """Return the factor by which a fault slows the endpoint down."""
        load = self.load
        is_slow = self.number == 0 and load.slow_from_ms <= now_ms < load.slow_until_ms
        return load.slow_factor if is_slow else 1.0

    def pace(self, now_ms: float) -> float:
        """Return the time that work takes now, relative to the usual time."""
        period = int((now_ms + self._noise_offset_ms) // self.load.noise_ms)
        is_slow = random.Random(self._noise_seed + period).random() < self.load.noise_share
        return self.load.noise_factor if is_slow else 1.0

    def expected_ms(self, size_ms: float, now_ms: float) -> float:
        """Return the time that a request of a size would take from now on."""
        ahead = (self.running + len(self.queue)) / self.load.slots
        work_ms = self.speed * self.pace(now_ms) * self.slowness(now_ms)
        queued_ms = max(0.0, ahead - 1.0 + 1.0 / self.load.slots) * self.load.work_ms * work_ms
        return size_ms * work_ms + self.pause_left_ms(now_ms) + queued_ms

    def pause_left_ms(self, now_ms: float) -> float:
        """Return the time until the end of a pause, 0 outside of one."""
        into_ms = (now_ms + self._pause_offset_ms) % self.load.pause_interval_ms
        return max(0.0, self.load.pause_ms - into_ms)

    def report(self, now_ms: float) -> LoadReport:
        """Return the load that a reply states."""
        pace = self.speed * self.pace(now_ms) * self.slowness(now_ms)
        report = LoadReport(self.running, len(self.queue), self.load.slots, pace)
        return self.load.spoil(self.number, report) if self.load.spoil else report


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class Crowd:
    """Instances with their own views of the same servers."""

    def __init__(self, load: Load, choose: Choose, seed: int = 1) -> None:
        self.loop = VirtualLoop()
        self.load = load
        self.choose = choose
        self.rng = random.Random(seed)
        self.servers = [Server(number, load, self.rng) for number in range(load.endpoints)]
        self.views: list[list[Endpoint]] = []
        for _ in range(load.instances):
            view = []
            for number in range(load.endpoints):
                zone = ZONES[number % len(ZONES)]
                view.append(Endpoint(f"e{number}", "s", "10.0.0.1", 1, zone, load.slots))
            self.views.append(view)
        self.expected_ms = [load.work_ms] * load.instances
        self.waits_ms: list[float] = []
        self.latencies_ms: list[float] = []
        self.overruns = self.legs = 0
        self.sent: Counter[int] = Counter()
        self.crossings: Counter[int] = Counter()
        self.samples: list[list[float]] = []

    def run(self, duration_ms: float) -> Figures:
        """Play the load for a time and return what it showed."""
        self._schedule_arrival(0.0, duration_ms)
        self._sample(duration_ms)
        self.loop.run_until_ms(duration_ms + 5_000.0)
        return self._figures()

    def _schedule_arrival(self, now_ms: float, end_ms: float) -> None:
        load = self.load
        capacity_per_ms = load.endpoints * load.slots / load.work_ms
        peak_per_ms = capacity_per_ms * load.utilization * (1.0 + load.swing)
        at_ms = now_ms + self.rng.expovariate(peak_per_ms)
        if at_ms < end_ms:
            self.loop.call_at(at_ms / 1000, lambda: self._arrive(end_ms))

    def _arrive(self, end_ms: float) -> None:
        now_ms = self.loop.time() * 1000
        self._schedule_arrival(now_ms, end_ms)
        zone = self.rng.choices(range(len(ZONES)), self.load.zone_demand)[0]
        angle = 2 * math.pi * (now_ms / self.load.swing_period_ms + zone / len(ZONES))
        if self.rng.random() * (1.0 + self.load.swing) > 1.0 + self.load.swing * math.sin(angle):
            return
        per_zone = max(1, self.load.instances // len(ZONES))
        instance = (self.rng.randrange(per_zone) * len(ZONES) + zone) % self.load.instances
        self._send(instance, ZONES[zone], now_ms)

    def _send(self, instance: int, zone: str, now_ms: float) -> None:
        view = self.views[instance]
        endpoint = self.choose(view, zone, self.expected_ms[instance], now_ms, self.rng)
        server = self.servers[view.index(endpoint)]
        self.legs += 1
        leg = self.legs
        endpoint.in_flight[leg] = now_ms
        is_near = endpoint.zone == zone
        second = int(now_ms // WINDOW_MS)
        self.sent[second] += 1
        self.crossings[second] += not is_near
        one_way_ms = self.load.one_way_ms if is_near else self.load.cross_zone_ms
        sigma = self.load.work_spread
        size_ms = self.load.work_ms * self.rng.lognormvariate(-sigma * sigma / 2, sigma)

        def arrive() -> None:
            arrived_ms = self.loop.time() * 1000
            server.arrivals[int(arrived_ms // WINDOW_MS)] += 1
            waits = server.running >= self.load.slots
            if waits and any(each.running < self.load.slots for each in self.servers):
                self.overruns += 1

            def start() -> None:
                started_ms = self.loop.time() * 1000
                self.waits_ms.append(started_ms - arrived_ms)
                server.running += 1
                work_ms = size_ms * server.speed * server.pace(started_ms)
                work_ms *= server.slowness(started_ms)
                self.loop.after_ms(work_ms + server.pause_left_ms(started_ms), end)

            def end() -> None:
                told_ms = self.loop.time() * 1000
                report = server.report(told_ms) if self.load.reports else None
                server.running -= 1
                if server.queue:
                    server.queue.pop(0)()
                self.loop.after_ms(one_way_ms, lambda: reply(report))

            if waits:
                server.queue.append(start)
            else:
                start()

        def reply(report: LoadReport | None) -> None:
            at_ms = self.loop.time() * 1000
            endpoint.in_flight.pop(leg)
            elapsed_ms = at_ms - now_ms
            self.latencies_ms.append(elapsed_ms)
            self.loop.after_ms(
                self.load.news_delay_ms,
                lambda: self._observe(instance, endpoint, elapsed_ms, at_ms, report),
            )

        self.loop.after_ms(one_way_ms, arrive)

    def _observe(
        self,
        instance: int,
        endpoint: Endpoint,
        elapsed_ms: float,
        now_ms: float,
        report: LoadReport | None,
    ) -> None:
        expected_ms = self.expected_ms[instance]
        observe_reply(
            endpoint,
            elapsed_ms,
            expected_ms,
            is_error=False,
            now_ms=now_ms,
            report=report,
            is_even=self.load.is_even,
        )
        self.expected_ms[instance] += 0.02 * (min(elapsed_ms, 3 * expected_ms) - expected_ms)

    def _sample(self, end_ms: float) -> None:
        self.samples.append([each.running + len(each.queue) for each in self.servers])
        if self.loop.time() * 1000 < end_ms:
            self.loop.after_ms(SAMPLE_MS, lambda: self._sample(end_ms))

    def _figures(self) -> Figures:
        ratios = []
        per_window = int(WINDOW_MS / SAMPLE_MS)
        for first in range(0, len(self.samples) - per_window, per_window):
            window = self.samples[first : first + per_window]
            loads = [sum(each) for each in zip(*window, strict=True)]
            if sum(loads):
                ratios.append(max(loads) * len(loads) / sum(loads))
        legs = max(1, self.legs)
        arrivals = [[each.arrivals[second] for each in self.servers] for second in self.sent]
        arrivals_ratios = [max(each) * len(each) / sum(each) for each in arrivals if sum(each)]
        cross_shares = [self.crossings[each] / self.sent[each] for each in self.sent if each >= 5]
        return Figures(
            sum(ratios) / max(1, len(ratios)),
            statistics.fmean(arrivals_ratios),
            self.overruns / legs,
            sum(self.waits_ms) / legs,
            _quantile(self.waits_ms, 0.99),
            sum(self.latencies_ms) / legs,
            _quantile(self.latencies_ms, 0.99),
            self.crossings.total() / legs,
            statistics.pstdev(cross_shares),
            [each.arrivals.total() / legs for each in self.servers],
        )
