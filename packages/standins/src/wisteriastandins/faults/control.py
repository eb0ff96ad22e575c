"""Send changes to the control listeners of the stand-ins."""

import asyncio
from typing import Any

import msgspec

from wisteriastandins.load.client import Connections, close_idle_connections, post_json
from wisteriastandins.load.models import SendError
from wisteriastandins.topology.models import LoadPlan

_TIMEOUT_S = 5.0


async def _post(url: str, change: dict[str, Any]) -> str | None:
    connections = Connections()
    response = await post_json(
        connections, url, "/control", "", msgspec.json.encode(change), _TIMEOUT_S
    )
    await close_idle_connections(connections)
    if isinstance(response, SendError):
        return f"{url}: {response.value}"
    status, body = response
    return None if status == 200 else f"{url}: status {status} {body.decode(errors='replace')}"


async def _post_all(urls: list[str], change: dict[str, Any]) -> str | None:
    errors = await asyncio.gather(*(_post(url, change) for url in urls))
    return next((error for error in errors if error), None)


async def change_endpoints(plan: LoadPlan, match: str, change: dict[str, Any]) -> str | None:
    """Change the endpoints whose names match a shell-style pattern, in all zones concurrently.

    Returns
    -------
    str or None
        Error message if a stand-in rejected the change, or None.
    """
    body = {"match": match, "set": change}
    return await _post_all(plan["endpoint_controls"], body)


async def change_links(plan: LoadPlan, match: str, action: dict[str, Any]) -> str | None:
    """Change the links whose names, `<from zone>/<to zone>/<entry instance>`, match a pattern.

    Returns
    -------
    str or None
        Error message if a stand-in rejected the change, or None.
    """
    body = {"match": match, **action}
    return await _post_all(plan["relay_controls"], body)


async def change_platform(plan: LoadPlan, change: dict[str, Any]) -> str | None:
    """Change the platform, for example `{"outage": "error"}`.

    Returns
    -------
    str or None
        Error message if a stand-in rejected the change, or None.
    """
    return await _post(plan["platform_control"], change)
