"""Decide the next step of propose, approve and roll forward from what the platform holds.

Each function is given a fresh view and the pinned envelope, and returns one step. A command that
was interrupted, or whose write has an unknown result, goes on by calling it again.
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
from .models import Finish, NeedAncestor, NeedValues, Outcome, Step, View, Write

Sign = Callable[[Envelope], Envelope]


class ProposeIntent(NamedTuple):
    """What `propose` was asked to do; `base` is the head revision it must start from, if given."""

    content: BundleContent
    operator: str
    approver: str
    sign: Sign
    replace: bool = False
    base: int | None = None


class ApproveIntent(NamedTuple):
    """What `approve` was asked to do; `digest` is a prefix of the content digest."""

    operator: str
    operator_keys: Mapping[str, str]
    sign: Sign
    proposer: str | None = None
    digest: str = ""
    dry_run: bool = False


class RollForwardIntent(NamedTuple):
    """What `roll-forward` was asked to do; `digest` is a prefix of the content digest."""

    operator: str
    operator_keys: Mapping[str, str]
    proposer: str | None = None
    digest: str = ""


def proposal_key(revision: int, proposer: str) -> str:
    """Return the platform key of a proposal."""
    return f"{PROPOSAL_KEY_PREFIX}{revision}-{proposer}"


def operation_id(operator: str, envelope: Envelope) -> str:
    """Return the id of an operator's roll forward of an envelope.

    It is the same each time, so that a repeated command recognises its own earlier write.
    """
    return f"{operator}:{envelope_digest(envelope)[:32]}"


def describe(envelope: Envelope) -> str:
    """Return revision, content and operators of an envelope for a message."""
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


def _head_revision(view: View) -> int:
    return view.head["revision"] if view.head else 0


def _mover(view: View) -> str:
    return view.head["operation_id"].split(":")[0] if view.head else ""


def _taken(view: View, mine: Envelope, theirs: Envelope) -> Finish:
    """Return the outcome when another bundle has the revision that this one was meant for."""
    return _finish(
        ExitCode.CONFLICT,
        f"another's did: {describe(theirs)} took the place of yours: {describe(mine)}",
        yours=_envelope_data(mine),
        theirs=_envelope_data(theirs),
        head_revision=_head_revision(view),
        head_moved_by=_mover(view),
    )


def _text(value: Any) -> str:
    return canonical_bytes(value).decode()


def read_envelope(found: KeyValue | None) -> Envelope | None:
    """Decode a stored envelope; None when it is absent or malformed."""
    if found is None:
        return None
    decoded = decode(found.value.encode(), Envelope, MAX_REPLY_BYTES)
    return decoded.unwrap() if isinstance(decoded, Success) else None


def read_content(found: KeyValue | None, digest: str) -> BundleContent | None:
    """Decode and check a stored content; None unless it has the digest."""
    if found is None:
        return None
    raw = decode(found.value.encode(), dict[str, Any], MAX_REPLY_BYTES)
    checked = check_content(raw.unwrap()) if isinstance(raw, Success) else None
    if not isinstance(checked, Success) or content_digest(checked.unwrap()) != digest:
        return None
    content: BundleContent = checked.unwrap()
    return content


def _diff_against_head(view: View, content: BundleContent) -> ContentDiff:
    old = None
    if view.head_envelope:
        digest = view.head_envelope["content_digest"]
        old = read_content(view.values.get(CONTENT_KEY_PREFIX + digest), digest)
    return diff_contents(old, content)


def _diff_data(diff: ContentDiff) -> dict[str, Any]:
    return {
        "diff": list(diff.lines[:MAX_DIFF_LINES]),
        "diff_lines": len(diff.lines),
        "warnings": list(diff.warnings),
    }


def _unread(view: View, digests: list[str]) -> NeedValues | None:
    """Return the contents that the decision still needs, the head's among them."""
    if view.head_envelope:
        digests = [*digests, view.head_envelope["content_digest"]]
    missing = tuple(
        CONTENT_KEY_PREFIX + d for d in digests if CONTENT_KEY_PREFIX + d not in view.values
    )
    return NeedValues(missing) if missing else None


