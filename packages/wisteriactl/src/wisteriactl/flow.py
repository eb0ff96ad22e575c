"""Decide the next step of propose, approve and roll forward from what the platform holds.

Each `decide_...` function takes newly read state and the pinned envelope, and returns one step. A
command that was interrupted, or whose write has an unknown result, resumes by calling it again.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from returns.result import Success
from wisteriarock.bundle.checks import check_content
from wisteriarock.bundle.const import (
    CONTENT_KEY_PREFIX,
    ENVELOPE_KEY_PREFIX,
    HEAD_KEY,
    PROPOSAL_KEY_PREFIX,
)
from wisteriarock.bundle.diff import ContentDiff, diff_contents
from wisteriarock.bundle.models import BundleContent, Envelope, Head
from wisteriarock.bundle.signing import (
    canonical_bytes,
    content_digest,
    draft_envelope,
    encode_statement,
    envelope_digest,
    verify_envelope,
    verify_proposer,
)
from wisteriarock.codec.decode import decode
from wisteriarock.platform.models import KeyValue

from .const import MAX_DIFF_LINES, MAX_REPLY_BYTES, ExitCode
from .models import Finish, Outcome, ReadAncestor, ReadKeys, Step, StoredState, WriteKey

SignEnvelope = Callable[[Envelope], Envelope]


class ProposeIntent(NamedTuple):
    """Arguments of `propose`; `base` is the head revision it requires, None for any."""

    content: BundleContent
    operator: str
    approver: str
    sign: SignEnvelope
    replace: bool = False
    base: int | None = None


class ApproveIntent(NamedTuple):
    """Arguments of `approve`; `digest` is a prefix of the content digest."""

    operator: str
    operator_keys: Mapping[str, str]
    sign: SignEnvelope
    proposer: str | None = None
    digest: str = ""
    dry_run: bool = False


class RollForwardIntent(NamedTuple):
    """Arguments of `roll-forward`; `digest` is a prefix of the content digest."""

    operator: str
    operator_keys: Mapping[str, str]
    proposer: str | None = None
    digest: str = ""


def proposal_key(revision: int, proposer: str) -> str:
    """Return the platform key of a proposal."""
    return f"{PROPOSAL_KEY_PREFIX}{revision}-{proposer}"


def operation_id(operator: str, envelope: Envelope) -> str:
    """Return the id of an operator's roll forward to an envelope.

    The id is deterministic, so that a repeated command recognises its own earlier write.
    """
    return f"{operator}:{envelope_digest(envelope)[:32]}"


def describe_envelope(envelope: Envelope) -> str:
    """Return the revision, content and operators of an envelope as message text."""
    return (
        f"revision {envelope['revision']} with content {envelope['content_digest'][:12]}, "
        f"proposed by {envelope['proposer']}, approver {envelope['approver']}"
    )


def _envelope_data(envelope: Envelope) -> dict[str, Any]:
    return {
        "revision": envelope["revision"],
        "digest": envelope_digest(envelope),
        "content_digest": envelope["content_digest"],
        "proposer": envelope["proposer"],
        "approver": envelope["approver"],
    }


def _finish(code: ExitCode, message: str, **data: Any) -> Finish:
    return Finish(Outcome(code, message, data))


def _head_revision(state: StoredState) -> int:
    return state.head["revision"] if state.head else 0


def _head_operator(state: StoredState) -> str:
    return state.head["operation_id"].split(":")[0] if state.head else ""


def _revision_conflict(state: StoredState, own: Envelope, accepted: Envelope) -> Finish:
    """Return the conflict with another bundle that was accepted under the same revision."""
    return _finish(
        ExitCode.CONFLICT,
        f"another's did: {describe_envelope(accepted)} was accepted instead of yours: "
        f"{describe_envelope(own)}",
        yours=_envelope_data(own),
        theirs=_envelope_data(accepted),
        head_revision=_head_revision(state),
        head_moved_by=_head_operator(state),
    )


def _canonical_json(value: Any) -> str:
    return canonical_bytes(value).decode()


def decode_envelope(stored: KeyValue | None) -> Envelope | None:
    """Decode a stored envelope; return None if it is absent or malformed."""
    if stored is None:
        return None
    decoded = decode(stored.value.encode(), Envelope, MAX_REPLY_BYTES)
    return decoded.unwrap() if isinstance(decoded, Success) else None


def decode_content(stored: KeyValue | None, digest: str) -> BundleContent | None:
    """Decode and check a stored content; return None unless it is valid and has the digest."""
    if stored is None:
        return None
    raw = decode(stored.value.encode(), dict[str, Any], MAX_REPLY_BYTES)
    checked = check_content(raw.unwrap()) if isinstance(raw, Success) else None
    if not isinstance(checked, Success) or content_digest(checked.unwrap()) != digest:
        return None
    content: BundleContent = checked.unwrap()
    return content


def _diff_against_head(state: StoredState, content: BundleContent) -> ContentDiff:
    head_content = None
    if state.head_envelope:
        digest = state.head_envelope["content_digest"]
        head_content = decode_content(state.values.get(CONTENT_KEY_PREFIX + digest), digest)
    return diff_contents(head_content, content)


def _diff_data(diff: ContentDiff) -> dict[str, Any]:
    return {
        "diff": list(diff.lines[:MAX_DIFF_LINES]),
        "diff_lines": len(diff.lines),
        "warnings": list(diff.warnings),
    }


def _missing_contents(state: StoredState, digests: list[str]) -> ReadKeys | None:
    """Return a step that reads those contents, and the head's, that have not been read yet."""
    if state.head_envelope:
        digests = [*digests, state.head_envelope["content_digest"]]
    missing = tuple(
        CONTENT_KEY_PREFIX + d for d in digests if CONTENT_KEY_PREFIX + d not in state.values
    )
    return ReadKeys(missing) if missing else None


