"""Fake entry instance that answers queries correctly, with a hook to modify the answers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse
from starlette.routing import Route
from wisteriastandins.topology.models import LoadPlan

SNAPSHOT = 4

AnswerChange = Callable[[dict[str, Any]], dict[str, Any]]


def partition_rows(
    shard: str, part: int, parts: int, snapshot: int, lots_per_shard: int, params: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return rows in the same form as `wisteriastandins.data.partition_rows`."""
    names = [f"{shard}-{index:04d}" for index in range(part, lots_per_shard, parts)]
    wanted_lot = params.get("lot")
    return [
        {"lot": name, "shard": shard, "snapshot": snapshot}
        for name in names
        if wanted_lot is None or name == wanted_lot
    ]


def make_answer(
    request_id: str, shards: list[str], lots_per_shard: int, params: dict[str, Any]
) -> dict[str, Any]:
    """Return the correct answer to a query."""
    rows = [
        row for s in shards for row in partition_rows(s, 0, 1, SNAPSHOT, lots_per_shard, params)
    ]
    return {
        "request_id": request_id,
        "outcome": "complete",
        "snapshot": SNAPSHOT,
        "coverage": {"answered": shards, "missing": []},
        "rows": rows,
        "stats": {
            "legs": len(shards) + 1,
            "hedges": 1,
            "retries": 0,
            "cross_zone_legs": 2,
            "elapsed_ms": 1.0,
        },
        "bundle_revision": 1,
        "error": None,
        "retry_after_ms": None,
    }


def make_entry_app(
    lots_per_shard: int, executed: Counter[str], tickets: Counter[str], change: AnswerChange
) -> Starlette:
    """Return an entry instance that uses no endpoints; `change` may modify its answers."""

    async def query(request: Request) -> JSONResponse:
        body = await request.json()
        if not body["repeatable"]:
            tickets[body["ticket"]] += 1
        executed[body["request_id"]] += 1
        answer = make_answer(body["request_id"], body["shards"], lots_per_shard, body["params"])
        return JSONResponse(change(answer))

    async def issue(request: Request) -> JSONResponse:
        count = (await request.json())["count"]
        first = len(tickets)
        names = [f"ticket-{first + index}" for index in range(count)]
        tickets.update(dict.fromkeys(names, 0))
        return JSONResponse({"tickets": names, "expires_in_ms": 60_000})

    async def ready(_: Request) -> PlainTextResponse:
        return PlainTextResponse("ready")

    async def record(_: Request) -> JSONResponse:
        return JSONResponse({"endpoints": {"e": {"counters": {}, "executed": dict(executed)}}})

    return Starlette(
        routes=[
            Route("/v1/query", query, methods=["POST"]),
            Route("/v1/tickets", issue, methods=["POST"]),
            Route("/readyz", ready),
            Route("/record", record),
        ]
    )


@asynccontextmanager
async def serve_app(app: Starlette) -> AsyncIterator[int]:
    """Serve an application on a free loopback port and yield the port."""
    config = uvicorn.Config(app, host="127.0.0.1", port=0, log_level="error", lifespan="off")
    server = uvicorn.Server(config)
    config.load()
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    server_task = asyncio.create_task(server.main_loop())
    try:
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        server.should_exit = True
        await server_task
        await server.shutdown()


def replace_ports(plan: LoadPlan, ports: list[int]) -> LoadPlan:
    """Return a plan with entry instances at `ports` and the record at the first port."""
    entries = [
        {**entry, "public_port": port} for entry, port in zip(plan["entries"], ports, strict=False)
    ]
    controls = [f"http://127.0.0.1:{ports[0]}"]
    return {**plan, "entries": entries, "endpoint_controls": controls, "client_delay_ms": 0.0}  # type: ignore[typeddict-item]
