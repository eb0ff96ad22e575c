"""HTTP connections of the load tool: one aiosonic client for each connection."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from wisteriarock.wire.connection import BoundedConnection

from .models import SendError

# Shorter than uvicorn's keep-alive of 5 s, so that no request uses a connection that the server
# is closing.
_MAX_IDLE_MS = 2_000


def create_client() -> aiosonic.HTTPClient:
    """Return a client with a single connection and no timeouts; the caller sets them."""
    # With a timeout, aiosonic uses asyncio.wait_for, which before Python 3.12 loses a cancellation
    # that arrives just as the connection opens. The task then never ends.
    timeouts = Timeouts(sock_connect=None, sock_read=None, request_timeout=None)
    pool = PoolConfig(size=1, max_conn_requests=None, max_conn_idle_ms=_MAX_IDLE_MS)
    return aiosonic.HTTPClient(
        aiosonic.TCPConnector(
            {":default": pool}, timeouts=timeouts, connection_cls=BoundedConnection
        )
    )


@dataclass
class Connections:
    """Idle clients by base URL, most recently used last, and the number of clients created."""

    create: Callable[[], aiosonic.HTTPClient] = create_client
    idle: dict[str, deque[aiosonic.HTTPClient]] = field(default_factory=lambda: defaultdict(deque))
    created_count: int = 0


async def post_json(
    connections: Connections,
    base_url: str,
    path: str,
    credential: str,
    body: bytes,
    timeout_s: float,
) -> tuple[int, bytes] | SendError:
    """Post a JSON body and read the whole reply.

    A client is closed if its reply was not read completely: aiosonic would return the late reply to
    the next request on that connection.

    Returns
    -------
    tuple or SendError
        Status and body, or the reason for having none. With `NO_CONNECTION` nothing was sent.
    """
    idle = connections.idle[base_url]
    if idle:
        client = idle.pop()
    else:
        client = connections.create()
        connections.created_count += 1
    headers = {"authorization": f"Bearer {credential}", "content-type": "application/json"}
    reply_complete = False
    try:
        async with asyncio.timeout(timeout_s):
            response = await client.post(base_url + path, data=body, headers=headers)
            content = await response.content()
        reply_complete = True
        return response.status_code, content
    except ConnectionRefusedError:
        return SendError.NO_CONNECTION
    except TimeoutError:
        return SendError.TIMEOUT
    except (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError):
        return SendError.CONNECTION_LOST
    finally:
        if reply_complete:
            idle.append(client)
        else:
            await client.aclose()


async def close_idle_connections(connections: Connections) -> None:
    """Close the idle connections."""
    for idle in connections.idle.values():
        while idle:
            await idle.pop().aclose()