def decide_propose(intent: ProposeIntent, state: StoredState, pinned: Envelope | None) -> Step:
    """Return the next step of a proposal: write the content, then the half-signed proposal."""
    head_revision = _head_revision(state)
    digest = content_digest(intent.content)
    head = state.head_envelope
    if head and head["content_digest"] == digest:
        message = f"already in force: {describe_envelope(head)}"
        return _finish(ExitCode.OK, message, **_envelope_data(head))
    if pinned is None and intent.base not in (None, head_revision):
        message = f"the head is at revision {head_revision}, not at base revision {intent.base}"
        return _finish(ExitCode.CONFLICT, message, head_revision=head_revision)
    previous = state.head["digest"] if state.head else ""
    draft = draft_envelope(head_revision + 1, digest, previous, intent.operator, intent.approver)
    envelope = pinned or intent.sign(draft)
    # The operator wrote the content against the head that the first round read. Proposing it on top
    # of a newer head would silently revert the newer bundle.
    if head and head_revision >= envelope["revision"]:
        return _revision_conflict(state, envelope, head)
    if missing := _missing_contents(state, [digest]):
        return missing
    stored_content = state.values[CONTENT_KEY_PREFIX + digest]
    if stored_content is None:
        key = CONTENT_KEY_PREFIX + digest
        return WriteKey(key, _canonical_json(intent.content), 0, "writing the content", envelope)
    if decode_content(stored_content, digest) is None:
        return _finish(ExitCode.REFUSED, f"the platform stores another value as content {digest}")
    data = _envelope_data(envelope) | _diff_data(_diff_against_head(state, intent.content))
    existing = state.proposals.get(intent.operator)
    key = proposal_key(envelope["revision"], intent.operator)
    if existing is None:
        return WriteKey(key, _canonical_json(envelope), 0, "writing the proposal", envelope)
    existing_envelope = decode_envelope(existing)
    if existing_envelope and encode_statement(existing_envelope) == encode_statement(envelope):
        stage = "approved" if existing_envelope["approver_signature"] else "proposed"
        return _finish(ExitCode.OK, f"{stage}: {describe_envelope(envelope)}", **data)
    if not intent.replace:
        existing_text = (
            describe_envelope(existing_envelope) if existing_envelope else "a malformed bundle"
        )
        message = f"you have already proposed {existing_text}; use --replace to replace it"
        theirs = _envelope_data(existing_envelope) if existing_envelope else None
        return _finish(ExitCode.CONFLICT, message, yours=_envelope_data(envelope), theirs=theirs)
    return WriteKey(
        key, _canonical_json(envelope), existing.revision, "replacing the proposal", envelope
    )