def decide_propose(intent: ProposeIntent, view: View, pin: Envelope | None) -> Step:
    """Return the next step of a proposal: content first, then the half-signed proposal."""
    head_revision = _head_revision(view)
    digest = content_digest(intent.content)
    head = view.head_envelope
    if head and head["content_digest"] == digest:
        message = f"already in force: {describe(head)}"
        return _finish(ExitCode.OK, message, **_envelope_data(head))
    if pin is None and intent.base not in (None, head_revision):
        message = f"the head is revision {head_revision}, not the base {intent.base}"
        return _finish(ExitCode.CONFLICT, message, head_revision=head_revision)
    previous = view.head["digest"] if view.head else ""
    draft = draft_envelope(head_revision + 1, digest, previous, intent.operator, intent.approver)
    envelope = pin or intent.sign(draft)
    # The operator wrote the content against the first head that was seen. Proposing it on top of
    # a newer one would silently undo that.
    if head and head_revision >= envelope["revision"]:
        return _taken(view, envelope, head)
    if need := _unread(view, [digest]):
        return need
    stored = view.values[CONTENT_KEY_PREFIX + digest]
    if stored is None:
        key = CONTENT_KEY_PREFIX + digest
        return Write(key, _text(intent.content), 0, "writing the content", envelope)
    if read_content(stored, digest) is None:
        return _finish(ExitCode.REFUSED, f"the platform holds another value as content {digest}")
    data = _envelope_data(envelope) | _diff_data(_diff_against_head(view, intent.content))
    found = view.proposals.get(intent.operator)
    key = proposal_key(envelope["revision"], intent.operator)
    if found is None:
        return Write(key, _text(envelope), 0, "writing the proposal", envelope)
    other = read_envelope(found)
    if other and encode_statement(other) == encode_statement(envelope):
        approved = "approved" if other["approver_signature"] else "proposed"
        return _finish(ExitCode.OK, f"{approved}: {describe(envelope)}", **data)
    if not intent.replace:
        shown = describe(other) if other else "a malformed one"
        message = f"you have proposed {shown} already; use --replace to propose this one instead"
        theirs = _envelope_data(other) if other else None
        return _finish(ExitCode.CONFLICT, message, yours=_envelope_data(envelope), theirs=theirs)
    return Write(key, _text(envelope), found.revision, "replacing the proposal", envelope)


def _pending(view: View, keys: Mapping[str, str]) -> tuple[dict[str, Envelope], list[str]]:
    """Return the valid proposals on top of the head by proposer, and why others are not."""
    previous = view.head["digest"] if view.head else ""
    valid: dict[str, Envelope] = {}
    refused: list[str] = []
    for proposer, found in sorted(view.proposals.items()):
        envelope = read_envelope(found)
        if envelope is None or envelope["proposer"] != proposer:
            refused.append(f"{proposer}: malformed")
            continue
        verified = verify_proposer(envelope, keys)
        if not isinstance(verified, Success):
            refused.append(f"{proposer}: {verified.failure().value}")
        elif (envelope["revision"], envelope["previous_digest"]) != (
            _head_revision(view) + 1,
            previous,
        ):
            refused.append(f"{proposer}: not on top of the head")
        else:
            valid[proposer] = envelope
    return valid, refused


def _select(
    candidates: list[Envelope], proposer: str | None, digest: str
) -> Envelope | Finish | None:
    """Return the one proposal that is meant, None if there is none, or a conflict."""
    meant = [
        envelope
        for envelope in candidates
        if proposer in (None, envelope["proposer"])
        and envelope["content_digest"].startswith(digest)
    ]
    if len(meant) > 1:
        listed = "; ".join(describe(envelope) for envelope in meant)
        message = f"{len(meant)} bundles compete, name one with --proposer or --digest: {listed}"
        data = [_envelope_data(envelope) for envelope in meant]
        return _finish(ExitCode.CONFLICT, message, candidates=data)
    return meant[0] if meant else None


def decide_approve(intent: ApproveIntent, view: View, pin: Envelope | None) -> Step:
    """Return the next step of an approval: the signed envelope first, then the proposal."""
    valid, refused = _pending(view, intent.operator_keys)
    head = view.head_envelope
    if pin and head and _head_revision(view) >= pin["revision"]:
        if envelope_digest(head) == envelope_digest(pin):
            return _finish(ExitCode.OK, f"in force: {describe(pin)}", **_envelope_data(pin))
        return _taken(view, pin, head)
    if pin:
        envelope = pin
        current = valid.get(pin["proposer"])
        if current is None or encode_statement(current) != encode_statement(pin):
            message = f"the proposal has changed since it was read: {describe(pin)}"
            return _finish(ExitCode.CONFLICT, message, yours=_envelope_data(pin))
    else:
        mine = [e for e in valid.values() if e["approver"] == intent.operator]
        selected = _select(mine, intent.proposer, intent.digest)
        if isinstance(selected, Finish):
            return selected
        if selected is None:
            return _nothing_to_approve(intent, view, valid, refused)
        envelope = intent.sign(selected)
    digest = envelope["content_digest"]
    if need := _unread(view, [digest]):
        return need
    content = read_content(view.values[CONTENT_KEY_PREFIX + digest], digest)
    if content is None:
        message = f"the content is missing or not valid: {describe(envelope)}"
        return _finish(ExitCode.REFUSED, message, **_envelope_data(envelope))
    data = _envelope_data(envelope) | _diff_data(_diff_against_head(view, content))
    if intent.dry_run:
        return _finish(ExitCode.OK, f"would approve: {describe(envelope)}", **data)
    key = ENVELOPE_KEY_PREFIX + envelope_digest(envelope)
    if key not in view.values:
        return NeedValues((key,))
    if view.values[key] is None:
        return Write(key, _text(envelope), 0, "writing the signed envelope", envelope)
    found = view.proposals[envelope["proposer"]]
    if read_envelope(found) != envelope:
        key = proposal_key(envelope["revision"], envelope["proposer"])
        return Write(key, _text(envelope), found.revision, "approving the proposal", envelope)
    return _finish(ExitCode.OK, f"approved: {describe(envelope)}", **data)


