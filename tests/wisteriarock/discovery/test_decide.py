"""Tests of the endpoint directory."""

from wisteriarock.discovery.const import (
    LAPSE_GRACE_MS,
    RETRY_BACKOFF_LIMIT_MS,
    RETRY_BACKOFF_MAX_MS,
)
from wisteriarock.discovery.decide import (
    apply_entry,
    changes_since,
    expire_lapsed,
    remove_entry,
    resync,
    retry_backoff_max_ms,
)
from wisteriarock.discovery.models import Directory
from wisteriarock.store.models import Item, Snapshot

from tests.common import function_suite
from tests.wisteriarock.samples import at, make_entry


def _listed_endpoint_ids(directory: Directory, service: str = "shard-0") -> list[str]:
    return [endpoint.endpoint_id for endpoint in directory.by_service.get(service, [])]


def test_heartbeat_changes_nothing():
    """Guards against the statistics of an endpoint being lost at each heartbeat."""
    directory = Directory()
    apply_entry(directory, make_entry("e1"), 0.0)
    endpoint = directory.by_id["e1"]
    assert apply_entry(directory, make_entry("e1"), 1.0) == []
    assert directory.by_id["e1"] is endpoint


def test_draining_endpoint_gets_no_new_requests():
    """Guards against requests to an endpoint that is draining."""
    directory = Directory()
    apply_entry(directory, make_entry("e1"), 0.0)
    changes = apply_entry(directory, make_entry("e1", is_draining=True), 1.0)
    assert [change.kind for change in changes] == ["draining"]
    assert _listed_endpoint_ids(directory) == []


def test_restart_under_the_same_id_resets_statistics():
    """Guards against a new process keeping the statistics or connections of the former one."""
    directory = Directory()
    apply_entry(directory, make_entry("e1"), 0.0)
    directory.by_id["e1"].slow_ratio = 9.0
    changes = apply_entry(directory, make_entry("e1", started_at_unix_ms=2_000), 1.0)
    assert [change.kind for change in changes] == ["replaced", "added"]
    assert changes[0].closes_connections
    assert directory.by_id["e1"].slow_ratio == 1.0
    assert _listed_endpoint_ids(directory) == ["e1"]


def test_move_to_another_service_or_address():
    """Guards against an endpoint that stays listed under its former service."""
    directory = Directory()
    apply_entry(directory, make_entry("e1"), 0.0)
    apply_entry(directory, make_entry("e1", service="shard-9", port=9000), 1.0)
    assert _listed_endpoint_ids(directory) == []
    assert _listed_endpoint_ids(directory, "shard-9") == ["e1"]


def test_removal_without_outage_is_immediate():
    """Guards against requests to an endpoint that left without draining."""
    directory = Directory()
    apply_entry(directory, make_entry("e1"), 0.0)
    changes = remove_entry(directory, "e1", 1.0, may_have_lapsed=False)
    assert [change.kind for change in changes] == ["gone"]
    assert _listed_endpoint_ids(directory) == [] and "e1" not in directory.by_id


def test_entry_lapsed_in_outage_may_reappear():
    """Guards against all endpoints being dropped when the store returns from an outage."""
    directory = Directory()
    apply_entry(directory, make_entry("e1"), 0.0)
    apply_entry(directory, make_entry("e2"), 0.0)
    for endpoint_id in ("e1", "e2"):
        remove_entry(directory, endpoint_id, 10.0, may_have_lapsed=True)
    assert _listed_endpoint_ids(directory) == ["e1", "e2"]
    apply_entry(directory, make_entry("e2"), 500.0)
    assert expire_lapsed(directory, 10.0 + LAPSE_GRACE_MS - 1) == []
    gone = expire_lapsed(directory, 10.0 + LAPSE_GRACE_MS)
    assert [change.endpoint.endpoint_id for change in gone] == ["e1"]
    assert _listed_endpoint_ids(directory) == ["e2"]


def test_removed_draining_entry_is_dropped_despite_outage():
    """Guards against a draining endpoint returning to use because of an outage."""
    directory = Directory()
    apply_entry(directory, make_entry("e1", is_draining=True), 0.0)
    remove_entry(directory, "e1", 1.0, may_have_lapsed=True)
    assert "e1" not in directory.by_id


def test_resync_replaces_the_content():
    """Guards against keeping endpoints that left while the history of changes was lost."""
    directory = Directory()
    for name in ("e1", "e2"):
        apply_entry(directory, make_entry(name), 0.0)
    resync(directory, [make_entry("e2"), make_entry("e3")], 1.0, may_have_lapsed=False)
    assert sorted(directory.by_id) == ["e2", "e3"]


def test_snapshot_after_lost_history_is_converted_to_changes():
    """Guards against missed removals, and against followers that need a full load."""
    old, new, other = (
        Item("servers/old", b"a", at(5)),
        Item("servers/new", b"b", at(12)),
        Item("op/config", b"c", at(14)),
    )
    snapshot = Snapshot([other], [], [], [old, new], at(15))
    changes = changes_since(at(10), ["servers/old", "servers/gone"], snapshot)
    assert changes == [other, new, Item("servers/gone", None, at(15))]
    assert changes_since(at(15), ["servers/old", "servers/new"], snapshot) == []


def test_many_instances_retry_more_slowly():
    """Guards against hundreds of instances that load a store which refuses them.

    Pattern: the store turns some machines away, so that a zone's instances have no relay.
    """
    assert retry_backoff_max_ms(9, is_relay=False) == RETRY_BACKOFF_MAX_MS
    assert retry_backoff_max_ms(None, is_relay=False) == RETRY_BACKOFF_MAX_MS
    assert retry_backoff_max_ms(100, is_relay=False) == 4 * RETRY_BACKOFF_MAX_MS
    assert retry_backoff_max_ms(5_000, is_relay=False) == RETRY_BACKOFF_LIMIT_MS
    assert retry_backoff_max_ms(5_000, is_relay=True) == RETRY_BACKOFF_MAX_MS


load_tests = function_suite(globals())
