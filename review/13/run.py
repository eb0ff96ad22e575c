"""Case 13: a zone that is evacuated again right after a drill of the store goes on getting work."""

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

import standins_3 as s
from wisteriastandins.users.store_server import StoreServer

# Bounds as on the sheet of Atlas Notation Commons (demands/).
SERVICE = "engraver"
EVACUATION_S, STABILITY_S = 5.0, 5.0
AWAY_S, COPY_AGE_S = 2.0, 4.0
# The operator's write is tried again every so often while the store is away.
RETRY_S = 0.01
ZONE = "zone-a"
PAUSE_S = 0.05


def configuration() -> dict:
    return {
        "version": 7,
        "routes": [
            {"name": "score-fetch", "host": s.HOST, "prefix": "/fetch/", "kind": "idempotent",
             "service": SERVICE, "timeout_ms": 4045, "latency_target_ms": 602, "priority": 2,
             "max_attempts": 2, "public": True},
        ],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 530}],
        "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "school", "api_keys": ["key-1"], "priority": 1}],
    }


async def play(folder: Path, has_trouble: bool, record: Callable[[str], None]) -> int:
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    store.state.era = 1
    await store.start()
    backends = [
        s.Backend(f"{SERVICE}.{zone}.{number}", SERVICE, zone)
        for zone in ("zone-a", "zone-b")
        for number in range(2)
    ]
    programs: list[s.Program] = []
    arrivals: list[tuple[float, str]] = []
    statuses: dict[str, int] = {}
    traffic: asyncio.Task | None = None
    returned_at = 0.0

    def arrived(zone: str) -> Callable[[s.Request, int, bool], None]:
        return lambda request, port, runs: arrivals.append((s.now(), zone))

    async def consume() -> None:
        number = 0
        while True:
            number += 1
            answer = await s.ask(
                programs[number % len(programs)].front,
                f"GET /fetch/{number} HTTP/1.1\r\nHost: {s.HOST}\r\nRequest-Id: c{number:06d}\r\n"
                "Deadline-Ms: 4000\r\n\r\n",
                5.0,
            )
            status = str(answer.status) if answer else "none"
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(PAUSE_S)

    try:
        for backend in backends:
            backend.on_arrival = arrived(backend.zone)
            await backend.start()
            store.put(f"servers/{backend.name}", backend.entry(1))
        store.put("op/config", configuration())
        limits = {"memory_mb": 552, "max_fds": 8192}
        programs += [
            s.Program(f"front-{number}", "zone-a", folder, store.port, evacuation_ms="5000",
                      limits=limits)
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
        traffic = loop.create_task(consume())
        record("ready; consumers begin")
        await asyncio.sleep(2.0)
        store.put(f"op/evacuate/{ZONE}", {})
        record(f"the store confirms the evacuation of {ZONE}")
        await asyncio.sleep(EVACUATION_S + 1.0)
        before = len([1 for at, zone in arrivals if zone == ZONE and at > s.now() - 1.0])
        store.remove(f"op/evacuate/{ZONE}")
        record(f"taken back; {before} requests reached {ZONE} in the second before")
        taken_back_at = s.now()
        await asyncio.sleep(6.0)
        copy = store.take_copy()
        await asyncio.sleep(COPY_AGE_S)
        used = len([1 for at, zone in arrivals if zone == ZONE and at > taken_back_at])
        record(f"{used} requests reached {ZONE} since then")
        if has_trouble:
            store.close()
            record("the store is away; the operator wants to evacuate the zone again")
            away_until = s.now() + AWAY_S

            async def come_back() -> None:
                nonlocal returned_at
                await asyncio.sleep(away_until - s.now())
                store.return_from_copy(copy)
                await store.start()
                returned_at = time.time()
                record(f"the store is back from a copy {COPY_AGE_S:.0f} s old, "
                       f"era {store.state.era}")

            coming_back = loop.create_task(come_back())
            while not coming_back.done():
                await asyncio.sleep(RETRY_S)
            # What the backends wrote is written again.
            for backend in backends:
                store.put(f"servers/{backend.name}", backend.entry(9))
        store.put(f"op/evacuate/{ZONE}", {})
        confirmed_at = s.now()
        record(f"the store confirms the second evacuation of {ZONE}")
        await asyncio.sleep(EVACUATION_S + STABILITY_S + 20.0)
        for program in programs if has_trouble else ():
            for line in program.log_path.read_text(errors="replace").splitlines():
                if "event=store_returned" in line or "event=evacuation_" in line:
                    logged_at = float(line.split("time_s=")[1].split()[0])
                    record(f"{program.name}, {logged_at - returned_at:.2f} s after the return:"
                           f"{line.partition('event=')[2]}")
    finally:
        if traffic is not None:
            traffic.cancel()
        for program in programs:
            await program.kill()
        for backend in backends:
            backend.stop()
        await store.stop()
    # The core was last impaired before the confirmation; all are in touch stability_window_ms later.
    bound = max(EVACUATION_S, STABILITY_S) + 0.5
    late = [at - confirmed_at for at, zone in arrivals if zone == ZONE and at > confirmed_at + bound]
    record(f"answers: {statuses}; requests that reached {ZONE} later than {bound:.1f} s after the "
           f"confirmation: {len(late)}" + (f", the last one after {late[-1]:.1f} s" if late else ""))
    if before or not used or statuses.get("200", 0) < 300:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(s.run_case(play, Path(__file__).resolve().parent))
