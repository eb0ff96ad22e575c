"""Run the steps of a command against the platform until the command has an outcome."""

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
    MAX_HISTORY_REVISIONS,
    MAX_REPLY_BYTES,
    MAX_ROUNDS,
    POLL_INTERVAL_S,
    PROGRESS_INTERVAL_REVISIONS,
    ExitCode,
)
from .flow import decode_envelope, proposal_key
from .models import Finish, Outcome, ReadAncestor, ReadKeys, Step, StoredState, WriteKey

DecideStep = Callable[[StoredState, Envelope | None], Step]


class PlatformContext(NamedTuple):
    """Platform client, clock, deadline and progress output of a command."""

    platform: PlatformClient
    now_ms: Callable[[], float]
    deadline_ms: float
    report_progress: Callable[[str], None]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


async def read_key(context: PlatformContext, key: str) -> Result[KeyValue | None, Outcome]:
    """Read a key, retrying until the deadline while the platform does not answer.

    Returns
    -------
    Result
        The value, None for an absent key, or an outcome with exit code 5.
    """
    is_wait_reported = False
    while True:
        result = await context.platform.get(key)
        if isinstance(result, Success):
            return Success(result.unwrap())
        error = result.failure()
        if error is PlatformError.NOT_FOUND:
            return Success(None)
        if context.now_ms() >= context.deadline_ms:
            message = f"the platform does not answer ({error.value})"
            return Failure(Outcome(ExitCode.UNREACHABLE, message))
        if not is_wait_reported:
            context.report_progress(f"waiting for the platform ({error.value})")
            is_wait_reported = True
        await context.sleep(POLL_INTERVAL_S)


def _malformed_value(key: str) -> Failure[Outcome]:
    return Failure(Outcome(ExitCode.REFUSED, f"the platform's value of {key} is malformed"))


async def read_envelope_by_digest(
    context: PlatformContext, digest: str
) -> Result[Envelope, Outcome]:
    """Read the envelope that has a digest."""
    key = ENVELOPE_KEY_PREFIX + digest
    result = await read_key(context, key)
    if not isinstance(result, Success):
        return Failure(result.failure())
    envelope = decode_envelope(result.unwrap())
    if envelope is None or envelope_digest(envelope) != digest:
        return _malformed_value(key)
    return Success(envelope)


async def read_stored_state(
    context: PlatformContext, operators: Mapping[str, str]
) -> Result[StoredState, Outcome]:
    """Read the head, its envelope and the proposals for the next revision."""
    head_result = await read_key(context, HEAD_KEY)
    if not isinstance(head_result, Success):
        return Failure(head_result.failure())
    stored = head_result.unwrap()
    head: Head | None = None
    envelope: Envelope | None = None
    if stored is not None:
        decoded = decode(stored.value.encode(), Head, MAX_REPLY_BYTES)
        if not isinstance(decoded, Success):
            return _malformed_value(HEAD_KEY)
        head = decoded.unwrap()
        envelope_result = await read_envelope_by_digest(context, head["digest"])
        if not isinstance(envelope_result, Success):
            return Failure(envelope_result.failure())
        envelope = envelope_result.unwrap()
    proposals: dict[str, KeyValue] = {}
    for operator in sorted(operators):
        key = proposal_key((head["revision"] if head else 0) + 1, operator)
        proposal_result = await read_key(context, key)
        if not isinstance(proposal_result, Success):
            return Failure(proposal_result.failure())
        if (value := proposal_result.unwrap()) is not None:
            proposals[operator] = value
    key_revision = stored.revision if stored else 0
    return Success(StoredState(head, key_revision, envelope, proposals, {}))


async def read_ancestor(
    context: PlatformContext, state: StoredState, revision: int
) -> Result[Envelope, Outcome]:
    """Follow the chain of envelopes from the head back to a revision.

    Returns
    -------
    Result
        The envelope, or an outcome: no such revision, a malformed chain, or unreachable.
    """
    envelope = state.head_envelope
    revisions_read = 0
    while (
        envelope is not None
        and envelope["revision"] > revision
        and revisions_read < MAX_HISTORY_REVISIONS
    ):
        if not envelope["previous_digest"]:
            break
        older = await read_envelope_by_digest(context, envelope["previous_digest"])
        if not isinstance(older, Success):
            return older
        envelope = older.unwrap()
        revisions_read += 1
        if revisions_read % PROGRESS_INTERVAL_REVISIONS == 0:
            context.report_progress(f"reading the history, now at revision {envelope['revision']}")
    if envelope is None or envelope["revision"] != revision:
        message = f"the history has no revision {revision}"
        return Failure(Outcome(ExitCode.INPUT, message, {"revision": revision}))
    return Success(envelope)


