"""Tests of evacuations of zones, without a store."""

from wisteriarock.discovery.changes import (
    apply_changes,
    apply_feed_answer,
    move_evacuated_services,
)
from wisteriarock.discovery.const import EVACUATION_SPREAD_SHARE, EVACUATION_WAIT_SHARE
from wisteriarock.discovery.decide import apply_entry, changes_since, remove_entry
from wisteriarock.discovery.evacuation import advance_evacuations, begin_evacuation, end_evacuation
from wisteriarock.discovery.models import Directory
from wisteriarock.store.models import Item, Snapshot

from tests.common import function_suite
from tests.wisteriarock.discovery.test_changes import make_answer, make_state
from tests.wisteriarock.dispatch.emulator import Emulator
from tests.wisteriarock.samples import at, make_entry, make_fan_out_route

WITHIN_MS = 5_000.0
KEY = "op/evacuate/zone-a"


def _make_directory(services: int = 30) -> Directory:
    directory = Directory()
    for number in range(services):
        for zone in ("zone-a", "zone-b", "zone-c"):
            entry = make_entry(f"{number}/{zone}", f"shard-{number}", zone=zone)
            apply_entry(directory, entry, 0.0)
    return directory


def _listed(directory: Directory, zone: str) -> int:
    return sum(each.zone == zone for listed in directory.by_service.values() for each in listed)


def test_services_of_an_evacuated_zone_move_in_steps():
    """Guards against all load of a zone reaching the others at the same moment."""
    directories = [_make_directory() for _ in range(2)]
    orders: list[list[str]] = []
    for directory in directories:
        begin_evacuation(directory, "zone-a", 0.0, within_ms=WITHIN_MS)
        steps = [advance_evacuations(directory, now_ms) for now_ms in range(0, 1_100, 50)]
        assert max(len(changes) for changes in steps) <= 8
        orders.append([change.endpoint.endpoint_id for changes in steps for change in changes])
        assert _listed(directory, "zone-a") == 0
        assert _listed(directory, "zone-b") == _listed(directory, "zone-c") == 30
        obeyed_since_ms = directory.evacuations["zone-a"].obeyed_since_ms
        assert obeyed_since_ms is not None
        assert obeyed_since_ms <= EVACUATION_SPREAD_SHARE * WITHIN_MS + 50
    assert orders[0] == orders[1]


def test_service_with_only_cold_endpoints_elsewhere_moves_last():
    """Guards against the load of a zone reaching endpoints that have just started.

    A service does not stay until the others are warm either.
    """
    directory = _make_directory(2)
    for zone in ("zone-b", "zone-c"):
        directory.by_id[f"1/{zone}"].cold_until_ms = 60_000.0
    begin_evacuation(directory, "zone-a", 0.0, within_ms=WITHIN_MS)
    advance_evacuations(directory, EVACUATION_SPREAD_SHARE * WITHIN_MS)
    assert directory.by_id["0/zone-a"].is_evacuated
    assert not directory.by_id["1/zone-a"].is_evacuated
    advance_evacuations(directory, EVACUATION_WAIT_SHARE * WITHIN_MS)
    assert directory.by_id["1/zone-a"].is_evacuated


def test_two_zones_evacuated_at_once_leave_the_third():
    """Guards against a zone counting as room for another one that is evacuated as well."""
    directory = _make_directory()
    for zone in ("zone-a", "zone-b"):
        begin_evacuation(directory, zone, 0.0, within_ms=0.0)
    assert [_listed(directory, zone) for zone in ("zone-a", "zone-b", "zone-c")] == [0, 0, 30]
    end_evacuation(directory, "zone-a", 1.0)
    assert [_listed(directory, zone) for zone in ("zone-a", "zone-b", "zone-c")] == [30, 0, 30]


