"""A server fails part of its requests with 503 after it has run them, without `Not-Executed`."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from samples_2 import HOST, configuration, plain_route  # noqa: E402
from standins_2 import Run, Server, World, encode, play  # noqa: E402

# Share of the requests that the server fails, as in the site file's `srv_grey` (x = 0.45).
FAILED_SHARE = 0.45
CLIENTS = 6
REQUESTS = 60
NOT_RUN_STATUSES = (408, 421, 429, 503)


def fail_part(server: Server) -> None:
    count = 0

    async def answer(run: Run) -> bytes | None:
        nonlocal count
        count += 1
        if int(count * FAILED_SHARE) == int((count - 1) * FAILED_SHARE):
            return await server.answer_well(run)
        server.world.record.write(f"{server.id} fails {run.request_id} with 503 after its work")
        headers = {"Request-Id": run.request_id, "Server-Stamp": server.stamp(run)}
        return encode(503, headers, b"ledger is locked")

    server.answer = answer


async def story(world: World, trouble: bool) -> list[str]:
    route = plain_route(
        "book", "/book/", "invoicing", kind="non_idempotent", max_attempts=1, timeout_ms=6000
    )
    world.configure(configuration(1, [route]))
    servers = [await world.add_server("invoicing", number) for number in range(3)]
    instance = await world.add_instance()
    await instance.wait_ready()
    if trouble:
        fail_part(servers[0])

    answers = {}

    async def client(number: int) -> None:
        for _ in range(REQUESTS):
            headers = {"Host": HOST}
            request_id, reply = await world.request(
                instance, "POST", f"/book/{number}", headers, b"lot"
            )
            answers[request_id] = reply.status
            await asyncio.sleep(0.05)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    await asyncio.sleep(1)
    ran = {run.request_id for run in world.runs}
    return [
        f"REFUSED: {request_id} was answered {status} and has run"
        for request_id, status in answers.items()
        if status in NOT_RUN_STATUSES and request_id in ran
    ]


play("9", story)
