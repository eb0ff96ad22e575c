"""Keep the newest verified bundle in force, without the data path ever waiting for it."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from returns.result import Result, Success

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.codec.decode import decode
from wisteriarock.membership.decide import live_members
from wisteriarock.observability.logs import log_event
from wisteriarock.observability.metrics import Metrics
from wisteriarock.platform.client import PlatformClient
from wisteriarock.platform.models import PlatformError

from .const import (
    FILE_WAIT_MS,
    FORGET_PEER_MS,
    HEAD_KEY,
    MAX_BODY_BYTES,
    MAX_REFUSED,
    SLICE_MS,
    WATCH_WAIT_MS,
)
from .diagnostics import describe_bundle, describe_distribution
from .fetch import FetchFromPeer, body_from_platform, read_bundle_file
from .models import (
    ActiveBundle,
    BundleFault,
    BundleRefusal,
    BundleSource,
    Head,
    HeadClaim,
    PeerHead,
    SignedBundle,
)
from .progress import BundleState, create_progress
from .spread import (
    adopt,
    backoff_ms,
    is_watcher,
    live_heads,
    source_order,
    wanted_heads,
)
from .verify import encode_body, verify_steps

OnBundle = Callable[[ActiveBundle], None]


class BundleController(NamedTuple):
    """Closures of the bundle controller.

    `run()` works until it is cancelled. `on_peer_head(instance, revision, digest)` takes what a
    heartbeat says. `bundle_body(digest)` returns the JSON of envelope and content for peers.
    `is_bundle_ready()` is the condition for an instance to become ready: a bundle in force at least
    as new as every live peer's, with each configured peer heard or silent for the time after
    which it is suspected, or with the platform's head read. Once true it stays true.
    `diagnostics()` is a part of the dump.
    """

    run: Callable[[], Coroutine[Any, Any, None]]
    on_peer_head: Callable[[str, int, str], None]
    bundle_body: Callable[[str], bytes | None]
    is_bundle_ready: Callable[[], bool]
    diagnostics: Callable[[], dict[str, Any]]


@dataclass
class _Distribution:
    """What this instance knows about heads; `head_revision` is that of the platform's key."""

    started_at_ms: float
    peers: dict[str, PeerHead] = field(default_factory=dict)
    platform_claim: HeadClaim | None = None
    platform_read: bool = False
    head_revision: int = 0
    refused: dict[str, None] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    source: BundleSource = BundleSource.NONE
    failures: int = 0
    last_refusal: str = ""
    was_ready: bool = False