def test_entries_of_an_evacuated_zone_stay_unlisted():
    """Guards against an endpoint that starts, restarts or stops draining during an evacuation."""
    directory = _make_directory(1)
    begin_evacuation(directory, "zone-a", 0.0, within_ms=0.0)
    apply_entry(directory, make_entry("new", "shard-0"), 1.0)
    apply_entry(directory, make_entry("0/zone-a", "shard-0", started_at_unix_ms=2), 1.0)
    for is_draining in (True, False):
        entry = make_entry("new", "shard-0", is_draining=is_draining)
        apply_entry(directory, entry, 2.0)
    assert _listed(directory, "zone-a") == 0
    apply_entry(directory, make_entry("new", "shard-0", is_draining=True), 3.0)
    end_evacuation(directory, "zone-a", 4.0)
    assert [each.endpoint_id for each in directory.by_service["shard-0"]] == [
        "0/zone-b",
        "0/zone-c",
        "0/zone-a",
    ]


def test_removal_and_new_evacuation_within_a_second():
    """Guards against the end of the first evacuation ending the second one.

    The items arrive one by one, together, and as the difference of two snapshots.
    """
    first, end, second = Item(KEY, b"{}", at(12)), Item(KEY, None, at(13)), Item(KEY, b"{}", at(14))
    snapshot = Snapshot([], [second], [], [], at(14))
    for batches in ([[first], [end], [second]], [[first, end, second]]):
        state, loop = make_state()
        apply_entry(state.directory, make_entry("e1"), 0.0)
        for items in batches:
            apply_changes(state, items, items[-1].position)
            loop.run_until_ms(loop.time() * 1000 + 300.0)
        assert list(state.directory.evacuations) == ["zone-a"]
        assert _listed(state.directory, "zone-a") == 0
    state, _ = make_state()
    apply_changes(state, [first], at(12))
    apply_changes(state, changes_since(at(12), [KEY], snapshot), at(14), is_news=False)
    assert list(state.directory.evacuations) == ["zone-a"]
    gone = changes_since(at(14), [KEY], snapshot._replace(evacuations=[], position=at(16)))
    apply_changes(state, gone, at(16), is_news=False)
    assert not state.directory.evacuations


def test_news_of_an_evacuation_that_may_be_late_is_obeyed_at_once():
    """Guards against an instance that takes its time after a relay, or the store, was away.

    Pattern: the relay is lost between the write of the key and the news of it.
    """
    item = Item(KEY, b"{}", at(11))
    for calm_ms, expected in ((60_000.0, 1), (500.0, 0)):
        state, loop = make_state()
        state.evacuation_ms = WITHIN_MS
        loop.run_until_ms(60_000.0)
        apply_entry(state.directory, make_entry("e1"), 0.0)
        apply_feed_answer(state, [item], make_answer(11, failure_free_ms=calm_ms))
        assert _listed(state.directory, "zone-a") == expected
        loop.run_until_ms(60_000.0 + WITHIN_MS / 2)
        move_evacuated_services(state)
        assert _listed(state.directory, "zone-a") == 0
        events = [name for name, _ in state.log.events]  # type: ignore[attr-defined]
        assert events[-2:] == ["evacuation_begun", "evacuation_obeyed"]


def test_evacuation_beside_a_burst_leaves_no_leg_for_the_zone():
    """Guards against hedges and retries to an evacuated zone while the other zone is loaded.

    The shards whose only copy is there are left out of the answers.
    """
    emulator = Emulator(make_fan_out_route(8), 2, 20.0)
    for service in ("shard-0", "shard-1"):
        remove_entry(emulator.directory, f"{service}/1", 0.0, may_have_lapsed=False)
    begin_evacuation(emulator.directory, "zone-a", 0.0, within_ms=0.0)
    emulator.send_requests(200, 20.0)
    arrivals = {name: len(each.arrivals) for name, each in emulator.endpoints.items()}
    assert all(count == 0 for name, count in arrivals.items() if name.endswith("/0"))
    assert all(arrivals[f"shard-{number}/1"] for number in range(2, 8))
    statuses = [answer.status for _, answer in emulator.answers.values()]
    assert len(statuses) == 200 and statuses.count(200) > 0


load_tests = function_suite(globals())
