"""An entry of another writer ends every instance, again after each restart."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    Arrival,
    Backend,
    Consumer,
    Instance,
    Record,
    Store,
    configuration,
    encode_response,
    route,
    run_case,
    stamp,
    start_instances,
    status_of,
    wait_until,
)

# Entries of another writer: bytes that cannot be read, as their brackets are never closed, and a
# service that is not named anywhere, whose name was cut in the middle of a character.
OTHER_ENTRIES = {
    "unreadable": b"[" * 4000,
    "unnamed-service": (
        b'{"service":"mill \\ud83d","address":"127.0.0.1:9","zone":"pnw-a","version":"v1",'
        b'"concurrency":2,"state":"ready","cold_left_ms":0,"seq":1}'
    ),
}
WATCHED_S = 10.0


async def answer(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Answer a request that a back end has got."""
    arrival.backend.record.write(f"ran {arrival.request_id} at {arrival.backend.backend_id}")
    await asyncio.sleep(0.01)
    headers = {"Request-Id": arrival.request_id, "Server-Stamp": stamp(arrival)}
    writer.write(encode_response(200, headers, b"lot"))


async def case(folder: Path, record: Record, with_trouble: bool, started: list[Instance]) -> bool:
    """Play the case and return whether its rule was broken."""
    store = Store()
    await store.start()
    backends = [
        Backend(store, record, f"i-{number}", "invoicing", "pnw-a", answer) for number in (1, 2)
    ]
    for backend in backends:
        await backend.start()
    routes = [route("r-1", "/lot/", "idempotent", service="invoicing")]
    await store.put("op/config", configuration(7, routes, {"invoicing": 110}))
    started += await start_instances(folder, record, store, ["pnw-a", "pnw-a", "pnw-b"])
    await asyncio.sleep(3.0)
    served_before = 0
    for number, instance in enumerate(started):
        consumer = Consumer(record, instance.front)
        served_before += (
            status_of(await consumer.send("GET", "/lot/a", f"before-{number}", 6000)) == 200
        )
        consumer.close()
    if served_before < len(started):
        raise RuntimeError("not served before the disruption")
    is_broken = False
    for name, entry in OTHER_ENTRIES.items():
        key = f"servers/i-{name}"
        ends_before = [len(instance.ends) for instance in started]
        if with_trouble:
            record.write(f"another writer puts {key}: {len(entry)} bytes, {entry[:60]!r}")
            await store.put(key, entry)
        served = sent = 0
        end_s = record.now_s() + WATCHED_S
        while record.now_s() < end_s:
            consumer = Consumer(record, started[sent % len(started)].front)
            reply = await consumer.send("GET", "/lot/a", f"{name}-{sent}", 2000)
            served += status_of(reply) == 200
            sent += 1
            consumer.close()
            await asyncio.sleep(0.25)
        ends = [
            len(instance.ends) - before
            for instance, before in zip(started, ends_before, strict=True)
        ]
        summary = f"{name}: {served} of {sent} served; processes ended by themselves: {ends}"
        record.write(summary)
        print(summary)
        is_broken = is_broken or sum(count >= 3 for count in ends) >= 2
        if with_trouble:
            record.write(f"the operator removes {key}")
            await store.remove(key)
            for instance in started:
                await wait_until(instance.is_ready, 20.0)
    for instance in started:
        errors = {line.partition("error=")[2] for line in instance.log_lines("task_ended")}
        for error in sorted(errors):
            record.write(f"log of {instance.name}: {error[:200]}")
    return is_broken


if __name__ == "__main__":
    # TROUBLE=0 runs the case without its disruption.
    run_case(
        case,
        record_path=Path(__file__).resolve().with_name("record.txt"),
        with_trouble=os.environ.get("TROUBLE", "1") != "0",
    )
