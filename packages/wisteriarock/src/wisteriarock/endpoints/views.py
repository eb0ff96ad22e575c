"""Keeps the views of the held endpoints on the blackboard."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wisteriarock.blackboard.models import Blackboard

from .const import LOAD_VIEW_INTERVAL_MS
from .held import HeldEndpoint, view_of
from .queue import queued


class Views(NamedTuple):
    """Closures that write `held_views` and `held_sequence`.

    Attributes
    ----------
    publish : callable
        Writes the view of an endpoint with a new version.
    load_changed : callable
        Notes that legs started, ended or wait; such changes are written together.
    withdraw : callable
        Removes the view of an endpoint that is no longer used from here.
    stop : callable
        Writes no more changes of load.
    """

    publish: Callable[[HeldEndpoint], None]
    load_changed: Callable[[HeldEndpoint], None]
    withdraw: Callable[[str], None]
    stop: Callable[[], None]


def create_views(
    board: Blackboard, now_ms: Callable[[], float], on_views_changed: Callable[[], None]
) -> Views:
    """Return the closures that keep the views.

    Parameters
    ----------
    board : Blackboard
        `held_views` and `held_sequence` are written.
    now_ms : callable
        Monotonic clock.
    on_views_changed : callable
        Called after changes of load were written; callers of `publish` and `withdraw` call it
        themselves.
    """
    changed: dict[str, HeldEndpoint] = {}
    timer: asyncio.TimerHandle | None = None
    last_flush_ms = float("-inf")

    def publish(held: HeldEndpoint) -> None:
        board.held_sequence += 1
        holder = board.settings.instance
        board.held_views[held.name] = view_of(held, holder, board.held_sequence)

    def withdraw(name: str) -> None:
        changed.pop(name, None)
        board.held_views.pop(name, None)
        board.held_sequence += 1

    def differs(held: HeldEndpoint) -> bool:
        view = board.held_views.get(held.name)
        if view is None:
            return False
        return view["busy"] != len(held.queue.running) or view["queued"] != queued(held.queue)

    def load_changed(held: HeldEndpoint) -> None:
        nonlocal timer
        if not differs(held):
            return
        changed[held.name] = held
        if timer is None:
            delay_ms = max(0.0, last_flush_ms + LOAD_VIEW_INTERVAL_MS - now_ms())
            timer = asyncio.get_running_loop().call_later(delay_ms / 1000, flush)

    def flush() -> None:
        nonlocal timer, last_flush_ms
        timer = None
        last_flush_ms = now_ms()
        written = False
        for held in changed.values():
            if differs(held):
                publish(held)
                written = True
        changed.clear()
        if written:
            on_views_changed()

    def stop() -> None:
        if timer is not None:
            timer.cancel()

    return Views(publish, load_changed, withdraw, stop)