def create_bundle_controller(
    board: Blackboard,
    platform: PlatformClient,
    fetch_from_peer: FetchFromPeer,
    metrics: Metrics,
    now_ms: Callable[[], float],
    rng: random.Random,
    on_bundle: OnBundle,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> BundleController:
    """Return the controller that owns `board.bundle` and `board.head_seen`.

    Parameters
    ----------
    board : Blackboard
        State of the process.
    platform : PlatformClient
        Client of the platform.
    fetch_from_peer : callable
        Takes instance and envelope digest; returns a body or a text that says what failed.
    metrics : Metrics
        Metrics of the process.
    now_ms : callable
        Monotonic clock in milliseconds.
    rng : random.Random
        Source of jitter and of the order of peers.
    on_bundle : callable
        Called with each bundle that comes into force.
    sleep : callable
        Takes seconds.

    Returns
    -------
    BundleController
        Its closures.
    """
    settings = board.settings
    tunables = settings.tunables
    state = _Distribution(started_at_ms=now_ms())
    progress, machine = create_progress()
    wake = asyncio.Event()

    def own_zone() -> set[str]:
        live = live_members(board.members, now_ms(), tunables.suspect_after_ms)
        return {name for name, member in live.items() if member.zone == settings.zone}

    def watching() -> bool:
        return is_watcher(settings.instance, own_zone() | {settings.instance})

    def peer_claims() -> dict[str, HeadClaim]:
        return live_heads(state.peers, now_ms(), tunables.suspect_after_ms)

    def claims() -> list[HeadClaim]:
        named = list(peer_claims().values())
        return [*named, state.platform_claim] if state.platform_claim else named

    def provisional() -> bool:
        return state.source is BundleSource.FILE

    def wanted() -> list[HeadClaim]:
        return wanted_heads(board.bundle, provisional(), claims(), state.refused)

    def note_head(claim: HeadClaim, operation_id: str) -> None:
        seen = board.head_seen["revision"] if board.head_seen else 0
        # Only the platform tells the operation id; its word replaces a peer's.
        if claim.revision > seen or (operation_id and claim.revision == seen):
            board.head_seen = Head(
                revision=claim.revision, digest=claim.digest, operation_id=operation_id
            )
        if board.bundle is None or provisional() or claim.revision > board.bundle.revision:
            wake.set()

    def on_peer_head(instance: str, revision: int, digest: str) -> None:
        claim, now = HeadClaim(revision, digest), now_ms()
        if instance not in state.peers:
            # Names of instances that were replaced must not pile up.
            oldest_ms = now - FORGET_PEER_MS
            state.peers = {n: p for n, p in state.peers.items() if p.heard_at_ms >= oldest_ms}
        state.peers[instance] = PeerHead(claim, now)
        if revision > 0:
            note_head(claim, "")

    def put_in_force(bundle: ActiveBundle, source: BundleSource) -> bool:
        """Adopt a verified bundle unless the one in force is as new."""
        decision = adopt(board.bundle, provisional(), bundle)
        if not isinstance(decision, Success):
            refuse(bundle.digest, decision.failure().value)
            return False
        board.bundle = bundle
        state.source = source
        body = encode_body(SignedBundle(envelope=bundle.envelope, content=bundle.content))
        # The previous body stays for peers that ask for it while they learn of the new one.
        state.bodies = dict([*list(state.bodies.items())[-1:], (bundle.digest, body)])
        metrics.bundle_revision.set(bundle.revision)
        log_event(
            "bundle_in_force", revision=bundle.revision, digest=bundle.digest, source=source.value
        )
        on_bundle(bundle)
        return True

    def refuse(digest: str, detail: str) -> None:
        state.refused[digest] = None
        while len(state.refused) > MAX_REFUSED:
            state.refused.pop(next(iter(state.refused)))
        note_refusal(digest, detail)

    def note_refusal(digest: str, detail: str) -> None:
        state.last_refusal = f"{digest[:12]}: {detail}"
        log_event("bundle_refused", digest=digest, reason=detail)

    async def verify(body: bytes, digest: str) -> Result[ActiveBundle, BundleRefusal]:
        """Verify a body and let queries run in between."""
        steps = verify_steps(body, settings.operator_keys, digest)
        started_ms = now_ms()
        while True:
            try:
                next(steps)
            except StopIteration as done:
                result: Result[ActiveBundle, BundleRefusal] = done.value
                return result
            if now_ms() - started_ms >= SLICE_MS:
                await asyncio.sleep(0)
                started_ms = now_ms()

    async def take_body(claim: HeadClaim, body: bytes, source: BundleSource, name: str) -> bool:
        """Verify a body and adopt it; tell whether the claim is settled either way."""
        machine.dispatch("verify")
        try:
            verified = await verify(body, claim.digest)
        except BaseException:
            machine.dispatch("abandon")
            raise
        if isinstance(verified, Success):
            adopted = put_in_force(verified.unwrap(), source)
            machine.dispatch("adopt" if adopted else "abandon")
            return True
        machine.dispatch("abandon")
        refusal: BundleRefusal = verified.failure()
        if refusal.fault is BundleFault.WRONG_BODY:
            note_refusal(claim.digest, f"{name}: {refusal.detail}")
            return False
        refuse(claim.digest, refusal.detail)
        return True

    async def fetch(claim: HeadClaim) -> bool:
        """Try each source of a head until one settles it."""
        near, far = source_order(claim, peer_claims(), own_zone(), rng)
        from_platform = [""] if claim == state.platform_claim else []
        for name in [*near, *from_platform, *far]:
            machine.dispatch("fetch")
            try:
                if name:
                    body = await fetch_from_peer(name, claim.digest)
                else:
                    body = await body_from_platform(platform, claim.digest)
            except BaseException:
                machine.dispatch("abandon")
                raise
            if not isinstance(body, Success):
                machine.dispatch("abandon")
                note_refusal(claim.digest, body.failure())
                continue
            source = BundleSource.PEER if name else BundleSource.PLATFORM
            if await take_body(claim, body.unwrap(), source, name or "platform"):
                return True
        return False

    async def adopt_heads() -> None:
        while True:
            heads = wanted()
            if not heads:
                wake.clear()
                await wake.wait()
                continue
            for claim in heads:
                if await fetch(claim):
                    state.failures = 0
                    break
            else:
                state.failures += 1
                await sleep(backoff_ms(state.failures, rng) / 1000)

    def take_head(text: str, key_revision: int) -> None:
        state.platform_read = True
        state.head_revision = key_revision
        decoded = decode(text.encode(), Head, MAX_BODY_BYTES)
        if not isinstance(decoded, Success):
            note_refusal("", f"platform, head: {decoded.failure().message}")
            return
        head = decoded.unwrap()
        claim = HeadClaim(head["revision"], head["digest"])
        if state.platform_claim is None or claim.revision > state.platform_claim.revision:
            state.platform_claim = claim
        note_head(claim, head["operation_id"])

    async def watch_head() -> None:
        failures = 0
        while True:
            alone = board.bundle is None and not peer_claims()
            if not (alone or watching()):
                await sleep(tunables.heartbeat_interval_ms / 1000)
                continue
            found = await platform.watch(HEAD_KEY, state.head_revision, WATCH_WAIT_MS)
            if isinstance(found, Success):
                failures = 0
                take_head(found.unwrap().value, found.unwrap().revision)
                continue
            error = found.failure()
            if error is PlatformError.NO_CHANGE:
                failures = 0
                state.platform_read = True
                continue
            if error is PlatformError.NOT_FOUND:
                state.platform_read = True
            failures += 1
            await sleep(backoff_ms(failures, rng) / 1000)

    async def use_file() -> None:
        if settings.bundle_path is None:
            return
        await sleep(FILE_WAIT_MS / 1000)
        # A fetch may be under way; if it fails, the file is used after it.
        while board.bundle is None and progress.state is not BundleState.NONE:
            await sleep(tunables.heartbeat_interval_ms / 1000)
        if board.bundle is not None:
            return
        read = read_bundle_file(settings.bundle_path, settings.operator_keys)
        if not isinstance(read, Success):
            note_refusal("", f"bundle file: {read.failure().detail}")
            return
        machine.dispatch("fetch")
        machine.dispatch("verify")
        machine.dispatch("adopt" if put_in_force(read.unwrap(), BundleSource.FILE) else "abandon")

    async def run() -> None:
        state.started_at_ms = now_ms()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(watch_head())
            tasks.create_task(adopt_heads())
            tasks.create_task(use_file())

    def bundle_body(digest: str) -> bytes | None:
        return state.bodies.get(digest)

    def is_bundle_ready() -> bool:
        # Stays true: a roll-out makes every instance older than some peer for a moment, and must
        # not take all of them out of the load balancer.
        state.was_ready = state.was_ready or is_ready_now()
        return state.was_ready

    def is_ready_now() -> bool:
        if board.bundle is None or wanted():
            return False
        if state.platform_read:
            return True
        waited_ms = now_ms() - state.started_at_ms
        return waited_ms >= tunables.suspect_after_ms or all(
            peer["instance"] in state.peers for peer in settings.peers
        )

    def diagnostics() -> dict[str, Any]:
        return {
            "in_force": describe_bundle(board.bundle),
            "distribution": describe_distribution(
                str(progress.state.value),
                state.source,
                board.head_seen,
                watching(),
                peer_claims(),
                list(state.refused),
                state.failures,
                state.last_refusal,
            ),
        }

    return BundleController(run, on_peer_head, bundle_body, is_bundle_ready, diagnostics)