def _nothing_to_approve(
    intent: ApproveIntent, view: View, valid: Mapping[str, Envelope], refused: list[str]
) -> Finish:
    head = view.head_envelope
    if (
        intent.digest
        and head
        and head["approver"] == intent.operator
        and head["content_digest"].startswith(intent.digest)
    ):
        return _finish(ExitCode.OK, f"in force: {describe(head)}", **_envelope_data(head))
    others = [describe(e) for e in valid.values() if e["approver"] != intent.operator]
    message = "no proposal waits for your approval"
    if others or refused:
        message += "; others: " + "; ".join([*others, *refused])
    return _finish(ExitCode.REFUSED, message, head_revision=_head_revision(view))


def decide_roll_forward(intent: RollForwardIntent, view: View, pin: Envelope | None) -> Step:
    """Return the next step of a roll forward: an absent envelope first, then the head."""
    valid, refused = _pending(view, intent.operator_keys)
    head = view.head_envelope
    if pin and head and _head_revision(view) >= pin["revision"]:
        return _settle(intent, view, pin, head)
    approved = [e for e in valid.values() if _is_approved(e, intent.operator_keys)]
    if pin:
        envelope = pin
    else:
        selected = _select(approved, intent.proposer, intent.digest)
        if isinstance(selected, Finish):
            return selected
        if selected is None:
            waiting = [describe(e) for e in valid.values() if e not in approved]
            return _nothing_to_move(intent, view, head, [*waiting, *refused])
        envelope = selected
    digest = envelope["content_digest"]
    if need := _unread(view, [digest]):
        return need
    if read_content(view.values[CONTENT_KEY_PREFIX + digest], digest) is None:
        message = f"the content is missing or not valid: {describe(envelope)}"
        return _finish(ExitCode.REFUSED, message, **_envelope_data(envelope))
    envelope_key = ENVELOPE_KEY_PREFIX + envelope_digest(envelope)
    if envelope_key not in view.values:
        return NeedValues((envelope_key,))
    if view.values[envelope_key] is None:
        return Write(envelope_key, _text(envelope), 0, "writing the signed envelope", envelope)
    new_head = Head(
        revision=envelope["revision"],
        digest=envelope_digest(envelope),
        operation_id=operation_id(intent.operator, envelope),
    )
    return Write(HEAD_KEY, _text(new_head), view.head_key_revision, "moving the head", envelope)


def _is_approved(envelope: Envelope, keys: Mapping[str, str]) -> bool:
    return isinstance(verify_envelope(envelope, keys), Success)


def _settle(intent: RollForwardIntent, view: View, pin: Envelope, head: Envelope) -> Step:
    """Tell from a head that is at or beyond the pinned revision whose write took effect."""
    data = _envelope_data(pin) | {"head_revision": _head_revision(view)}
    if _head_revision(view) == pin["revision"]:
        if envelope_digest(head) != envelope_digest(pin):
            return _taken(view, pin, head)
        if view.head and view.head["operation_id"] == operation_id(intent.operator, pin):
            return _finish(ExitCode.OK, f"yours took effect: {describe(pin)}", **data)
        message = f"another's did: {_mover(view)} moved the head to your bundle: {describe(pin)}"
        return _finish(ExitCode.OK, message, **data)
    if view.ancestor is None or view.ancestor["revision"] != pin["revision"]:
        return NeedAncestor(pin["revision"])
    if envelope_digest(view.ancestor) != envelope_digest(pin):
        return _taken(view, pin, view.ancestor)
    message = f"yours took effect: {describe(pin)}; since then {describe(head)} replaced it"
    return _finish(ExitCode.OK, message, **data)


def _nothing_to_move(
    intent: RollForwardIntent, view: View, head: Envelope | None, waiting: list[str]
) -> Finish:
    """Return the outcome without an approved proposal, which is success for a repeated command."""
    mine = head and view.head and view.head["operation_id"] == operation_id(intent.operator, head)
    named = head and head["content_digest"].startswith(intent.digest)
    if head and named and (intent.digest or (mine and not waiting)):
        whose = "yours took effect" if mine else f"another's did: {_mover(view)} moved the head"
        return _finish(ExitCode.OK, f"{whose}: {describe(head)}", **_envelope_data(head))
    message = "no approved proposal is on top of the head"
    if waiting:
        message += ": " + "; ".join(waiting)
    return _finish(ExitCode.REFUSED, message, head_revision=_head_revision(view))
