"""HTTP servers of an entry instance."""

import asyncio
import socket
from collections.abc import Generator
from contextlib import contextmanager
from typing import Any

import uvicorn

from wisteriarock.settings.models import TlsSetting

LISTEN_BACKLOG = 2_048
ACCEPT_BATCH = 16
# Longer than the time for which callers and peers keep idle connections, so that the server never
# closes a connection on which a request has already been sent.
KEEP_ALIVE_TIMEOUT_S = 120


class Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the process handles signals for both servers."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen with a long queue, and accept few connections at once.

        asyncio uses one number for both, and connections above a limit are closed only afterwards.
        """
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(LISTEN_BACKLOG)

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket, or raise `OSError` if the address is in use."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def create_server(
    app: Any,
    tls: TlsSetting | None,
    grace_s: float,
    protocol: type[asyncio.Protocol] | None = None,
) -> Server:
    """Return a server for an ASGI application.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    tls : TlsSetting or None
        Certificate and key; None for plain HTTP.
    grace_s : float
        Maximum time to wait for running requests on shutdown, in seconds.
    protocol : type or None
        HTTP protocol of the connections; None for that of uvicorn.
    """
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=protocol or "httptools",
        backlog=ACCEPT_BATCH,
        ws="none",
        lifespan="off",
        access_log=False,
        proxy_headers=False,
        log_config=None,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=max(1, round(grace_s)),
        ssl_certfile=tls["certificate_path"] if tls else None,
        ssl_keyfile=tls["key_path"] if tls else None,
    )
    return Server(config)
