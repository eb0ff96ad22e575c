"""Composition root: starts an instance, handles signals and shuts down gracefully."""

import asyncio
import gc
import json
import os
import random
import signal
import time
from pathlib import Path

from wisteriarock.discovery import controller as discovery
from wisteriarock.dispatch.controller import expire_active_queries
from wisteriarock.dispatch.models import WireFormat
from wisteriarock.feed import controller as feed
from wisteriarock.observability.event_log import EventLog
from wisteriarock.store.models import StoreFormat

from . import housekeeping
from .const import (
    DRAIN_GRACE_SHARE,
    FIRST_REQUEST_WAIT_MS,
    LAST_ANSWERS_MS,
    LISTEN_AFTER_STOP_MS,
    SETTINGS_READ_ATTEMPTS,
    SETTINGS_READ_INTERVAL_MS,
)
from .early_signals import EarlySignals
from .instance import Instance
from .listeners import ListenerName, Listeners
from .readiness import Phase
from .rotation import update_readiness
from .settings import FrontSettings, SettingsError, load_settings


async def start(instance: Instance) -> Listeners:
    """Start the background tasks and listeners."""
    instance.tasks.update(discovery.start(instance.discovery))
    instance.tasks.update(feed.start(instance.feed))
    listeners = Listeners(instance)
    await listeners.open()
    instance.phase = Phase.RUNNING
    housekeeping.start(instance)
    return listeners


async def drain(instance: Instance, listeners: Listeners) -> None:
    """Shut down gracefully: fail readiness, and serve until callers disconnect or time is up.

    Requests that cannot be expected to end in time are refused; those that are still running at the
    end are answered as failed.
    """
    now_ms = instance.loop.time() * 1000
    end_ms = now_ms + instance.settings.drain_grace_ms * DRAIN_GRACE_SHARE
    listen_until_ms = min(now_ms + LISTEN_AFTER_STOP_MS, end_ms)
    instance.dispatch.stops_at_ms = end_ms
    instance.phase = Phase.DRAINING
    instance.log.record("stopping", active=len(instance.dispatch.active))
    update_readiness(instance)
    with instance.failures.contain("feed_stop"):
        await feed.stop(instance.feed)
    await asyncio.sleep(max(0.0, listen_until_ms / 1000 - instance.loop.time()))
    listeners.close(ListenerName.CALLERS)
    _close_idle_callers(instance)
    while instance.caller_listener.connections and instance.loop.time() * 1000 < end_ms:
        await asyncio.sleep(0.02)
        _close_idle_callers(instance)
    expired = expire_active_queries(instance.dispatch)
    # Lets the event loop send the last answers.
    await asyncio.sleep(LAST_ANSWERS_MS / 1000 if expired else 0.0)
    instance.log.record("stopped", expired=expired, cut=len(instance.dispatch.active))
    instance.log.flush()


def _close_idle_callers(instance: Instance) -> None:
    """Close idle connections, except new ones, whose first request may be on its way."""
    idle_since_ms = instance.loop.time() * 1000 - FIRST_REQUEST_WAIT_MS
    for connection in list(instance.caller_listener.connections):
        if connection.is_idle() and connection.wait_started_at_ms <= idle_since_ms:
            connection.close()


async def _run(
    path: Path,
    settings: FrontSettings,
    wire_format: WireFormat,
    store_format: StoreFormat,
    early_signals: EarlySignals,
) -> None:
    loop = asyncio.get_running_loop()
    log = EventLog(1, loop.time, instance=settings.instance)
    instance = Instance(loop, settings, wire_format, store_format, log, random.Random())
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, path)
    if early_signals.is_reload_requested:
        _reload(instance, path)
    loop.set_exception_handler(instance.failures.handle_loop_error)
    log.record("started", pid=os.getpid(), zone=settings.zone)
    listeners = await start(instance)
    gc.collect()
    gc.freeze()
    await stop.wait()
    await drain(instance, listeners)
    _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals until the process has ended; closing the loop would restore the defaults."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _reload(instance: Instance, path: Path, attempts: int = SETTINGS_READ_ATTEMPTS) -> None:
    """Reload the settings; listeners and clients that are already running keep their addresses."""
    result = load_settings(path)
    if isinstance(result, SettingsError):
        instance.log.record("reload_failed", path=result.path, found=result.found)
        if result.is_unreadable and attempts > 1:
            delay_s = SETTINGS_READ_INTERVAL_MS / 1000
            instance.loop.call_later(delay_s, _reload, instance, path, attempts - 1)
        return
    instance.settings = result
    instance.log.record("reloaded", path=path)


def check_settings_file(path: Path) -> str | None:
    """Return the error in a settings file as text, or None if the file is valid."""
    result = load_settings(path)
    if isinstance(result, SettingsError):
        return f"{path}: {result.path}: found {result.found}; allowed: {result.allowed}"
    return None


def _read_settings_at_start(path: Path) -> FrontSettings | SettingsError:
    """Read the settings; wait for a file that is missing, or that is just being written."""
    for _ in range(SETTINGS_READ_ATTEMPTS):
        settings = load_settings(path)
        if not isinstance(settings, SettingsError) or not settings.is_unreadable:
            return settings
        time.sleep(SETTINGS_READ_INTERVAL_MS / 1000)
    return load_settings(path)


def run(
    path: Path, wire_format: WireFormat, store_format: StoreFormat, early_signals: EarlySignals
) -> int:
    """Run an instance until SIGTERM; return the exit code."""
    settings = _read_settings_at_start(path)
    if isinstance(settings, SettingsError):
        print(json.dumps({"event": "bad_settings", **settings._asdict()}))
        return 2
    asyncio.run(_run(path, settings, wire_format, store_format, early_signals))
    return 0
