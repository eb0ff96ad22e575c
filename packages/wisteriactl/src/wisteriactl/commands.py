"""The commands, without argument parsing and output."""

import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success
from wisteriarock.bundle.const import CONTENT_KEY_PREFIX
from wisteriarock.bundle.diff import diff_contents
from wisteriarock.bundle.models import BundleContent, Envelope, SignedBundle
from wisteriarock.bundle.signing import (
    canonical_bytes,
    content_digest,
    generate_key,
    private_key_to_pem,
    public_key_to_text,
    sign_envelope,
)
from wisteriarock.bundle.verify import encode_body, verify_body

from .const import MAX_DIFF_LINES, POLL_INTERVAL_S, ExitCode
from .engine import PlatformContext, read_ancestor, read_key, read_stored_state, run_steps
from .flow import (
    ApproveIntent,
    ProposeIntent,
    RollForwardIntent,
    SignEnvelope,
    decide_approve,
    decide_propose,
    decide_roll_forward,
    decode_content,
    describe_envelope,
)
from .models import CtlSettingsFile, Outcome
from .settings import load_content
from .status import (
    FetchOps,
    find_lagging_instances,
    merge_statuses,
    read_statuses,
    status_outcome,
    zones_without_revision,
)


class Session(NamedTuple):
    """Settings of the operator, and access to the platform and the instances."""

    settings: CtlSettingsFile
    context: PlatformContext
    fetch_ops: FetchOps


def _create_signer(operator: str, key: Ed25519PrivateKey) -> SignEnvelope:
    def sign(envelope: Envelope) -> Envelope:
        return sign_envelope(envelope, operator, key)

    return sign


def keygen(path: Path) -> Outcome:
    """Write a new private key that only its owner can read, and return the public key."""
    key = generate_key()
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(descriptor, "wb") as file:
            file.write(private_key_to_pem(key))
    except FileExistsError:
        return Outcome(ExitCode.CONFLICT, f"{path}: already exists and is not replaced")
    except OSError as error:
        return Outcome(ExitCode.INPUT, f"{path}: not writable: {error.strerror}")
    public_key = public_key_to_text(key)
    return Outcome(ExitCode.OK, public_key, {"key_path": str(path), "public_key": public_key})


def check(path: Path) -> Outcome:
    """Check a content file."""
    loaded = load_content(path)
    if not isinstance(loaded, Success):
        return loaded.failure()
    content = loaded.unwrap()
    digest = content_digest(content)
    size_bytes = len(canonical_bytes(content))
    warnings = list(diff_contents(None, content).warnings)
    data = {"content_digest": digest, "size_bytes": size_bytes, "warnings": warnings}
    return Outcome(ExitCode.OK, f"valid, content {digest}, {size_bytes} bytes", data)


def _diff_outcome(old: BundleContent | None, new: BundleContent) -> Outcome:
    diff = diff_contents(old, new)
    data = {
        "diff": list(diff.lines[:MAX_DIFF_LINES]),
        "diff_lines": len(diff.lines),
        "warnings": list(diff.warnings),
    }
    message = f"{len(diff.lines)} differences, {len(diff.warnings)} warnings"
    return Outcome(ExitCode.OK, message, data)


def diff_files(old_path: Path, new_path: Path) -> Outcome:
    """Compare two content files."""
    old, new = load_content(old_path), load_content(new_path)
    for loaded in (old, new):
        if not isinstance(loaded, Success):
            return loaded.failure()
    return _diff_outcome(old.unwrap(), new.unwrap())


async def _read_head_content(session: Session) -> tuple[BundleContent | None, Outcome | None]:
    """Return the content of the head, None before the first bundle, or an error."""
    state_result = await read_stored_state(session.context, {})
    if not isinstance(state_result, Success):
        return None, state_result.failure()
    head = state_result.unwrap().head_envelope
    if head is None:
        return None, None
    return await _read_content_by_digest(session, head["content_digest"])


async def _read_content_by_digest(
    session: Session, digest: str
) -> tuple[BundleContent | None, Outcome | None]:
    result = await read_key(session.context, CONTENT_KEY_PREFIX + digest)
    if not isinstance(result, Success):
        return None, result.failure()
    content = decode_content(result.unwrap(), digest)
    if content is None:
        message = f"the platform's content {digest} is missing or not valid"
        return None, Outcome(ExitCode.REFUSED, message)
    return content, None


