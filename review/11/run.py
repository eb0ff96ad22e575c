"""Case 11: backends that start again in place around a drill of the store are never used again."""

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

import standins_3 as s
from wisteriastandins.users.store_server import StoreServer

# A small installation: one zone of cdq-search with fewer shards.
SHARDS = [f"sorting-desk-{number}" for number in range(6)]
SERVICE = "invoicing"
DRAIN_S, CONFIG_APPLY_S, STABILITY_S, HEARTBEAT_S = 3.0, 3.0, 4.0, 1.2
AWAY_S, COPY_AGE_S = 2.0, 4.0
# A backend whose write failed tries again after this time.
RETRY_S = 0.2
REQUESTS = 40


def configuration(version: int, *, has_copy: bool) -> dict:
    common = {"host": s.HOST, "kind": "idempotent", "max_attempts": 2, "priority": 1}
    plain = {**common, "service": SERVICE, "timeout_ms": 6000, "latency_target_ms": 700}
    routes = [
        {**common, "name": "blend-match", "prefix": "/blend/", "gather": SHARDS, "top_k": 10,
         "lower_bound": 0.89, "timeout_ms": 1500, "latency_target_ms": 230},
        {**plain, "name": "lot-fetch", "prefix": "/lot/"},
    ]
    if has_copy:
        routes.append({**plain, "name": "lot-copy", "prefix": "/copy/"})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 26}
            for name in [*SHARDS, SERVICE]
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


async def play(folder: Path, has_trouble: bool, record: Callable[[str], None]) -> int:
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    store.state.era = 1
    await store.start()
    shards = [s.Backend(f"{name}.{number}", name) for name in SHARDS for number in range(2)]
    fetchers = [s.Backend(f"{SERVICE}.{number}", SERVICE) for number in range(2)]
    programs: list[s.Program] = []
    tasks: list[asyncio.Task] = []
    is_away = False
    counts: dict[str, dict[str, int]] = {}

    async def beat(backend: s.Backend) -> None:
        """Keep the entry of a backend in the store; it changes when more than `seq` changes."""
        sequence, written, era = 1, None, store.state.era
        while True:
            entry = backend.entry(sequence)
            state = {**entry, "seq": 0}
            if is_away or not backend.is_running:
                await asyncio.sleep(RETRY_S)
                continue
            if state != written or era != store.state.era:
                store.put(f"servers/{backend.name}", entry)
                if state != written:
                    record(f"{backend.name} wrote {entry['state']}, born {entry['born']}")
                written, era = state, store.state.era
            sequence += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def restart(backend: s.Backend, at: float) -> None:
        """Drain a backend, end it, and start it again under its id and at its address."""
        await asyncio.sleep(at - s.now())
        backend.is_leaving = True
        await asyncio.sleep(DRAIN_S + HEARTBEAT_S + 0.3)
        backend.is_running = False
        backend.stop()
        record(f"{backend.name} ended")
        await asyncio.sleep(0.4)
        backend.is_leaving, backend.born = False, backend.born + 60_000
        await backend.start()
        backend.is_running = True
        record(f"{backend.name} runs again")

    async def query(number: int, prefix: str) -> None:
        answer = await s.ask(
            programs[number % len(programs)].front,
            f"GET {prefix}{number} HTTP/1.1\r\nHost: {s.HOST}\r\nRequest-Id: c{number:06d}\r\n"
            "Deadline-Ms: 1500\r\n\r\n",
            3.0,
        )
        status = str(answer.status) if answer else "none"
        seen = counts.setdefault(prefix, {})
        seen[status] = seen.get(status, 0) + 1

    async def ask_all(prefixes: list[str], count: int, pause_s: float) -> None:
        for number in range(count):
            await asyncio.gather(*(query(number, prefix) for prefix in prefixes))
            await asyncio.sleep(pause_s)

    try:
        for backend in [*shards, *fetchers]:
            backend.is_running, backend.born = True, 1_700_000_000_000
            await backend.start()
            tasks.append(loop.create_task(beat(backend)))
        store.put("op/config", configuration(7, has_copy=False))
        programs += [
            s.Program(f"front-{number}", "zone-a", folder, store.port, extra_fixed="56",
                      limits={"memory_mb": 300, "max_fds": 4100})
            for number in range(2)
        ]
        for program in programs:
            await program.start()
        for _ in range(200):
            if all([await each.is_ready() for each in programs]):
                break
            await asyncio.sleep(0.1)
        else:
            record("the instances did not get ready")
            return 2
        await asyncio.sleep(3.0)
        record("ready")
        await ask_all(["/blend/", "/lot/"], 10, 0.05)
        record(f"before: {counts}")
        began = s.now()
        copy = store.take_copy()
        # Both backends of the service are restarted one after the other; each serves drain_ms.
        for number, backend in enumerate(fetchers):
            tasks.append(loop.create_task(restart(backend, began + 0.2 + 0.6 * number)))
        await asyncio.sleep(COPY_AGE_S)
        if has_trouble:
            store.close()
            is_away = True
            record("the store is away")
        await asyncio.sleep(AWAY_S)
        if has_trouble:
            store.return_from_copy(copy)
            await store.start()
            is_away, returned_at = False, time.time()
            record(f"the store is back from a copy {COPY_AGE_S:.0f} s old, era {store.state.era}")
        await asyncio.sleep(2.0)
        store.put("op/config", configuration(9, has_copy=True))
        record("version 9 adds the route /copy/")
        await asyncio.sleep(CONFIG_APPLY_S + STABILITY_S + 1.0)
        counts.clear()
        await ask_all(["/blend/", "/lot/", "/copy/"], REQUESTS, 0.1)
        record(f"8 s after the version: {counts}")
        await asyncio.sleep(20.0)
        later = dict(counts)
        counts.clear()
        await ask_all(["/blend/", "/lot/", "/copy/"], 10, 0.1)
        record(f"32 s after the version: {counts}")
        for program in programs if has_trouble else ():
            for line in program.log_path.read_text(errors="replace").splitlines():
                if "event=store_returned" in line or "event=entry_outdated" in line:
                    logged_at = float(line.split("time_s=")[1].split()[0])
                    record(f"{program.name}, {logged_at - returned_at:.2f} s after the return:"
                           f"{line.partition('event=')[2]}")
    finally:
        for program in programs:
            await program.kill()
        for task in tasks:
            task.cancel()
        for backend in [*shards, *fetchers]:
            backend.stop()
        await store.stop()
    first = (later["/blend/"].get("200", 0) + later["/lot/"].get("200", 0)) / (2 * REQUESTS)
    added = later["/copy/"].get("200", 0) / REQUESTS
    record(f"served: {first:.0%} on the first routes, {added:.0%} of {REQUESTS} on the route that "
           "was added later")
    if later["/blend/"].get("200", 0) < 0.9 * REQUESTS:
        return 2
    return 1 if added < 0.25 * first else 0


if __name__ == "__main__":
    sys.exit(s.run_case(play, Path(__file__).resolve().parent))
