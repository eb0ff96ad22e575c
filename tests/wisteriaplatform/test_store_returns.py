"""Tests of a store that comes back from an older copy, with instances, relays and endpoints."""

import asyncio
import random

from wisteriarock.discovery.reads import check_store
from wisteriarock.feed.const import STORE_CHECK_TIMEOUT_MS
from wisteriarock.feed.state import is_relay
from wisteriarock.front.instance import Instance

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    operator_configuration,
    request_bytes,
    send,
    wait_until,
)

RETURN_SEEDS = (1, 2, 3, 4)
# A play that takes longer has an instance that stays behind.
PLAY_MAX_S = 60.0
# Calls that instances make by then if they go on asking for what the store does not have.
CALLS_MAX = 400


def _name_first_era(running: Deployment) -> None:
    running.store.state.era = 1


async def _write_later_version(running: Deployment, version: int, revisions: int = 50) -> None:
    """Write a version that only a copy taken before lacks, and wait until it is in force."""
    for number in range(revisions):
        running.store.put(f"other/{number}", b"x")
    running.store.put("op/config", operator_configuration(version))
    await wait_until(lambda: running.instance.catalog.configuration.version == version)


async def test_version_confirmed_after_a_return_is_in_force():
    """Guards against an instance that stays on an old version until revisions have caught up.

    The revisions of the copy are lower than the known ones, or have been given out again.
    """
    for revisions_ahead in (0, 51, 80):
        async with deployment() as running, another_instance(running, "front-2") as second:
            _name_first_era(running)
            store = running.store
            await wait_until(lambda second=second: second.discovery.is_loaded)
            await wait_until(
                lambda running=running, second=second: is_relay(running.instance.feed)
                or is_relay(second.feed)
            )
            copy = store.take_copy()
            await _write_later_version(running, 4)
            store.return_from_copy(copy, revisions_ahead)
            store.put("op/config", operator_configuration(5))
            store.calls.clear()
            for instance in (running.instance, second):
                await wait_until(
                    lambda instance=instance, store=store: instance.catalog.configuration.version
                    == 5
                    or len(store.calls) > CALLS_MAX
                )
                assert instance.catalog.configuration.version == 5, revisions_ahead
                assert instance.eras.known == 2


async def test_older_version_of_the_copy_is_not_taken():
    """Guards against an instance that goes back to a version that the copy shows."""
    async with deployment() as running:
        _name_first_era(running)
        copy = running.store.take_copy()
        await _write_later_version(running, 4)
        running.store.return_from_copy(copy)
        await wait_until(lambda: running.instance.feed_state.position.era == 2)
        assert running.instance.catalog.configuration.version == 4
        assert (await send(running.port, request_bytes("/lookup/x"))).status == 200


async def test_followers_learn_of_a_return_through_their_relay():
    """Guards against all instances that read the whole store at once."""
    async with deployment() as running, another_instance(running, "front-2") as second:
        _name_first_era(running)
        first = running.instance
        await wait_until(lambda: is_relay(first.feed) or is_relay(second.feed))
        relay, follower = (first, second) if is_relay(first.feed) else (second, first)
        await wait_until(follower.discovery.has_live_feed)
        copy = running.store.take_copy()
        running.store.put("op/config", operator_configuration(4))
        await wait_until(lambda: follower.catalog.configuration.version == 4)
        running.store.calls.clear()
        running.store.return_from_copy(copy)
        await wait_until(lambda: follower.feed_state.position.era == 2)
        assert relay.feed_state.position.era == 2
        # The relay lists what the operator, the relays and the endpoints have written.
        assert running.store.calls.count("/api/kv-range") <= 3
        running.store.put("op/config", operator_configuration(5))
        await wait_until(lambda: follower.catalog.configuration.version == 5)


async def test_relay_whose_lease_the_store_has_lost_steps_down():
    """Guards against a holder that goes on beside the next one."""
    async with deployment() as running, another_instance(running, "front-2") as second:
        _name_first_era(running)
        copy = running.store.take_copy()
        instances = (running.instance, second)
        await wait_until(lambda: any(is_relay(each.feed) for each in instances))
        holder = next(each for each in instances if is_relay(each.feed))
        lost_lease = holder.feed_state.lease
        assert lost_lease not in copy.leases
        running.store.return_from_copy(copy)
        await wait_until(lambda: holder.feed_state.lease != lost_lease)

        def holders() -> list[str]:
            return [each.settings.instance for each in instances if is_relay(each.feed)]

        while not holders():
            await asyncio.sleep(0.01)
        assert len(holders()) == 1
        registered = running.store.state.rows["wisteriarock/relays/zone-a"]
        assert registered.lease in running.store.state.leases
        assert holders()[0].encode() in registered.value