def _verify_proposals(
    state: StoredState, keys: Mapping[str, str]
) -> tuple[dict[str, Envelope], list[str]]:
    """Return the valid proposals for the next revision by proposer, and errors of the others."""
    previous = state.head["digest"] if state.head else ""
    valid: dict[str, Envelope] = {}
    refused: list[str] = []
    for proposer, stored in sorted(state.proposals.items()):
        envelope = decode_envelope(stored)
        if envelope is None or envelope["proposer"] != proposer:
            refused.append(f"{proposer}: malformed")
            continue
        verified = verify_proposer(envelope, keys)
        if not isinstance(verified, Success):
            refused.append(f"{proposer}: {verified.failure().value}")
        elif (envelope["revision"], envelope["previous_digest"]) != (
            _head_revision(state) + 1,
            previous,
        ):
            refused.append(f"{proposer}: not based on the current head")
        else:
            valid[proposer] = envelope
    return valid, refused


def _select_proposal(
    candidates: list[Envelope], proposer: str | None, digest: str
) -> Envelope | Finish | None:
    """Return the only matching proposal, None without a match, or a conflict if several match."""
    matching = [
        envelope
        for envelope in candidates
        if proposer in (None, envelope["proposer"])
        and envelope["content_digest"].startswith(digest)
    ]
    if len(matching) > 1:
        listed = "; ".join(describe_envelope(envelope) for envelope in matching)
        message = (
            f"{len(matching)} proposals match, select one with --proposer or --digest: {listed}"
        )
        data = [_envelope_data(envelope) for envelope in matching]
        return _finish(ExitCode.CONFLICT, message, candidates=data)
    return matching[0] if matching else None


def decide_approve(intent: ApproveIntent, state: StoredState, pinned: Envelope | None) -> Step:
    """Return the next step of an approval: write the signed envelope, then the proposal."""
    valid, refused = _verify_proposals(state, intent.operator_keys)
    head = state.head_envelope
    if pinned and head and _head_revision(state) >= pinned["revision"]:
        if envelope_digest(head) == envelope_digest(pinned):
            return _finish(
                ExitCode.OK, f"in force: {describe_envelope(pinned)}", **_envelope_data(pinned)
            )
        return _revision_conflict(state, pinned, head)
    if pinned:
        envelope = pinned
        current = valid.get(pinned["proposer"])
        if current is None or encode_statement(current) != encode_statement(pinned):
            message = f"the proposal has changed since it was read: {describe_envelope(pinned)}"
            return _finish(ExitCode.CONFLICT, message, yours=_envelope_data(pinned))
    else:
        assigned = [e for e in valid.values() if e["approver"] == intent.operator]
        selected = _select_proposal(assigned, intent.proposer, intent.digest)
        if isinstance(selected, Finish):
            return selected
        if selected is None:
            return _no_approvable_proposal(intent, state, valid, refused)
        envelope = intent.sign(selected)
    digest = envelope["content_digest"]
    if missing := _missing_contents(state, [digest]):
        return missing
    content = decode_content(state.values[CONTENT_KEY_PREFIX + digest], digest)
    if content is None:
        message = f"the content is missing or not valid: {describe_envelope(envelope)}"
        return _finish(ExitCode.REFUSED, message, **_envelope_data(envelope))
    data = _envelope_data(envelope) | _diff_data(_diff_against_head(state, content))
    if intent.dry_run:
        return _finish(ExitCode.OK, f"would approve: {describe_envelope(envelope)}", **data)
    key = ENVELOPE_KEY_PREFIX + envelope_digest(envelope)
    if key not in state.values:
        return ReadKeys((key,))
    if state.values[key] is None:
        return WriteKey(key, _canonical_json(envelope), 0, "writing the signed envelope", envelope)
    stored_proposal = state.proposals[envelope["proposer"]]
    if decode_envelope(stored_proposal) != envelope:
        key = proposal_key(envelope["revision"], envelope["proposer"])
        return WriteKey(
            key,
            _canonical_json(envelope),
            stored_proposal.revision,
            "approving the proposal",
            envelope,
        )
    return _finish(ExitCode.OK, f"approved: {describe_envelope(envelope)}", **data)


def _no_approvable_proposal(
    intent: ApproveIntent, state: StoredState, valid: Mapping[str, Envelope], refused: list[str]
) -> Finish:
    head = state.head_envelope
    if (
        intent.digest
        and head
        and head["approver"] == intent.operator
        and head["content_digest"].startswith(intent.digest)
    ):
        return _finish(ExitCode.OK, f"in force: {describe_envelope(head)}", **_envelope_data(head))
    others = [describe_envelope(e) for e in valid.values() if e["approver"] != intent.operator]
    message = "no proposal is waiting for your approval"
    if others or refused:
        message += "; others: " + "; ".join([*others, *refused])
    return _finish(ExitCode.REFUSED, message, head_revision=_head_revision(state))


