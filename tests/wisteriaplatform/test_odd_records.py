"""Tests of records of other writers in the store, against a running instance."""

import json
import os

from wisteriarock.front import housekeeping

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

_ENTRY = {
    "service": "invoicing",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}
ODD_ENTRIES: dict[str, bytes] = {
    "servers/odd-nested": b"[" * 4_000,
    "servers/odd-service": json.dumps({**_ENTRY, "service": "mill \ud83d"}).encode(),
    "servers/odd-number": json.dumps({**_ENTRY, "cold_left_ms": 10**400}).encode(),
    "servers/odd-port": json.dumps({**_ENTRY, "address": "127.0.0.1:99999"}).encode(),
    "servers/odd-digit": json.dumps({**_ENTRY, "address": "127.0.0.1:\u00b2"}).encode(),
    "servers/odd-host": json.dumps({**_ENTRY, "address": "mill \ud83d:80"}).encode(),
    "servers/odd-id\r\nX: 1": json.dumps(_ENTRY).encode(),
    "servers/odd-bytes": b"\xff\xfe\x00",
    "servers/odd-empty": b"",
    "wisteriarock/relays/zone-z": b"[" * 4_000,
    "wisteriarock/relays/zone-y": b'{"instance":"i","address":"127.0.0.1:99999","instances":2}',
}


def _read_log(running: Deployment) -> str:
    running.instance.log.flush()
    return os.read(running.log, 2**20).decode()


def _put_odd_entries(running: Deployment) -> None:
    for key, value in ODD_ENTRIES.items():
        running.store.put(key, value)


async def test_odd_entries_leave_the_process_running():
    """Guards against processes that end at an entry of another writer, or stop following."""
    async with deployment() as running:
        instance = running.instance
        _put_odd_entries(running)
        running.store.put("op/config", operator_configuration(5))
        await wait_until(lambda: instance.catalog.configuration.version == 5)
        assert not [name for name in instance.directory.by_id if name.startswith("odd")]
        response = await send(running.port, request_bytes("/lookup/x", "r-1"))
        assert response.status == 200
        assert instance.counters.total("malformed_entries") >= 9
        assert instance.counters.total("unexpected_errors") == 0
        assert "event=entry_bad" in _read_log(running)
        # A restarted instance reads the same entries in its first load.
        async with another_instance(running, "front-2") as restarted:
            await wait_until(lambda: restarted.discovery.is_loaded)
            assert set(restarted.directory.by_id) == set(running.endpoints)


async def test_record_that_raises_is_dropped_alone():
    """Guards against one record that stops the instance from following the others."""
    async with deployment() as running:
        instance = running.instance
        decode = instance.discovery.format.decode_endpoint

        def decode_or_raise(key: str, value: bytes) -> object:
            if key.endswith("odd-1"):
                raise RecursionError("nested too deeply")
            return decode(key, value)

        instance.discovery.format = instance.discovery.format._replace(
            decode_endpoint=decode_or_raise  # type: ignore[arg-type]
        )
        running.store.put("servers/odd-1", json.dumps(_ENTRY).encode())
        running.store.put("servers/later", json.dumps(_ENTRY).encode())
        await wait_until(lambda: "later" in instance.directory.by_id)
        assert instance.counters.counts["unexpected_errors", "decode_entry"] >= 1
        log = _read_log(running)
        assert "event=unexpected_error" in log and "key=servers/odd-1" in log


async def test_failed_task_is_started_again():
    """Guards against a process that ends, or no longer follows the store, when a task fails."""
    async with deployment() as running:
        instance = running.instance
        decode = instance.discovery.format.decode_events
        failures = 0

        def decode_or_raise(body: bytes, era: int) -> object:
            nonlocal failures
            if failures < 2:
                failures += 1
                raise RuntimeError("unexpected")
            return decode(body, era)

        instance.discovery.format = instance.discovery.format._replace(
            decode_events=decode_or_raise  # type: ignore[arg-type]
        )
        running.store.put("servers/later", json.dumps(_ENTRY).encode())
        await wait_until(lambda: failures == 2)
        running.store.put("op/config", operator_configuration(5))
        await wait_until(lambda: instance.catalog.configuration.version == 5)
        assert instance.counters.counts["unexpected_errors", "discovery"] == 2
        assert "part=discovery" in _read_log(running)


async def test_failed_periodic_work_is_repeated():
    """Guards against checks of endpoints that stop for good after one exception."""
    async with deployment() as running:
        instance = running.instance
        runs = 0

        def work(_: object) -> None:
            nonlocal runs
            runs += 1
            raise RuntimeError("unexpected")

        housekeeping._repeat(instance, 1.0, work)
        await wait_until(lambda: runs >= 3)
        assert instance.counters.counts["unexpected_errors", "work"] >= 3


load_tests = function_suite(globals())