async def test_registration_that_the_copy_lacks_is_written_again():
    """Guards against a relay that nobody finds, as its lease is in the copy and its key is not."""
    async with deployment() as running:
        _name_first_era(running)
        await wait_until(lambda: is_relay(running.instance.feed))
        copy = running.store.take_copy()
        key = "wisteriarock/relays/zone-a"
        del copy.rows[key]
        running.store.put("other", b"x")
        lease = running.instance.feed_state.lease
        running.store.return_from_copy(copy)
        await wait_until(lambda: key in running.store.state.rows)
        assert running.instance.feed_state.lease == lease
        assert running.store.state.rows[key].lease == lease


async def test_check_that_lags_behind_a_return_is_no_silence():
    """Guards against a relay that takes itself for cut off as a stale read names a former era."""
    async with deployment() as running:
        _name_first_era(running)
        running.instance.eras.learn(2)
        assert await check_store(running.instance.discovery, STORE_CHECK_TIMEOUT_MS)
        assert not running.instance.discovery.is_store_silent


class _Play:
    """A random play of writes, copies, returns and other faults of the store."""

    def __init__(self, running: Deployment, rng: random.Random) -> None:
        self.running = running
        self.store = running.store
        self.rng = rng
        self.version = 3
        self.copies = [running.store.take_copy()]
        self.highest: dict[int, int] = {}

    def check_versions(self, *instances: Instance) -> None:
        """Check that no instance goes back to an older version in its lifetime."""
        for instance in instances:
            configuration = instance.catalog.configuration
            version = configuration.version if configuration is not None else 0
            assert version >= self.highest.get(id(instance), 0)
            self.highest[id(instance)] = version

    def write_version(self) -> None:
        """Write the newest version, as the operator does."""
        self.store.put("op/config", operator_configuration(self.version))

    def write_entries(self) -> None:
        """Write the entries of all endpoints, as they do themselves."""
        for name, endpoint in self.running.endpoints.items():
            self.store.put(f"servers/{name}", endpoint.make_entry())

    def step(self) -> None:
        """Make one random change."""
        kind = self.rng.choice(("write", "write", "copy", "return", "return", "forget", "down"))
        if kind == "write":
            self.version += self.rng.randint(1, 3)
            self.write_version()
            self.write_entries()
        elif kind == "copy":
            self.copies.append(self.store.take_copy())
        elif kind == "return":
            ahead = self.rng.choice((0, 1, 10, 40))
            self.store.return_from_copy(self.rng.choice(self.copies[-2:]), ahead)
            # Revisions of former eras are not those of this one.
            self.copies = [self.store.take_copy()]
        elif kind == "forget":
            self.store.discard_history()
        else:
            self.store.mode = "ok" if self.store.mode == "busy" else "busy"


async def _play_returns(seed: int) -> None:
    rng = random.Random(seed)
    async with deployment() as running, another_instance(running, "front-2") as second:
        _name_first_era(running)
        await wait_until(lambda: second.discovery.is_loaded)
        play = _Play(running, rng)
        for _ in range(12):
            play.step()
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.3)))
            play.check_versions(running.instance, second)
        play.store.mode = "ok"
        play.version += 1
        play.write_version()
        play.write_entries()
        async with another_instance(running, "front-3") as third:
            instances = (running.instance, second, third)
            for instance in instances:
                await wait_until(
                    lambda instance=instance: instance.catalog.configuration is not None
                    and instance.catalog.configuration.version == play.version
                )
            play.check_versions(*instances)
            names = set(running.endpoints)
            for instance in instances:
                await wait_until(lambda instance=instance: set(instance.directory.by_id) == names)
            await wait_until(lambda: sum(is_relay(each.feed) for each in instances) == 1)


async def test_random_returns():
    """Guards against an instance that stays behind, or goes back, after any order of faults."""
    for seed in RETURN_SEEDS:
        await asyncio.wait_for(_play_returns(seed), PLAY_MAX_S)


load_tests = function_suite(globals())
