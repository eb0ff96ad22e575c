"""Fetch, verify and activate new bundles without blocking the data path."""

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
    FILE_FALLBACK_DELAY_MS,
    HEAD_KEY,
    MAX_BODY_BYTES,
    MAX_REFUSED_DIGESTS,
    PEER_HEAD_EXPIRY_MS,
    VERIFY_SLICE_MS,
    WATCH_WAIT_MS,
)
from .diagnostics import describe_bundle, describe_distribution
from .fetch import FetchFromPeer, fetch_body_from_platform, read_bundle_file
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
    backoff_ms,
    decide_adoption,
    is_watcher,
    live_peer_claims,
    rank_candidate_heads,
    select_peers,
)
from .verify import encode_body, verify_body_in_steps

OnBundle = Callable[[ActiveBundle], None]


class BundleController(NamedTuple):
    """Functions of the bundle controller.

    `run()` runs until it is cancelled. `on_peer_head(instance, revision, digest)` processes the
    head that a heartbeat reports. `get_bundle_body(digest)` returns the JSON of envelope and
    content for peers.

    `is_bundle_ready()` returns whether the bundle allows the instance to become ready: it must be
    at least as new as that of every live peer. In addition, each configured peer must have sent
    a heartbeat, or `suspect_after_ms` must have passed since the start, or the platform's head
    must have been read. Once true, it stays true.

    `diagnostics()` returns the bundle section of the state dump.
    """

    run: Callable[[], Coroutine[Any, Any, None]]
    on_peer_head: Callable[[str, int, str], None]
    get_bundle_body: Callable[[str], bytes | None]
    is_bundle_ready: Callable[[], bool]
    diagnostics: Callable[[], dict[str, Any]]