async def diff_with_head(session: Session, path: Path) -> Outcome:
    """Compare the content in force with a content file."""
    new_content = load_content(path)
    if not isinstance(new_content, Success):
        return new_content.failure()
    head_content, error = await _read_head_content(session)
    return error or _diff_outcome(head_content, new_content.unwrap())


def choose_approver(settings: CtlSettingsFile, requested: str | None) -> str | Outcome:
    """Return the approver: the given one, the one in the settings, or the only other operator."""
    operator = settings["operator"]
    others = sorted(set(settings["operator_keys"]) - {operator})
    approver = requested or settings.get("approver") or (others[0] if len(others) == 1 else None)
    if approver is None or approver not in others:
        problem = f"found {approver!r}" if approver else "no approver given"
        message = f"--approver: {problem}, allowed: {', '.join(others) or 'another operator'}"
        return Outcome(ExitCode.INPUT, message)
    return approver


async def propose(
    session: Session,
    key: Ed25519PrivateKey,
    content: BundleContent,
    approver: str | None,
    replace: bool,
    base: int | None,
) -> Outcome:
    """Write the content and a half-signed proposal for the revision after the head."""
    chosen_approver = choose_approver(session.settings, approver)
    if isinstance(chosen_approver, Outcome):
        return chosen_approver
    operator = session.settings["operator"]
    intent = ProposeIntent(
        content, operator, chosen_approver, _create_signer(operator, key), replace, base
    )
    return await run_steps(
        session.context,
        session.settings["operator_keys"],
        lambda state, pinned: decide_propose(intent, state, pinned),
    )


async def roll_back(
    session: Session, key: Ed25519PrivateKey, revision: int, approver: str | None, replace: bool
) -> Outcome:
    """Propose the content of an older revision as the next one."""
    state_result = await read_stored_state(session.context, {})
    if not isinstance(state_result, Success):
        return state_result.failure()
    ancestor = await read_ancestor(session.context, state_result.unwrap(), revision)
    if not isinstance(ancestor, Success):
        return ancestor.failure()
    content, error = await _read_content_by_digest(session, ancestor.unwrap()["content_digest"])
    if content is None:
        return error or Outcome(ExitCode.REFUSED, f"revision {revision} has no content")
    return await propose(session, key, content, approver, replace, None)


async def approve(
    session: Session,
    key: Ed25519PrivateKey,
    proposer: str | None,
    digest: str,
    dry_run: bool,
) -> Outcome:
    """Sign another operator's proposal."""
    operator = session.settings["operator"]
    keys = session.settings["operator_keys"]
    intent = ApproveIntent(operator, keys, _create_signer(operator, key), proposer, digest, dry_run)
    return await run_steps(
        session.context, keys, lambda state, pinned: decide_approve(intent, state, pinned)
    )


async def roll_forward(session: Session, proposer: str | None, digest: str) -> Outcome:
    """Move the head to the approved proposal."""
    keys = session.settings["operator_keys"]
    intent = RollForwardIntent(session.settings["operator"], keys, proposer, digest)
    return await run_steps(
        session.context, keys, lambda state, pinned: decide_roll_forward(intent, state, pinned)
    )


async def _read_head_once(session: Session) -> tuple[int, str] | None:
    # One attempt: while the platform is down, the instances still report their revisions.
    state_result = await read_stored_state(session.context._replace(deadline_ms=0), {})
    head = state_result.unwrap().head if isinstance(state_result, Success) else None
    return (head["revision"], head["digest"]) if head else None


async def status(session: Session) -> Outcome:
    """Return the revision of each zone and instance, and which instances lag and why."""
    head = await _read_head_once(session)
    instances = session.settings["instances"]
    replies, errors = await read_statuses(instances, session.fetch_ops)
    members = merge_statuses(replies)
    wanted_revision = head[0] if head else max((m["revision"] for m in members.values()), default=0)
    lagging = find_lagging_instances(
        members, instances, errors, wanted_revision, head[1] if head else ""
    )
    return status_outcome(members, lagging, head, wanted_revision)


