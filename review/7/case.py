"""The operator takes the last tenant, and with it the last keys, out of the configuration."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from samples_2 import HOST, configuration, plain_route  # noqa: E402
from standins_2 import World, play  # noqa: E402

KEY = "k-franchise-0001"
# No configuration ever holds it.
FOREIGN_KEY = "k-never-held-0001"
CONFIG_APPLY_S = 5.0


async def story(world: World, trouble: bool) -> list[str]:
    routes = [plain_route("lookup", "/lot/", "invoicing")]
    tenant = {"name": "franchise", "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}
    world.configure(configuration(1, routes, tenants=[tenant]))
    for number in range(3):
        await world.add_server("invoicing", number)
    instance = await world.add_instance()
    await instance.wait_ready()

    async def ask(count: int) -> dict[str | None, list[int]]:
        """Ask with each key and without one; return the statuses."""
        statuses = {}
        for key in (FOREIGN_KEY, None, KEY):
            headers = {"Host": HOST}
            if key is not None:
                headers["Authorization"] = f"Token {key}"
            replies = [
                await world.request(instance, "GET", "/lot/7", headers) for _ in range(count)
            ]
            statuses[key] = [reply.status for _, reply in replies]
        return statuses

    world.record.write(f"with version 1: {await ask(3)}")
    tenants = [] if trouble else [tenant]
    world.configure(configuration(2, routes, tenants=tenants))
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    ran_before = len(world.runs)
    world.record.write(f"with version 2: {await ask(5)}")

    problems = []
    for number, run in enumerate(world.runs):
        key = run.headers.get("authorization")
        if key is not None:
            problems.append(f"UNASKED: the key itself was passed on with {run.request_id}: {key}")
        if key == f"Token {FOREIGN_KEY}":
            problems.append(f"ROUTE: {run.request_id} ran, and no configuration ever held its key")
        elif key == f"Token {KEY}" and trouble and number >= ran_before:
            problems.append(f"CONFIG: {run.request_id} ran with a key that was dropped")
    return problems


play("7", story)