@dataclass
class _DistributionState:
    """Known heads, cached bodies and refusals of this instance.

    `head_key_revision` is the revision of the platform key `bundle/head`, not of a bundle.
    """

    started_at_ms: float
    peers: dict[str, PeerHead] = field(default_factory=dict)
    platform_claim: HeadClaim | None = None
    platform_head_read: bool = False
    head_key_revision: int = 0
    refused_digests: dict[str, None] = field(default_factory=dict)
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
    """Create the controller, which is the only writer of `board.bundle` and `board.head_seen`.

    Parameters
    ----------
    board : Blackboard
        State of the process.
    platform : PlatformClient
        Client of the platform.
    fetch_from_peer : callable
        Takes an instance and an envelope digest; returns a body or an error message.
    metrics : Metrics
        Metrics of the process.
    now_ms : callable
        Monotonic clock in milliseconds.
    rng : random.Random
        Random source for jitter and for the order of peers.
    on_bundle : callable
        Called with each bundle that becomes active.
    sleep : callable
        Suspends the caller; takes seconds.

    Returns
    -------
    BundleController
        The functions of the controller.
    """
    settings = board.settings
    tunables = settings.tunables
    state = _DistributionState(started_at_ms=now_ms())
    progress, machine = create_progress()
    wake = asyncio.Event()

    def own_zone_members() -> set[str]:
        live = live_members(board.members, now_ms(), tunables.suspect_after_ms)
        return {name for name, member in live.items() if member.zone == settings.zone}

    def is_watching() -> bool:
        return is_watcher(settings.instance, own_zone_members() | {settings.instance})

    def peer_claims() -> dict[str, HeadClaim]:
        return live_peer_claims(state.peers, now_ms(), tunables.suspect_after_ms)

    def known_claims() -> list[HeadClaim]:
        reported_claims = list(peer_claims().values())
        return [*reported_claims, state.platform_claim] if state.platform_claim else reported_claims

    def is_provisional() -> bool:
        return state.source is BundleSource.FILE

    def candidate_heads() -> list[HeadClaim]:
        return rank_candidate_heads(
            board.bundle, is_provisional(), known_claims(), state.refused_digests
        )

    def record_head(claim: HeadClaim, operation_id: str) -> None:
        seen_revision = board.head_seen["revision"] if board.head_seen else 0
        # Only the platform reports the operation id, so its head replaces a peer's of the same
        # revision.
        if claim.revision > seen_revision or (operation_id and claim.revision == seen_revision):
            board.head_seen = Head(
                revision=claim.revision, digest=claim.digest, operation_id=operation_id
            )
        if board.bundle is None or is_provisional() or claim.revision > board.bundle.revision:
            wake.set()

    def on_peer_head(instance: str, revision: int, digest: str) -> None:
        claim, now = HeadClaim(revision, digest), now_ms()
        if instance not in state.peers:
            # Remove replaced instances so that the dictionary does not grow without bound.
            oldest_ms = now - PEER_HEAD_EXPIRY_MS
            state.peers = {n: p for n, p in state.peers.items() if p.received_at_ms >= oldest_ms}
        state.peers[instance] = PeerHead(claim, now)
        if revision > 0:
            record_head(claim, "")

    def activate_bundle(bundle: ActiveBundle, source: BundleSource) -> bool:
        """Activate a verified bundle if `decide_adoption` accepts it."""
        decision = decide_adoption(board.bundle, is_provisional(), bundle)
        if not isinstance(decision, Success):
            refuse_digest(bundle.digest, decision.failure().value)
            return False
        board.bundle = bundle
        state.source = source
        body = encode_body(SignedBundle(envelope=bundle.envelope, content=bundle.content))
        # Keep the previous body for peers that still request it during the rollout.
        state.bodies = dict([*list(state.bodies.items())[-1:], (bundle.digest, body)])
        metrics.bundle_revision.set(bundle.revision)
        log_event(
            "bundle_in_force", revision=bundle.revision, digest=bundle.digest, source=source.value
        )
        on_bundle(bundle)
        return True

    def refuse_digest(digest: str, detail: str) -> None:
        state.refused_digests[digest] = None
        while len(state.refused_digests) > MAX_REFUSED_DIGESTS:
            state.refused_digests.pop(next(iter(state.refused_digests)))
        record_refusal(digest, detail)

    def record_refusal(digest: str, detail: str) -> None:
        state.last_refusal = f"{digest[:12]}: {detail}"
        log_event("bundle_refused", digest=digest, reason=detail)

    async def verify(body: bytes, digest: str) -> Result[ActiveBundle, BundleRefusal]:
        """Verify a body, yielding to the event loop after each time slice."""
        steps = verify_body_in_steps(body, settings.operator_keys, digest)
        started_at_ms = now_ms()
        while True:
            try:
                next(steps)
            except StopIteration as done:
                result: Result[ActiveBundle, BundleRefusal] = done.value
                return result
            if now_ms() - started_at_ms >= VERIFY_SLICE_MS:
                await asyncio.sleep(0)
                started_at_ms = now_ms()

    async def process_body(
        claim: HeadClaim, body: bytes, source: BundleSource, source_name: str
    ) -> bool:
        """Verify a body and activate its bundle.

        Return whether the head needs no other source: its bundle was adopted or refused for good.
        False means that the source returned a wrong body.
        """
        machine.dispatch("verify")
        try:
            verified = await verify(body, claim.digest)
        except BaseException:
            machine.dispatch("abandon")
            raise
        if isinstance(verified, Success):
            adopted = activate_bundle(verified.unwrap(), source)
            machine.dispatch("adopt" if adopted else "abandon")
            return True
        machine.dispatch("abandon")
        refusal: BundleRefusal = verified.failure()
        if refusal.fault is BundleFault.WRONG_BODY:
            record_refusal(claim.digest, f"{source_name}: {refusal.detail}")
            return False
        refuse_digest(claim.digest, refusal.detail)
        return True

    async def fetch_head(claim: HeadClaim) -> bool:
        """Try each source of a head until its bundle is adopted or refused."""
        zone_peers, other_peers = select_peers(claim, peer_claims(), own_zone_members(), rng)
        from_platform = [""] if claim == state.platform_claim else []
        for name in [*zone_peers, *from_platform, *other_peers]:
            machine.dispatch("fetch")
            try:
                if name:
                    body = await fetch_from_peer(name, claim.digest)
                else:
                    body = await fetch_body_from_platform(platform, claim.digest)
            except BaseException:
                machine.dispatch("abandon")
                raise
            if not isinstance(body, Success):
                machine.dispatch("abandon")
                record_refusal(claim.digest, body.failure())
                continue
            source = BundleSource.PEER if name else BundleSource.PLATFORM
            if await process_body(claim, body.unwrap(), source, name or "platform"):
                return True
        return False

    async def adopt_heads() -> None:
        while True:
            heads = candidate_heads()
            if not heads:
                wake.clear()
                await wake.wait()
                continue
            for claim in heads:
                if await fetch_head(claim):
                    state.failures = 0
                    break
            else:
                state.failures += 1
                await sleep(backoff_ms(state.failures, rng) / 1000)

    def apply_platform_head(text: str, key_revision: int) -> None:
        state.platform_head_read = True
        state.head_key_revision = key_revision
        decoded = decode(text.encode(), Head, MAX_BODY_BYTES)
        if not isinstance(decoded, Success):
            record_refusal("", f"platform, head: {decoded.failure().message}")
            return
        head = decoded.unwrap()
        claim = HeadClaim(head["revision"], head["digest"])
        if state.platform_claim is None or claim.revision > state.platform_claim.revision:
            state.platform_claim = claim
        record_head(claim, head["operation_id"])

    async def watch_head() -> None:
        failures = 0
        while True:
            has_no_source = board.bundle is None and not peer_claims()
            if not (has_no_source or is_watching()):
                await sleep(tunables.heartbeat_interval_ms / 1000)
                continue
            watch_result = await platform.watch(HEAD_KEY, state.head_key_revision, WATCH_WAIT_MS)
            if isinstance(watch_result, Success):
                failures = 0
                apply_platform_head(watch_result.unwrap().value, watch_result.unwrap().revision)
                continue
            error = watch_result.failure()
            if error is PlatformError.NO_CHANGE:
                failures = 0
                state.platform_head_read = True
                continue
            if error is PlatformError.NOT_FOUND:
                state.platform_head_read = True
            failures += 1
            await sleep(backoff_ms(failures, rng) / 1000)

    async def load_fallback_file() -> None:
        if settings.bundle_path is None:
            return
        await sleep(FILE_FALLBACK_DELAY_MS / 1000)
        # Wait for a fetch in progress; the file is used only if it fails.
        while board.bundle is None and progress.state is not BundleState.NONE:
            await sleep(tunables.heartbeat_interval_ms / 1000)
        if board.bundle is not None:
            return
        loaded = read_bundle_file(settings.bundle_path, settings.operator_keys)
        if not isinstance(loaded, Success):
            record_refusal("", f"bundle file: {loaded.failure().detail}")
            return
        machine.dispatch("fetch")
        machine.dispatch("verify")
        machine.dispatch(
            "adopt" if activate_bundle(loaded.unwrap(), BundleSource.FILE) else "abandon"
        )

    async def run() -> None:
        state.started_at_ms = now_ms()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(watch_head())
            tasks.create_task(adopt_heads())
            tasks.create_task(load_fallback_file())

    def get_bundle_body(digest: str) -> bytes | None:
        return state.bodies.get(digest)

    def is_bundle_ready() -> bool:
        # Stays true: during a rollout, every instance is briefly older than some peer, which must
        # not remove all instances from the load balancer.
        state.was_ready = state.was_ready or is_ready_now()
        return state.was_ready

    def is_ready_now() -> bool:
        if board.bundle is None or candidate_heads():
            return False
        if state.platform_head_read:
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
                is_watching(),
                peer_claims(),
                list(state.refused_digests),
                state.failures,
                state.last_refusal,
            ),
        }

    return BundleController(run, on_peer_head, get_bundle_body, is_bundle_ready, diagnostics)
