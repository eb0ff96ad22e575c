"""The commands, apart from arguments and printing."""

import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success
from wisteriarock.bundle.const import KEY_CONTENT
from wisteriarock.bundle.diff import diff_contents
from wisteriarock.bundle.models import BundleContent, Envelope, SignedBundle
from wisteriarock.bundle.signing import (
    canonical_bytes,
    content_digest,
    generate_key,
    private_key_to_pem,
    public_key_text,
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
    """Settings of the operator and the ways to reach platform and instances."""

    settings: CtlSettingsFile
    context: PlatformContext
    fetch_ops: FetchOps


def _create_signer(operator: str, key: Ed25519PrivateKey) -> SignEnvelope:
    def sign(envelope: Envelope) -> Envelope:
        return sign_envelope(envelope, operator, key)

    return sign


def keygen(path: Path) -> Outcome:
    """Write a new private key that only its owner may read, and show the public key."""
    key = generate_key()
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(descriptor, "wb") as file:
            file.write(private_key_to_pem(key))
    except FileExistsError:
        return Outcome(ExitCode.CONFLICT, f"{path}: exists and is not replaced")
    except OSError as error:
        return Outcome(ExitCode.INPUT, f"{path}: not writable: {error.strerror}")
    public = public_key_text(key)
    return Outcome(ExitCode.OK, public, {"key_path": str(path), "public_key": public})


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
    """Return the content of the head; None before the first bundle."""
    read = await read_stored_state(session.context, {})
    if not isinstance(read, Success):
        return None, read.failure()
    head = read.unwrap().head_envelope
    if head is None:
        return None, None
    return await _read_content_by_digest(session, head["content_digest"])


async def _read_content_by_digest(
    session: Session, digest: str
) -> tuple[BundleContent | None, Outcome | None]:
    found = await read_key(session.context, KEY_CONTENT + digest)
    if not isinstance(found, Success):
        return None, found.failure()
    content = decode_content(found.unwrap(), digest)
    if content is None:
        message = f"the platform's content {digest} is missing or not valid"
        return None, Outcome(ExitCode.REFUSED, message)
    return content, None


async def diff_with_head(session: Session, path: Path) -> Outcome:
    """Compare the content in force with a file."""
    new = load_content(path)
    if not isinstance(new, Success):
        return new.failure()
    old, error = await _read_head_content(session)
    return error or _diff_outcome(old, new.unwrap())


def choose_approver(settings: CtlSettingsFile, named: str | None) -> str | Outcome:
    """Return the approver: the one named, the usual one, or the only other operator."""
    operator = settings["operator"]
    others = sorted(set(settings["operator_keys"]) - {operator})
    approver = named or settings.get("approver") or (others[0] if len(others) == 1 else None)
    if approver is None or approver not in others:
        found = f"found {approver!r}" if approver else "none is named"
        message = f"--approver: {found}, allowed: {', '.join(others) or 'another operator'}"
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
    """Write content and half-signed proposal for the revision after the head."""
    chosen = choose_approver(session.settings, approver)
    if isinstance(chosen, Outcome):
        return chosen
    operator = session.settings["operator"]
    intent = ProposeIntent(content, operator, chosen, _create_signer(operator, key), replace, base)
    return await run_steps(
        session.context,
        session.settings["operator_keys"],
        lambda state, pinned: decide_propose(intent, state, pinned),
    )


async def roll_back(
    session: Session, key: Ed25519PrivateKey, revision: int, approver: str | None, replace: bool
) -> Outcome:
    """Propose the content of an older revision as the next one."""
    read = await read_stored_state(session.context, {})
    if not isinstance(read, Success):
        return read.failure()
    older = await read_ancestor(session.context, read.unwrap(), revision)
    if not isinstance(older, Success):
        return older.failure()
    content, error = await _read_content_by_digest(session, older.unwrap()["content_digest"])
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
    # One attempt: the instances tell their revisions while the platform is down.
    read = await read_stored_state(session.context._replace(deadline_ms=0), {})
    head = read.unwrap().head if isinstance(read, Success) else None
    return (head["revision"], head["digest"]) if head else None


async def status(session: Session) -> Outcome:
    """Show the revision of each zone and instance, who lags, and why."""
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
    """Wait until every instance that is heard, and each zone, has a revision."""
    instances = session.settings["instances"]
    deadline_ms = now_ms() + timeout_s * 1000
    shown = ""
    while True:
        replies, errors = await read_statuses(instances, session.fetch_ops)
        members = merge_statuses(replies)
        lagging = find_lagging_instances(members, instances, errors, revision, "")
        waiting = [lag for lag in lagging if not lag.silent]
        zones = zones_without_revision(members, instances, revision)
        found = status_outcome(members, lagging, None, revision)
        if members and not waiting and not zones:
            message = f"revision {revision} is in force in every zone"
            return Outcome(ExitCode.OK, message, found.data)
        parts = [f"{lag.instance} {lag.reason}" for lag in waiting]
        parts += [f"zone {zone} has no instance with it" for zone in zones]
        text = "; ".join(parts) if members else "no instance answered"
        if now_ms() >= deadline_ms:
            code = ExitCode.NOT_YET_KNOWN if members else ExitCode.UNREACHABLE
            return Outcome(code, f"not yet: {text}", found.data)
        if text != shown:
            session.context.report_progress(f"waiting: {text}")
            shown = text
        await sleep(POLL_INTERVAL_S)


def _write_file(path: Path, body: bytes) -> Outcome | None:
    """Write a file beside the path, then move it there, so that no reader sees half of it."""
    part = path.with_name(path.name + ".part")
    try:
        part.write_bytes(body)
        part.replace(path)
    except OSError as error:
        return Outcome(ExitCode.INPUT, f"{path}: not writable: {error.strerror}")
    return None


async def export(session: Session, path: Path) -> Outcome:
    """Write the bundle in force as a signed file for the `bundle_path` of entry instances."""
    read = await read_stored_state(session.context, {})
    if not isinstance(read, Success):
        return read.failure()
    envelope = read.unwrap().head_envelope
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
    if failed := _write_file(path, body):
        return failed
    bundle = verified.unwrap()
    data = {"revision": bundle.revision, "digest": bundle.digest, "path": str(path)}
    return Outcome(ExitCode.OK, f"{path}: {describe_envelope(envelope)}", data)


async def dump(session: Session, instance: str | None) -> Outcome:
    """Show the state dump of an instance, the first that answers if none is named."""
    named = [
        address
        for address in session.settings["instances"]
        if instance in (None, address["instance"])
    ]
    if not named:
        known = ", ".join(a["instance"] for a in session.settings["instances"])
        message = f"--instance: found {instance!r}, allowed: {known}"
        return Outcome(ExitCode.INPUT, message)
    errors = []
    for address in named:
        body = await session.fetch_ops(address, "/ops/v1/dump")
        if not isinstance(body, Success):
            errors.append(f"{address['instance']}: {body.failure()}")
            continue
        try:
            state = msgspec.json.decode(body.unwrap())
        except msgspec.DecodeError:
            errors.append(f"{address['instance']}: not JSON")
            continue
        text = msgspec.json.format(msgspec.json.encode(state).decode(), indent=2)
        return Outcome(ExitCode.OK, text, {"instance": address["instance"], "dump": state})
    return Outcome(ExitCode.UNREACHABLE, "; ".join(errors))