async def run_steps(
    context: PlatformContext, operators: Mapping[str, str], decide_step: DecideStep
) -> Outcome:
    """Read, decide and write in rounds until the command has an outcome.

    Parameters
    ----------
    context : PlatformContext
        Platform client, deadline and progress output.
    operators : Mapping
        Public keys by operator; the proposals of these operators are read.
    decide_step : callable
        Takes the stored state and the pinned envelope, returns the next step.

    Returns
    -------
    Outcome
        Outcome of the last step. The exit code is 4 when a write was sent and the deadline passed
        before a read could show whether it took effect.
    """
    pinned: Envelope | None = None
    unconfirmed_write: str | None = None
    last_error: PlatformError | None = None
    for _ in range(MAX_ROUNDS):
        state_result = await read_stored_state(context, operators)
        if not isinstance(state_result, Success):
            return _final_outcome(state_result.failure(), unconfirmed_write)
        decision = await _decide_with_reads(context, state_result.unwrap(), pinned, decide_step)
        if isinstance(decision, Outcome):
            return _final_outcome(decision, unconfirmed_write)
        if last_error is not None and context.now_ms() >= context.deadline_ms:
            message = f"the platform does not answer ({last_error.value})"
            return _final_outcome(Outcome(ExitCode.UNREACHABLE, message), unconfirmed_write)
        pinned = decision.pinned
        context.report_progress(decision.description)
        write_result = await context.platform.put(
            decision.key, decision.value, decision.expected_revision, None
        )
        if isinstance(write_result, Success):
            unconfirmed_write = last_error = None
            continue
        error = write_result.failure()
        if error is PlatformError.CONFLICT:
            continue
        # The same compare-and-swap may be sent again after the next read: if the first one takes
        # effect late, the second one conflicts, and the read after it returns the value of the
        # first one.
        context.report_progress(f"{decision.description}: no answer ({error.value}), reading back")
        if error is PlatformError.UNKNOWN:
            unconfirmed_write = decision.description
        last_error = error
        await context.sleep(POLL_INTERVAL_S)
    return Outcome(ExitCode.NOT_YET_KNOWN, f"not yet known: no result after {MAX_ROUNDS} rounds")


def _final_outcome(outcome: Outcome, unconfirmed_write: str | None) -> Outcome:
    """Replace "unreachable" by "not yet known" if a write may have taken effect."""
    if outcome.code is ExitCode.UNREACHABLE and unconfirmed_write:
        message = (
            f"not yet known: {unconfirmed_write}: {outcome.message}; "
            "repeat the command to find out"
        )
        return Outcome(ExitCode.NOT_YET_KNOWN, message, outcome.data)
    return outcome


async def _decide_with_reads(
    context: PlatformContext, state: StoredState, pinned: Envelope | None, decide_step: DecideStep
) -> WriteKey | Outcome:
    """Decide on the stored state, reading additional keys until there is a write or outcome."""
    while True:
        step = decide_step(state, pinned)
        if isinstance(step, Finish):
            return step.outcome
        if isinstance(step, WriteKey):
            return step
        if isinstance(step, ReadAncestor):
            ancestor = await read_ancestor(context, state, step.revision)
            if not isinstance(ancestor, Success):
                return ancestor.failure()
            state = state._replace(ancestor=ancestor.unwrap())
            continue
        extended = await _read_values(context, state, step)
        if not isinstance(extended, Success):
            return extended.failure()
        state = extended.unwrap()


async def _read_values(
    context: PlatformContext, state: StoredState, step: ReadKeys
) -> Result[StoredState, Outcome]:
    values = dict(state.values)
    for key in step.keys:
        result = await read_key(context, key)
        if not isinstance(result, Success):
            return Failure(result.failure())
        values[key] = result.unwrap()
    return Success(state._replace(values=values))
