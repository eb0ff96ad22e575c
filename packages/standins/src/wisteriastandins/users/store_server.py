"""Stand-in for the platform's store, as a server on loopback."""

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from wisteriarock.http.front import Answer, CallerRequest, Respond

from .listener import Listener
from .store import (
    StoreCopy,
    StoreState,
    apply_writes,
    changes_after,
    create_lease,
    discard_history,
    encode_row,
    end_lease,
    expire_leases,
    list_page,
    renew_lease,
    return_from_copy,
    take_copy,
    transact,
)

POLL_INTERVAL_S = 0.005


class StoreServer(Listener):
    """Store that answers calls on loopback.

    Attributes
    ----------
    state : StoreState
        Content of the store, which several servers may share.
    mode : str
        `ok`, `busy` (503 to every call), `silent` (no reply) or `lost` (calls are executed, but
        their replies are dropped).
    delay_ms : float
        Delay of each reply.
    calls : list of str
        Paths of the calls received.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, state: StoreState | None = None) -> None:
        super().__init__(loop, self._handle)
        self.state = state or StoreState()
        self.mode = "ok"
        self.delay_ms = 0.0
        self.calls: list[str] = []

    def put(self, key: str, value: Any) -> int:
        """Write a key without a lease, as the operator or an endpoint does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return apply_writes(self.state, {key: (data, 0)}, [])

    def remove(self, key: str) -> None:
        """Remove a key."""
        apply_writes(self.state, {}, [key])

    def take_copy(self) -> StoreCopy:
        """Return a copy of the store as it is now."""
        return take_copy(self.state)

    def return_from_copy(self, copy: StoreCopy, revisions_ahead: int = 0) -> None:
        """Come back from an older copy; watches that wait are cut."""
        return_from_copy(self.state, copy, revisions_ahead)
        self.cut_watches()

    def cut_watches(self) -> None:
        """Close the connections of watches that wait."""
        for connection in list(self._listener_state.connections):
            if connection.cancel_request is not None:
                connection.abort()

    def discard_history(self) -> None:
        """Discard the history of changes."""
        discard_history(self.state)

    def _handle(self, request: CallerRequest, respond: Respond) -> Callable[[], None]:
        parts = urlsplit(request.target.decode())
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.calls.append(parts.path)
        expire_leases(self.state, self.loop.time() * 1000)
        if self.mode == "silent":
            return lambda: None
        respond = _name_era(self.state, respond)
        if self.mode == "lost":
            respond = _discard_reply
        elif self.delay_ms:
            respond = self._delay_reply(respond)
        if self.mode == "busy":
            _reply(respond, 503, {})
        elif parts.path == "/api/kv-key":
            row = self.state.rows.get(query.get("key", ""))
            body = encode_row(row, store_revision=self.state.revision) if row else {}
            _reply(respond, 200 if row else 404, body)
        elif parts.path == "/api/kv-range":
            _reply(respond, 200, list_page(self.state, query["prefix"], query.get("after", "")))
        elif parts.path == "/api/kv-watch":
            return self._watch(query, respond)
        elif parts.path == "/api/kv-txn":
            _reply(respond, *transact(self.state, json.loads(request.body)))
        elif parts.path == "/api/kv-lease":
            ttl_ms = json.loads(request.body)["ttl_ms"]
            lease = create_lease(self.state, self.loop.time() * 1000, ttl_ms)
            _reply(respond, 200, {"lease": lease, "ttl_ms": ttl_ms})
        elif parts.path.startswith("/api/kv-lease-end/"):
            end_lease(self.state, int(parts.path.rpartition("/")[2]))
            _reply(respond, 200, {})
        elif parts.path.startswith("/api/kv-keep/"):
            lease = int(parts.path.rpartition("/")[2])
            is_known = renew_lease(self.state, lease, self.loop.time() * 1000)
            _reply(respond, 200 if is_known else 404, {})
        else:
            _reply(respond, 404, {})
        return lambda: None

    def _delay_reply(self, respond: Respond) -> Respond:
        def respond_later(answer: Answer) -> None:
            self.loop.call_later(self.delay_ms / 1000, respond, answer)

        return respond_later

    def _watch(self, query: dict[str, str], respond: Respond) -> Callable[[], None]:
        prefix, after = query["prefix"], int(query["after"])
        end_s = self.loop.time() + int(query["wait_ms"]) / 1000
        timer: asyncio.TimerHandle | None = None

        def poll() -> None:
            nonlocal timer
            if self.mode == "busy":
                _reply(respond, 503, {})
                return
            changes = changes_after(self.state, prefix, after)
            if changes is None:
                _reply(respond, 410, {})
            elif changes["events"] or self.loop.time() >= end_s:
                _reply(respond, 200, changes)
            else:
                timer = self.loop.call_later(POLL_INTERVAL_S, poll)

        poll()
        return lambda: timer.cancel() if timer is not None else None


def _discard_reply(answer: Answer) -> None:
    """Drop a reply."""


def _reply(respond: Respond, status: int, body: dict[str, Any]) -> None:
    respond(Answer(status, [(b"Content-Type", b"application/json")], json.dumps(body).encode()))


def _name_era(state: StoreState, respond: Respond) -> Respond:
    """Return a function that sends an answer with the era that the store is in by then."""

    def respond_with_era(answer: Answer) -> None:
        era = b"%d" % (state.era or 0)
        respond(answer._replace(headers=[*answer.headers, (b"Store-Era", era)]))

    return respond if state.era is None else respond_with_era
