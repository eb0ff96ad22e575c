"""Tests of the directory of endpoints."""

from wisteriarock.discovery.const import LAPSE_GRACE_MS
from wisteriarock.discovery.decide import (
    apply_entry,
    changes_since,
    expire_lapsed,
    remove_entry,
    resync,
)
from wisteriarock.discovery.models import Directory
from wisteriarock.store.models import Item, Snapshot

from tests.common import function_suite
from tests.wisteriarock.samples import entry


def _listed(directory: Directory, service: str = "shard-0") -> list[str]:
    return [endpoint.endpoint_id for endpoint in directory.by_service.get(service, [])]


def test_sign_of_life_changes_nothing():
    """Guards against observations being lost at each heartbeat."""
    directory = Directory()
    apply_entry(directory, entry("e1"), 0.0)
    known = directory.by_id["e1"]
    assert apply_entry(directory, entry("e1"), 1.0) == []
    assert directory.by_id["e1"] is known


def test_draining_endpoint_gets_no_new_work():
    """Guards against work for an endpoint that is leaving."""
    directory = Directory()
    apply_entry(directory, entry("e1"), 0.0)
    changes = apply_entry(directory, entry("e1", is_draining=True), 1.0)
    assert [change.kind for change in changes] == ["draining"]
    assert _listed(directory) == []


def test_restart_under_the_same_id_forgets_observations():
    """Guards against a new process being judged by, or connected as, the one before."""
    directory = Directory()
    apply_entry(directory, entry("e1"), 0.0)
    directory.by_id["e1"].slow_ratio = 9.0
    changes = apply_entry(directory, entry("e1", born_ms=2_000), 1.0)
    assert [change.kind for change in changes] == ["replaced", "added"]
    assert changes[0].closes_connections
    assert directory.by_id["e1"].slow_ratio == 1.0
    assert _listed(directory) == ["e1"]


def test_move_to_another_service_or_address():
    """Guards against an endpoint listed under the service that it had before."""
    directory = Directory()
    apply_entry(directory, entry("e1"), 0.0)
    apply_entry(directory, entry("e1", service="shard-9", port=9000), 1.0)
    assert _listed(directory) == []
    assert _listed(directory, "shard-9") == ["e1"]


def test_removal_in_calm_times_is_at_once():
    """Guards against work for an endpoint that left without reporting that it drains."""
    directory = Directory()
    apply_entry(directory, entry("e1"), 0.0)
    changes = remove_entry(directory, "e1", 1.0, may_have_lapsed=False)
    assert [change.kind for change in changes] == ["gone"]
    assert _listed(directory) == [] and "e1" not in directory.by_id


def test_entry_that_lapsed_with_the_store_away_may_come_back():
    """Guards against all endpoints being dropped when the store returns from an outage."""
    directory = Directory()
    apply_entry(directory, entry("e1"), 0.0)
    apply_entry(directory, entry("e2"), 0.0)
    for endpoint_id in ("e1", "e2"):
        remove_entry(directory, endpoint_id, 10.0, may_have_lapsed=True)
    assert _listed(directory) == ["e1", "e2"]
    apply_entry(directory, entry("e2"), 500.0)
    assert expire_lapsed(directory, 10.0 + LAPSE_GRACE_MS - 1) == []
    gone = expire_lapsed(directory, 10.0 + LAPSE_GRACE_MS)
    assert [change.endpoint.endpoint_id for change in gone] == ["e1"]
    assert _listed(directory) == ["e2"]


def test_draining_entry_that_disappears_is_gone_whatever_the_store_does():
    """Guards against a leaving endpoint coming back into use through an outage."""
    directory = Directory()
    apply_entry(directory, entry("e1", is_draining=True), 0.0)
    remove_entry(directory, "e1", 1.0, may_have_lapsed=True)
    assert "e1" not in directory.by_id


def test_listing_replaces_the_content():
    """Guards against endpoints that left while the history of changes was lost."""
    directory = Directory()
    for name in ("e1", "e2"):
        apply_entry(directory, entry(name), 0.0)
    resync(directory, [entry("e2"), entry("e3")], 1.0, may_have_lapsed=False)
    assert sorted(directory.by_id) == ["e2", "e3"]


def test_snapshot_after_forgotten_history_is_told_as_changes():
    """Guards against removals that are missed, and against followers that must read everything."""
    old, new, other = (
        Item("servers/old", b"a", 5),
        Item("servers/new", b"b", 12),
        Item("op/config", b"c", 14),
    )
    snapshot = Snapshot([other], [], [old, new], 15)
    changes = changes_since(10, ["servers/old", "servers/gone"], snapshot)
    assert changes == [other, new, Item("servers/gone", None, 15)]
    assert changes_since(15, ["servers/old", "servers/new"], snapshot) == []


load_tests = function_suite(globals())
