"""Composition root: starts an instance, reacts to signals, and stops without cutting requests."""

import asyncio
import gc
import json
import os
import random
import signal
from pathlib import Path

from wisteriarock.discovery import controller as discovery
from wisteriarock.dispatch.models import WireFormat
from wisteriarock.feed import controller as feed
from wisteriarock.http.front import CallerConnection, FrontState
from wisteriarock.observability.event_log import EventLog
from wisteriarock.store.models import StoreFormat

from . import housekeeping
from .const import LISTEN_AFTER_STOP_MS, STOP_SHARE
from .instance import Instance, update_ready
from .readiness import Phase
from .settings import Address, FrontSettings, SettingsError, load_settings


async def _listen(
    loop: asyncio.AbstractEventLoop, front: FrontState, address: Address
) -> asyncio.Server:
    return await loop.create_server(lambda: CallerConnection(front), *address, backlog=1024)


async def start(instance: Instance) -> list[asyncio.Server]:
    """Start following the store and listening; return the servers, the callers' one first."""
    for task in [*discovery.start(instance.discovery), *feed.start(instance.feed)]:
        instance.tasks.add(task)
        task.add_done_callback(lambda done: _on_task_end(instance, done))
    loop, settings = instance.loop, instance.settings
    servers = [
        await _listen(loop, instance.front, settings.front),
        await _listen(loop, instance.ready_front, settings.ready),
        await _listen(loop, instance.peer_front, settings.peer),
    ]
    if settings.metrics is not None:
        servers.append(await _listen(loop, instance.metrics_front, settings.metrics))
    instance.phase = Phase.RUNNING
    housekeeping.start(instance)
    return servers


def _on_task_end(instance: Instance, task: "asyncio.Task[None]") -> None:
    """Stop the process when a part that should run for its whole life has failed."""
    if task.cancelled() or task.exception() is None:
        return
    instance.log.record("task_ended", task=task.get_name(), error=repr(task.exception()))
    instance.log.flush()
    os._exit(70)


async def drain(instance: Instance, servers: list[asyncio.Server]) -> None:
    """Stop without cutting a request: leave the rotation, serve what still comes, then end."""
    end_ms = instance.loop.time() * 1000 + instance.settings.drain_grace_ms * STOP_SHARE
    instance.phase = Phase.DRAINING
    instance.log.record("stopping", active=len(instance.dispatch.active))
    update_ready(instance)
    await feed.stop(instance.feed)
    await asyncio.sleep(LISTEN_AFTER_STOP_MS / 1000)
    servers[0].close()
    _close_idle(instance)
    while instance.front.connections and instance.loop.time() * 1000 < end_ms:
        await asyncio.sleep(0.02)
        _close_idle(instance)
    instance.log.record("stopped", cut=len(instance.dispatch.active))
    instance.log.flush()


def _close_idle(instance: Instance) -> None:
    for connection in list(instance.front.connections):
        if connection.is_idle():
            connection.close()


async def _run(
    path: Path, settings: FrontSettings, wire: WireFormat, store_format: StoreFormat
) -> None:
    loop = asyncio.get_running_loop()
    log = EventLog(1, loop.time, instance=settings.instance)
    instance = Instance(loop, settings, wire, store_format, log, random.Random())
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, path)
    log.record("started", pid=os.getpid(), zone=settings.zone)
    servers = await start(instance)
    gc.collect()
    gc.freeze()
    await stop.wait()
    await drain(instance, servers)


def _reload(instance: Instance, path: Path) -> None:
    """Take over settings that may change at run time; the addresses stay as they are."""
    loaded = load_settings(path)
    if isinstance(loaded, SettingsError):
        instance.log.record("reload_failed", path=loaded.path, found=loaded.found)
        return
    instance.settings = loaded
    instance.log.record("reloaded", path=path)


def check(path: Path) -> str | None:
    """Return what is wrong with a settings file, or None."""
    loaded = load_settings(path)
    if isinstance(loaded, SettingsError):
        return f"{path}: {loaded.path}: found {loaded.found}; allowed: {loaded.allowed}"
    return None


def run(path: Path, wire: WireFormat, store_format: StoreFormat) -> int:
    """Run an instance until SIGTERM; return the exit code."""
    settings = load_settings(path)
    if isinstance(settings, SettingsError):
        print(json.dumps({"event": "bad_settings", **settings._asdict()}))
        return 2
    asyncio.run(_run(path, settings, wire, store_format))
    return 0
