"""Requests to listeners of instances."""

import asyncio
from collections.abc import Mapping

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success
from wisteriarock.platform.client import EXCHANGE_ERRORS
from wisteriarock.wire.connection import BoundedConnection

from .const import MAX_REPLY_BYTES


async def fetch(
    host: str,
    port: int,
    target: str,
    headers: Mapping[str, str],
    timeout_s: float,
    *,
    reads_errors: bool = False,
) -> Result[tuple[int, bytes], str]:
    """Return the status and the body of a reply, or the error; it contains no header.

    The body of a reply with another status than 200 is only read with `reads_errors`.
    """
    url_host = f"[{host}]" if ":" in host else host
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=1)},
        timeouts=Timeouts(sock_connect=timeout_s, sock_read=None, request_timeout=None),
        connection_cls=BoundedConnection,
    )
    client = HTTPClient(connector=connector)
    url = f"http://{url_host}:{port}{target}"
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async with client.stream("GET", url, headers=dict(headers)) as response:
                if response.status_code != 200 and not reads_errors:
                    return Success((response.status_code, b""))
                async for chunk in response.iter_bytes():
                    body += chunk
                    if len(body) > MAX_REPLY_BYTES:
                        return Failure("reply too large")
                return Success((response.status_code, bytes(body)))
    except EXCHANGE_ERRORS as error:
        return Failure(type(error).__name__)
    finally:
        await client.aclose()
