"""Read the status of instances and determine which ones lag, and why."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success
from wisteriarock.codec.decode import decode

from .const import MAX_REPLY_BYTES, REQUEST_TIMEOUT_MS, SILENT_AFTER_MS, ExitCode
from .fetch import fetch
from .models import InstanceAddress, MemberStatus, Outcome, StatusReply

FetchOps = Callable[[InstanceAddress, str], Awaitable[Result[bytes, str]]]


class LaggingInstance(NamedTuple):
    """An instance that does not have the wanted revision; `wait` ignores a silent one."""

    instance: str
    zone: str
    reason: str
    silent: bool


def create_ops_fetch(token: str) -> FetchOps:
    """Return a function that requests a path from the internal listener of an instance.

    Parameters
    ----------
    token : str
        The operator token; error texts never contain it.
    """
    headers = {"Authorization": f"Bearer {token}"}
    timeout_s = REQUEST_TIMEOUT_MS / 1000

    async def fetch_path(address: InstanceAddress, path: str) -> Result[bytes, str]:
        reply = await fetch(address["host"], address["port"], path, headers, timeout_s)
        if not isinstance(reply, Success):
            return Failure(reply.failure())
        status, body = reply.unwrap()
        return Success(body) if status == 200 else Failure(f"status {status}")

    return fetch_path


async def read_statuses(
    instances: list[InstanceAddress], fetch: FetchOps
) -> tuple[list[StatusReply], dict[str, str]]:
    """Request the status from one instance per zone, trying the next if one does not answer.

    Returns
    -------
    tuple
        Replies, and the error of each instance that did not answer.
    """
    errors: dict[str, str] = {}

    async def request_zone_status(zone: str) -> StatusReply | None:
        for address in instances:
            if address["zone"] != zone:
                continue
            body = await fetch(address, "/ops/v1/status")
            if not isinstance(body, Success):
                errors[address["instance"]] = body.failure()
                continue
            decoded = decode(body.unwrap(), StatusReply, MAX_REPLY_BYTES)
            if isinstance(decoded, Success):
                reply: StatusReply = decoded.unwrap()
                return reply
            errors[address["instance"]] = decoded.failure().message
        return None

    zones = sorted({address["zone"] for address in instances})
    replies = await asyncio.gather(*(request_zone_status(zone) for zone in zones))
    return [reply for reply in replies if reply is not None], errors


def merge_statuses(replies: list[StatusReply]) -> dict[str, MemberStatus]:
    """Return the most recent status of each instance; its own report counts as newest."""
    merged: dict[str, MemberStatus] = {}
    for reply in replies:
        own_status = MemberStatus(
            instance=reply["instance"],
            zone=reply["zone"],
            revision=reply["revision"],
            digest=reply["digest"],
            phase=reply["phase"],
            heard_ago_ms=0.0,
        )
        for member in [own_status, *reply["members"]]:
            known = merged.get(member["instance"])
            if known is None or member["heard_ago_ms"] < known["heard_ago_ms"]:
                merged[member["instance"]] = member
    return dict(sorted(merged.items()))


def find_lagging_instances(
    members: Mapping[str, MemberStatus],
    instances: list[InstanceAddress],
    errors: Mapping[str, str],
    revision: int,
    digest: str,
) -> list[LaggingInstance]:
    """Return the instances that do not have the wanted bundle, and why.

    Parameters
    ----------
    members : Mapping
        Merged status by instance.
    instances : list of InstanceAddress
        Instances listed in the settings.
    errors : Mapping
        Error by instance, for those that did not answer.
    revision : int
        The wanted revision.
    digest : str
        Envelope digest of the wanted revision, empty if unknown.
    """
    lagging = []
    for name, member in members.items():
        silent = member["heard_ago_ms"] > SILENT_AFTER_MS
        if member["revision"] > revision:
            continue
        if member["revision"] == revision and digest in ("", member["digest"]):
            continue
        description = (
            f"has revision {member['revision']}" if member["revision"] else "has no bundle"
        )
        if member["revision"] == revision:
            description = f"has revision {revision} with another digest"
        if silent:
            description += f", not heard from for {member['heard_ago_ms'] / 1000:.0f} s"
        elif member["phase"] != "ready":
            description += f", is {member['phase']}"
        lagging.append(LaggingInstance(name, member["zone"], description, silent))
    for address in instances:
        if address["instance"] not in members:
            reason = errors.get(address["instance"], "not known to any instance that answered")
            lagging.append(LaggingInstance(address["instance"], address["zone"], reason, True))
    return lagging


def zones_without_revision(
    members: Mapping[str, MemberStatus], instances: list[InstanceAddress], revision: int
) -> list[str]:
    """Return zones without a live instance that has the revision or a later one."""
    zones = {a["zone"] for a in instances} | {m["zone"] for m in members.values()}
    up_to_date_zones = {
        member["zone"]
        for member in members.values()
        if member["revision"] >= revision and member["heard_ago_ms"] <= SILENT_AFTER_MS
    }
    return sorted(zones - up_to_date_zones)


def status_outcome(
    members: Mapping[str, MemberStatus],
    lagging: list[LaggingInstance],
    head: tuple[int, str] | None,
    wanted_revision: int,
) -> Outcome:
    """Return the revisions per zone and instance as an outcome with a table."""
    zones: dict[str, dict[str, int]] = {}
    for name, member in members.items():
        zones.setdefault(member["zone"], {})[name] = member["revision"]
    data: dict[str, Any] = {
        "head": {"revision": head[0], "digest": head[1]} if head else None,
        "wanted_revision": wanted_revision,
        "zones": dict(sorted(zones.items())),
        "members": list(members.values()),
        "lags": [lag._asdict() for lag in lagging],
    }
    lines = [f"head: revision {head[0]}" if head else "head: not known"]
    for zone, revisions in sorted(zones.items()):
        listed = ", ".join(f"{name} {revision}" for name, revision in sorted(revisions.items()))
        lines.append(f"zone {zone}: {listed}")
    lines += [f"lags: {lag.instance} ({lag.zone}): {lag.reason}" for lag in lagging]
    if not members:
        return Outcome(ExitCode.UNREACHABLE, "no instance answered", data)
    return Outcome(ExitCode.OK, "\n".join(lines), data)
