"""Carry out the steps of a command on the platform until it is settled."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success
from wisteriarock.bundle.const import ENVELOPE_KEY_PREFIX, HEAD_KEY
from wisteriarock.bundle.models import Envelope, Head
from wisteriarock.bundle.signing import envelope_digest
from wisteriarock.codec.decode import decode
from wisteriarock.platform.client import PlatformClient
from wisteriarock.platform.models import KeyValue, PlatformError

from .const import (
    HISTORY_PROGRESS,
    MAX_HISTORY,
    MAX_REPLY_BYTES,
    MAX_STEPS,
    POLL_INTERVAL_S,
    ExitCode,
)
from .flow import proposal_key, read_envelope
from .models import Finish, NeedAncestor, NeedValues, Outcome, Step, View, Write

Decide = Callable[[View, Envelope | None], Step]


class Engine(NamedTuple):
    """What a command needs to reach the platform; `report` prints progress."""

    platform: PlatformClient
    now_ms: Callable[[], float]
    deadline_ms: float
    report: Callable[[str], None]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


async def read_key(engine: Engine, key: str) -> Result[KeyValue | None, Outcome]:
    """Read a key, again until the deadline while the platform does not answer.

    Returns
    -------
    Result
        The value, None for an absent key, or an outcome with exit code 5.
    """
    reported = False
    while True:
        found = await engine.platform.get(key)
        if isinstance(found, Success):
            return Success(found.unwrap())
        error = found.failure()
        if error is PlatformError.NOT_FOUND:
            return Success(None)
        if engine.now_ms() >= engine.deadline_ms:
            message = f"the platform does not answer ({error.value})"
            return Failure(Outcome(ExitCode.UNREACHABLE, message))
        if not reported:
            engine.report(f"waiting for the platform ({error.value})")
            reported = True
        await engine.sleep(POLL_INTERVAL_S)


def _malformed(key: str) -> Failure[Outcome]:
    return Failure(Outcome(ExitCode.REFUSED, f"the platform's value of {key} is malformed"))


async def read_signed(engine: Engine, digest: str) -> Result[Envelope, Outcome]:
    """Read the envelope of a digest."""
    key = ENVELOPE_KEY_PREFIX + digest
    found = await read_key(engine, key)
    if not isinstance(found, Success):
        return Failure(found.failure())
    envelope = read_envelope(found.unwrap())
    if envelope is None or envelope_digest(envelope) != digest:
        return _malformed(key)
    return Success(envelope)


async def read_view(engine: Engine, operators: Mapping[str, str]) -> Result[View, Outcome]:
    """Read the head, its envelope and the proposals on top of it."""
    found = await read_key(engine, HEAD_KEY)
    if not isinstance(found, Success):
        return Failure(found.failure())
    stored = found.unwrap()
    head: Head | None = None
    envelope: Envelope | None = None
    if stored is not None:
        decoded = decode(stored.value.encode(), Head, MAX_REPLY_BYTES)
        if not isinstance(decoded, Success):
            return _malformed(HEAD_KEY)
        head = decoded.unwrap()
        signed = await read_signed(engine, head["digest"])
        if not isinstance(signed, Success):
            return Failure(signed.failure())
        envelope = signed.unwrap()
    proposals: dict[str, KeyValue] = {}
    for operator in sorted(operators):
        key = proposal_key((head["revision"] if head else 0) + 1, operator)
        proposal = await read_key(engine, key)
        if not isinstance(proposal, Success):
            return Failure(proposal.failure())
        if (value := proposal.unwrap()) is not None:
            proposals[operator] = value
    key_revision = stored.revision if stored else 0
    return Success(View(head, key_revision, envelope, proposals, {}))


async def read_ancestor(engine: Engine, view: View, revision: int) -> Result[Envelope, Outcome]:
    """Walk the chain of envelopes from the head back to a revision.

    Returns
    -------
    Result
        The envelope, or an outcome: no such revision, a malformed chain, or unreachable.
    """
    envelope = view.head_envelope
    steps = 0
    while envelope is not None and envelope["revision"] > revision and steps < MAX_HISTORY:
        if not envelope["previous_digest"]:
            break
        older = await read_signed(engine, envelope["previous_digest"])
        if not isinstance(older, Success):
            return older
        envelope = older.unwrap()
        steps += 1
        if steps % HISTORY_PROGRESS == 0:
            engine.report(f"reading the history, now at revision {envelope['revision']}")
    if envelope is None or envelope["revision"] != revision:
        message = f"the history has no revision {revision}"
        return Failure(Outcome(ExitCode.INPUT, message, {"revision": revision}))
    return Success(envelope)


async def run_steps(engine: Engine, operators: Mapping[str, str], decide: Decide) -> Outcome:
    """Read, decide and write until the command is settled.

    Parameters
    ----------
    engine : Engine
        Platform, deadline and progress.
    operators : Mapping
        Operators whose proposals are read.
    decide : callable
        Takes a view and the pinned envelope, returns the next step.

    Returns
    -------
    Outcome
        That of the last step. When a write was sent and its effect could not be read back before
        the deadline, the exit code is 4.
    """
    pin: Envelope | None = None
    unsettled: str | None = None
    last_error: PlatformError | None = None
    for _ in range(MAX_STEPS):
        read = await read_view(engine, operators)
        if not isinstance(read, Success):
            return _end(read.failure(), unsettled)
        settled = await _decide_with_reads(engine, read.unwrap(), pin, decide)
        if isinstance(settled, Outcome):
            return _end(settled, unsettled)
        if last_error is not None and engine.now_ms() >= engine.deadline_ms:
            message = f"the platform does not answer ({last_error.value})"
            return _end(Outcome(ExitCode.UNREACHABLE, message), unsettled)
        pin = settled.pin
        engine.report(settled.note)
        written = await engine.platform.put(
            settled.key, settled.value, settled.expected_revision, None
        )
        if isinstance(written, Success):
            unsettled = last_error = None
            continue
        error = written.failure()
        if error is PlatformError.CONFLICT:
            continue
        # The same compare-and-swap may be sent again after the read: if the first one takes effect
        # late, the second one loses, and the read after it shows the first one's result.
        engine.report(f"{settled.note}: no answer ({error.value}), reading back")
        if error is PlatformError.UNKNOWN:
            unsettled = settled.note
        last_error = error
        await engine.sleep(POLL_INTERVAL_S)
    return Outcome(ExitCode.NOT_YET_KNOWN, f"not yet known: not settled after {MAX_STEPS} steps")


def _end(outcome: Outcome, unsettled: str | None) -> Outcome:
    """Turn "unreachable" into "not yet known" when a write may have taken effect."""
    if outcome.code is ExitCode.UNREACHABLE and unsettled:
        message = f"not yet known: {unsettled}: {outcome.message}; repeat the command to settle it"
        return Outcome(ExitCode.NOT_YET_KNOWN, message, outcome.data)
    return outcome


async def _decide_with_reads(
    engine: Engine, view: View, pin: Envelope | None, decide: Decide
) -> Write | Outcome:
    """Decide on a view, reading what the decision asks for in addition."""
    while True:
        step = decide(view, pin)
        if isinstance(step, Finish):
            return step.outcome
        if isinstance(step, Write):
            return step
        if isinstance(step, NeedAncestor):
            ancestor = await read_ancestor(engine, view, step.revision)
            if not isinstance(ancestor, Success):
                return ancestor.failure()
            view = view._replace(ancestor=ancestor.unwrap())
            continue
        extended = await _with_values(engine, view, step)
        if not isinstance(extended, Success):
            return extended.failure()
        view = extended.unwrap()


async def _with_values(engine: Engine, view: View, step: NeedValues) -> Result[View, Outcome]:
    values = dict(view.values)
    for key in step.keys:
        found = await read_key(engine, key)
        if not isinstance(found, Success):
            return Failure(found.failure())
        values[key] = found.unwrap()
    return Success(view._replace(values=values))
