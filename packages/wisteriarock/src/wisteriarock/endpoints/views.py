"""Publishes the views of the held endpoints on the blackboard."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wisteriarock.blackboard.models import Blackboard

from .const import LOAD_VIEW_INTERVAL_MS
from .held import HeldEndpoint, build_view
from .queue import count_waiting


class ViewPublisher(NamedTuple):
    """Closures that write `held_views` and `held_sequence`.

    Attributes
    ----------
    publish : callable
        Writes the view of an endpoint with a new version.
    schedule_load_update : callable
        Called after the number of running or waiting legs may have changed; such changes are
        written in batches.
    withdraw : callable
        Removes the view of an endpoint that this instance has released.
    stop : callable
        Cancels the pending batch of load changes.
    """

    publish: Callable[[HeldEndpoint], None]
    schedule_load_update: Callable[[HeldEndpoint], None]
    withdraw: Callable[[str], None]
    stop: Callable[[], None]


def create_view_publisher(
    board: Blackboard, now_ms: Callable[[], float], on_views_changed: Callable[[], None]
) -> ViewPublisher:
    """Create the closures that publish views.

    Parameters
    ----------
    board : Blackboard
        `held_views` and `held_sequence` are written.
    now_ms : callable
        Monotonic clock.
    on_views_changed : callable
        Called after a batch of load changes was written. Callers of `publish` and `withdraw` call
        it themselves.
    """
    pending: dict[str, HeldEndpoint] = {}
    timer: asyncio.TimerHandle | None = None
    last_flush_at_ms = float("-inf")

    def publish(held: HeldEndpoint) -> None:
        board.held_sequence += 1
        holder = board.settings.instance
        board.held_views[held.name] = build_view(held, holder, board.held_sequence)

    def withdraw(name: str) -> None:
        pending.pop(name, None)
        board.held_views.pop(name, None)
        board.held_sequence += 1

    def load_differs(held: HeldEndpoint) -> bool:
        view = board.held_views.get(held.name)
        if view is None:
            return False
        return view["busy"] != len(held.queue.running) or view["queued"] != count_waiting(
            held.queue
        )

    def schedule_load_update(held: HeldEndpoint) -> None:
        nonlocal timer
        if not load_differs(held):
            return
        pending[held.name] = held
        if timer is None:
            delay_ms = max(0.0, last_flush_at_ms + LOAD_VIEW_INTERVAL_MS - now_ms())
            timer = asyncio.get_running_loop().call_later(delay_ms / 1000, flush)

    def flush() -> None:
        nonlocal timer, last_flush_at_ms
        timer = None
        last_flush_at_ms = now_ms()
        published = False
        for held in pending.values():
            if load_differs(held):
                publish(held)
                published = True
        pending.clear()
        if published:
            on_views_changed()

    def stop() -> None:
        if timer is not None:
            timer.cancel()

    return ViewPublisher(publish, schedule_load_update, withdraw, stop)