def decide_roll_forward(
    intent: RollForwardIntent, state: StoredState, pinned: Envelope | None
) -> Step:
    """Return the next step of a roll forward: write the envelope if absent, then the head."""
    valid, refused = _verify_proposals(state, intent.operator_keys)
    head = state.head_envelope
    if pinned and head and _head_revision(state) >= pinned["revision"]:
        return _decide_after_head_moved(intent, state, pinned, head)
    approved = [e for e in valid.values() if _is_approved(e, intent.operator_keys)]
    if pinned:
        envelope = pinned
    else:
        selected = _select_proposal(approved, intent.proposer, intent.digest)
        if isinstance(selected, Finish):
            return selected
        if selected is None:
            unapproved = [describe_envelope(e) for e in valid.values() if e not in approved]
            return _no_approved_proposal(intent, state, head, [*unapproved, *refused])
        envelope = selected
    digest = envelope["content_digest"]
    if missing := _missing_contents(state, [digest]):
        return missing
    if decode_content(state.values[CONTENT_KEY_PREFIX + digest], digest) is None:
        message = f"the content is missing or not valid: {describe_envelope(envelope)}"
        return _finish(ExitCode.REFUSED, message, **_envelope_data(envelope))
    envelope_key = ENVELOPE_KEY_PREFIX + envelope_digest(envelope)
    if envelope_key not in state.values:
        return ReadKeys((envelope_key,))
    if state.values[envelope_key] is None:
        return WriteKey(
            envelope_key, _canonical_json(envelope), 0, "writing the signed envelope", envelope
        )
    new_head = Head(
        revision=envelope["revision"],
        digest=envelope_digest(envelope),
        operation_id=operation_id(intent.operator, envelope),
    )
    return WriteKey(
        HEAD_KEY, _canonical_json(new_head), state.head_key_revision, "moving the head", envelope
    )


def _is_approved(envelope: Envelope, keys: Mapping[str, str]) -> bool:
    return isinstance(verify_envelope(envelope, keys), Success)


def _decide_after_head_moved(
    intent: RollForwardIntent, state: StoredState, pinned: Envelope, head: Envelope
) -> Step:
    """Determine whose write took effect, once the head is at or past the pinned revision."""
    data = _envelope_data(pinned) | {"head_revision": _head_revision(state)}
    if _head_revision(state) == pinned["revision"]:
        if envelope_digest(head) != envelope_digest(pinned):
            return _revision_conflict(state, pinned, head)
        if state.head and state.head["operation_id"] == operation_id(intent.operator, pinned):
            return _finish(ExitCode.OK, f"yours took effect: {describe_envelope(pinned)}", **data)
        message = (
            f"another's did: {_head_operator(state)} moved the head to your bundle: "
            f"{describe_envelope(pinned)}"
        )
        return _finish(ExitCode.OK, message, **data)
    if state.ancestor is None or state.ancestor["revision"] != pinned["revision"]:
        return ReadAncestor(pinned["revision"])
    if envelope_digest(state.ancestor) != envelope_digest(pinned):
        return _revision_conflict(state, pinned, state.ancestor)
    message = (
        f"yours took effect: {describe_envelope(pinned)}; later replaced by "
        f"{describe_envelope(head)}"
    )
    return _finish(ExitCode.OK, message, **data)


def _no_approved_proposal(
    intent: RollForwardIntent, state: StoredState, head: Envelope | None, unapproved: list[str]
) -> Finish:
    """Return the outcome without an approved proposal: success if the head is the requested one."""
    is_own_write = (
        head and state.head and state.head["operation_id"] == operation_id(intent.operator, head)
    )
    has_digest = head and head["content_digest"].startswith(intent.digest)
    if head and has_digest and (intent.digest or (is_own_write and not unapproved)):
        verdict = (
            "yours took effect"
            if is_own_write
            else f"another's did: {_head_operator(state)} moved the head"
        )
        return _finish(ExitCode.OK, f"{verdict}: {describe_envelope(head)}", **_envelope_data(head))
    message = "no approved proposal is based on the current head"
    if unapproved:
        message += ": " + "; ".join(unapproved)
    return _finish(ExitCode.REFUSED, message, head_revision=_head_revision(state))
