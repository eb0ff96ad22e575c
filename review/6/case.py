"""All processes are killed after the configuration has grown by many routes."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from samples_2 import HOST, configuration, plain_route  # noqa: E402
from standins_2 import CannotRunError, World, play  # noqa: E402

# The slowest link of a machine on the sheet, and the largest value of the store.
LINK_MBPS = 10.0
VALUE_BYTES = 1_048_576
# Shards of the largest service of the sheet.
SHARDS = 135
# Routes that the configuration grows by; a day of popravka-search has 463.
PLAIN_ROUTES = 100
GATHER_ROUTES = 355
INSTANCES = 3
CONFIG_APPLY_S = 5.0
RECOVERY_S = 15.0
RESTART_DELAY_S = 0.5


def grow(version: int, routes: list[dict], shards: list[str]) -> dict:
    many = [plain_route(f"p{n}", f"/p{n}/", "archive") for n in range(PLAIN_ROUTES)]
    gather = {"gather": shards, "top_k": 5, "lower_bound": 0.85}
    for number in range(GATHER_ROUTES):
        route = {**plain_route(f"g{number}", f"/g{number}/", ""), **gather}
        del route["service"]
        many.append(route)
    return configuration(version, [*routes, *many])


async def story(world: World, trouble: bool) -> list[str]:
    shards = [f"booking{number:03d}" for number in range(SHARDS)]
    routes = [plain_route("export", "/export/", "archive")]
    world.configure(configuration(1, routes))
    for service in ("archive", "archive", "archive", *shards):
        await world.add_server(service, len(world.servers))
    for number in range(INSTANCES):
        await world.add_instance(f"zone-{'abc'[number]}", LINK_MBPS)
    for instance in world.instances:
        await instance.wait_ready()

    async def ask(seconds: float, target: str = "/export/1") -> tuple[int, int]:
        """Ask each instance a few times a second; return how many were served, and how many."""
        served = count = 0
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            replies = await asyncio.gather(
                *(
                    world.request(each, "GET", target, {"Host": HOST, "Deadline-Ms": "2000"})
                    for each in world.instances
                )
            )
            served += sum(reply.status == 200 for _, reply in replies)
            count += len(replies)
            await asyncio.sleep(0.25)
        return served, count

    if trouble:
        value = grow(2, routes, shards)
        size = len(json.dumps(value, separators=(",", ":")))
        world.record.write(f"version 2 has {len(value['routes'])} routes and {size} bytes")
        if size > VALUE_BYTES:
            raise CannotRunError("the configuration does not fit the store")
        world.configure(value)
    await asyncio.sleep(CONFIG_APPLY_S + 3)
    if trouble:
        world.record.write(f"served on a new route: {await ask(1, '/p1/1')}")
    before = await ask(3)
    world.record.write(f"served before the end of the day: {before}")
    if trouble:
        world.record.write("all processes are killed")
        await asyncio.gather(*(each.kill() for each in world.instances))
        await asyncio.sleep(RESTART_DELAY_S)
        for instance in world.instances:
            await instance.start()
    await asyncio.sleep(RECOVERY_S)
    after = await ask(10)
    world.record.write(f"served later than {RECOVERY_S} s after the machines are back: {after}")
    if 4 * before[0] >= before[1] and 4 * after[0] < after[1]:
        return [
            f"RECOVER: {after[0]} of {after[1]} requests served later than {RECOVERY_S} s after the"
            f" machines are back, {before[0]} of {before[1]} before the final fault"
        ]
    return []


play("6", story)