async def wait(
    session: Session,
    revision: int,
    timeout_s: float,
    now_ms: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
) -> Outcome:
    """Wait until each zone, and every instance that is not silent, has a revision."""
    instances = session.settings["instances"]
    deadline_ms = now_ms() + timeout_s * 1000
    last_report = ""
    while True:
        replies, errors = await read_statuses(instances, session.fetch_ops)
        members = merge_statuses(replies)
        lagging = find_lagging_instances(members, instances, errors, revision, "")
        pending = [lag for lag in lagging if not lag.silent]
        missing_zones = zones_without_revision(members, instances, revision)
        summary = status_outcome(members, lagging, None, revision)
        if members and not pending and not missing_zones:
            message = f"revision {revision} is in force in every zone"
            return Outcome(ExitCode.OK, message, summary.data)
        reasons = [f"{lag.instance} {lag.reason}" for lag in pending]
        reasons += [f"zone {zone} has no live instance with the revision" for zone in missing_zones]
        text = "; ".join(reasons) if members else "no instance answered"
        if now_ms() >= deadline_ms:
            code = ExitCode.NOT_YET_KNOWN if members else ExitCode.UNREACHABLE
            return Outcome(code, f"not yet: {text}", summary.data)
        if text != last_report:
            session.context.report_progress(f"waiting: {text}")
            last_report = text
        await sleep(POLL_INTERVAL_S)


def _write_file(path: Path, body: bytes) -> Outcome | None:
    """Write a temporary file and rename it to the path, so that no reader sees a partial file."""
    temporary_path = path.with_name(path.name + ".part")
    try:
        temporary_path.write_bytes(body)
        temporary_path.replace(path)
    except OSError as error:
        return Outcome(ExitCode.INPUT, f"{path}: not writable: {error.strerror}")
    return None


async def export(session: Session, path: Path) -> Outcome:
    """Write the bundle in force to a signed file for `bundle_path` of entry instances."""
    state_result = await read_stored_state(session.context, {})
    if not isinstance(state_result, Success):
        return state_result.failure()
    envelope = state_result.unwrap().head_envelope
    if envelope is None:
        return Outcome(ExitCode.REFUSED, "no bundle is in force")
    content, error = await _read_content_by_digest(session, envelope["content_digest"])
    if content is None:
        return error or Outcome(ExitCode.REFUSED, "the head has no content")
    body = encode_body(SignedBundle(envelope=envelope, content=content))
    verified = verify_body(body, session.settings["operator_keys"], None)
    if not isinstance(verified, Success):
        refusal = verified.failure()
        message = f"the head is refused: {refusal.fault.value}: {refusal.detail}"
        return Outcome(ExitCode.REFUSED, message)
    if write_error := _write_file(path, body):
        return write_error
    bundle = verified.unwrap()
    data = {"revision": bundle.revision, "digest": bundle.digest, "path": str(path)}
    return Outcome(ExitCode.OK, f"{path}: {describe_envelope(envelope)}", data)


async def dump(session: Session, instance: str | None) -> Outcome:
    """Return the state dump of the given instance, or of the first one that answers."""
    selected = [
        address
        for address in session.settings["instances"]
        if instance in (None, address["instance"])
    ]
    if not selected:
        known = ", ".join(a["instance"] for a in session.settings["instances"])
        message = f"--instance: found {instance!r}, allowed: {known}"
        return Outcome(ExitCode.INPUT, message)
    errors = []
    for address in selected:
        body = await session.fetch_ops(address, "/ops/v1/dump")
        if not isinstance(body, Success):
            errors.append(f"{address['instance']}: {body.failure()}")
            continue
        try:
            state = msgspec.json.decode(body.unwrap())
        except msgspec.DecodeError:
            errors.append(f"{address['instance']}: not JSON")
            continue
        formatted = msgspec.json.format(msgspec.json.encode(state).decode(), indent=2)
        return Outcome(ExitCode.OK, formatted, {"instance": address["instance"], "dump": state})
    return Outcome(ExitCode.UNREACHABLE, "; ".join(errors))
