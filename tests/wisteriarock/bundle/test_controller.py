"""Tests of the bundle controller of one instance."""

import asyncio
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.const import CONTENT_KEY_PREFIX, ENVELOPE_KEY_PREFIX, HEAD_KEY, WATCH_ROLE
from wisteriarock.bundle.controller import BundleController
from wisteriarock.bundle.models import ActiveBundle, SignedBundle
from wisteriarock.bundle.signing import canonical_bytes, envelope_digest
from wisteriarock.bundle.verify import encode_body
from wisteriarock.membership.decide import rank_instances
from wisteriarock.platform.models import KeyValue

from tests.bundle_instance import start_bundle_instance
from tests.bundle_samples import make_bundle_chain, make_entry_settings, make_member
from tests.common import function_suite
from tests.platform_fake import FakePlatform
from tests.virtual_clock import VirtualClock

CHAIN = make_bundle_chain(4)
DIGESTS = [envelope_digest(bundle["envelope"]) for bundle in CHAIN]


def publish(fake: FakePlatform, bundle: SignedBundle) -> None:
    """Write a bundle and the head to the fake platform, as wisteriactl does."""
    envelope = bundle["envelope"]
    digest = envelope_digest(envelope)
    texts = {
        CONTENT_KEY_PREFIX + envelope["content_digest"]: bundle["content"],
        ENVELOPE_KEY_PREFIX + digest: envelope,
        HEAD_KEY: {"revision": envelope["revision"], "digest": digest, "operation_id": "ann:x"},
    }
    for key, value in texts.items():
        old = fake.values.get(key)
        revision = old.revision + 1 if old else 1
        fake.values[key] = KeyValue(canonical_bytes(value).decode(), revision)


@dataclass
class RunningController:
    """A controller under test, its dependencies and its recorded calls."""

    clock: VirtualClock
    platform: FakePlatform
    board: Blackboard
    controller: BundleController
    adopted: list[int]
    requested_peers: list[str]
    bodies: dict[str, bytes] = field(default_factory=dict)

    def state(self) -> str:
        """Return the state of the state machine."""
        return str(self.controller.diagnostics()["distribution"]["state"])


@asynccontextmanager
async def run_controller(
    bodies: dict[str, bytes] | None = None, **changes: Any
) -> AsyncIterator[RunningController]:
    """Run a controller with peers that serve the given bodies."""
    clock, fake = VirtualClock(), FakePlatform()
    adopted: list[int] = []
    requested_peers: list[str] = []
    served = bodies or {}

    async def fetch_from_peer(instance: str, digest: str) -> Result[bytes, str]:
        requested_peers.append(instance)
        await asyncio.sleep(0)
        return Success(served[digest]) if digest in served else Failure("not there")

    def on_bundle(bundle: ActiveBundle) -> None:
        adopted.append(bundle.revision)

    settings = make_entry_settings(**changes)
    instance = start_bundle_instance(settings, fake, clock, fetch_from_peer, on_bundle)
    board, controller, task = instance.board, instance.controller, instance.task
    try:
        yield RunningController(clock, fake, board, controller, adopted, requested_peers, served)
        assert not task.done(), task.exception()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_watcher_adopts_each_platform_head() -> None:
    """Guards against a missed head, readiness without a bundle, and a credential in the dump."""
    async with run_controller() as run:
        assert not run.controller.is_bundle_ready()
        assert run.state() == "none"
        publish(run.platform, CHAIN[0])
        await run.clock.advance(4_000)
        publish(run.platform, CHAIN[1])
        await run.clock.advance(4_000)
        assert run.adopted == [1, 2]
        assert run.state() == "in_force"
        assert run.controller.is_bundle_ready()
        body = run.controller.get_bundle_body(DIGESTS[1])
        assert body == encode_body(CHAIN[1])
        assert run.controller.get_bundle_body(DIGESTS[0]) is not None
        assert run.controller.get_bundle_body("x") is None
        dump = str(run.controller.diagnostics())
        assert "'proposer': 'ann'" in dump
        assert CHAIN[0]["content"]["callers"]["mill"]["credential_sha256"] not in dump


async def test_other_instances_fetch_from_peers_without_platform_calls() -> None:
    """Guards against platform load that grows with the number of instances."""
    async with run_controller({DIGESTS[1]: encode_body(CHAIN[1])}) as run:
        run.platform.down = True
        ranked = rank_instances(WATCH_ROLE, ["e1", *(f"e{n}" for n in range(2, 20))])
        for name in ranked[:2]:
            run.board.members[name] = make_member(name, "north", 1e9, 2, DIGESTS[1])
        assert not run.controller.diagnostics()["distribution"]["watches_platform"]
        run.controller.on_peer_head(ranked[0], 2, DIGESTS[1])
        await run.clock.advance(0)
        assert run.adopted == [2]
        assert run.requested_peers == [ranked[0]]
        calls = len(run.platform.read_keys)
        await run.clock.advance(60_000)
        assert len(run.platform.read_keys) <= calls + 1


async def test_ready_only_with_the_newest_revision_of_live_peers() -> None:
    """Guards against a restarted instance that becomes ready with an outdated bundle."""
    async with run_controller({DIGESTS[0]: encode_body(CHAIN[0])}) as run:
        run.platform.down = True
        run.controller.on_peer_head("e2", 1, DIGESTS[0])
        await run.clock.advance(0)
        assert run.adopted == [1]
        assert not run.controller.is_bundle_ready(), "no heartbeat from e3 yet"
        run.controller.on_peer_head("e3", 2, DIGESTS[1])
        await run.clock.advance(1_000)
        assert not run.controller.is_bundle_ready()
        run.bodies[DIGESTS[1]] = encode_body(CHAIN[1])
        await run.clock.advance(900)
        run.controller.on_peer_head("e3", 2, DIGESTS[1])
        await run.clock.advance(4_000)
        assert run.adopted == [1, 2]
        assert run.controller.is_bundle_ready()
        run.controller.on_peer_head("e2", 3, DIGESTS[2])
        assert run.controller.is_bundle_ready(), "a rollout must not make instances unready"


async def test_older_forged_and_mismatched_heads_are_ignored() -> None:
    """Guards against a peer that causes a downgrade or the use of an unapproved bundle."""
    forged = encode_body(CHAIN[2]).replace(b'"proposer":"ann"', b'"proposer":"cy"')
    forged_digest = envelope_digest(msgspec.json.decode(forged)["envelope"])
    bodies = {
        DIGESTS[0]: encode_body(CHAIN[0]),
        DIGESTS[1]: encode_body(CHAIN[1]),
        DIGESTS[2]: encode_body(CHAIN[0]),
        forged_digest: forged,
    }
    async with run_controller(bodies) as run:
        run.platform.down = True
        run.controller.on_peer_head("e2", 2, DIGESTS[1])
        await run.clock.advance(0)
        for revision, digest in ((1, 0), (9, 0), (3, 2)):
            run.controller.on_peer_head("e2", revision, DIGESTS[digest])
            await run.clock.advance(5_000)
        run.controller.on_peer_head("e3", 3, forged_digest)
        await run.clock.advance(100)
        assert run.adopted == [2]
        assert run.state() == "in_force"
        assert run.controller.is_bundle_ready(), "a refused head must not delay readiness"
        refused = run.controller.diagnostics()["distribution"]["refused_digests"]
        assert set(refused) == {DIGESTS[0], forged_digest}


async def test_unfetchable_head_does_not_block_a_valid_one() -> None:
    """Guards against one faulty peer that blocks the distribution of bundles."""
    async with run_controller({DIGESTS[0]: encode_body(CHAIN[0])}) as run:
        run.platform.down = True
        run.controller.on_peer_head("e2", 1_000, "f" * 64)
        run.controller.on_peer_head("e3", 1, DIGESTS[0])
        await run.clock.advance(0)
        assert run.adopted == [1]


async def test_bundle_survives_a_long_outage_and_the_watch_resumes() -> None:
    """Guards against a bundle lost in a platform outage, and a watch that does not resume."""
    async with run_controller() as run:
        publish(run.platform, CHAIN[0])
        await run.clock.advance(1_000)
        run.platform.down = True
        await run.clock.advance(3_600_000)
        calls = len(run.platform.read_keys)
        assert calls < 3_600
        assert run.board.bundle is not None
        publish(run.platform, CHAIN[1])
        run.platform.down = False
        await run.clock.advance(8_000)
        assert run.adopted == [1, 2]


async def _run_with_bundle_file(
    text: bytes, check_adoption: Callable[[RunningController], Awaitable[None]]
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bundle.json"
        path.write_bytes(text)
        async with run_controller(bundle_path=str(path)) as run:
            await check_adoption(run)


async def test_bundle_file_is_the_last_resort_and_is_replaced() -> None:
    """Guards against a bundle file that overrides a live source, is unsigned or stays active."""

    async def platform_has_bundle(run: RunningController) -> None:
        publish(run.platform, CHAIN[2])
        await run.clock.advance(5_000)
        assert run.adopted == [3]

    async def no_other_source(run: RunningController) -> None:
        run.platform.down = True
        await run.clock.advance(1_000)
        assert run.adopted == []
        await run.clock.advance(1_000)
        assert run.adopted == [1]
        assert run.controller.is_bundle_ready()
        publish(run.platform, CHAIN[2])
        run.platform.down = False
        await run.clock.advance(8_000)
        assert run.adopted == [1, 3]

    async def unsigned(run: RunningController) -> None:
        await run.clock.advance(10_000)
        assert run.adopted == []
        assert "half_signed" in str(run.controller.diagnostics())

    await _run_with_bundle_file(encode_body(CHAIN[1]), platform_has_bundle)
    await _run_with_bundle_file(encode_body(CHAIN[0]), no_other_source)
    signature = CHAIN[0]["envelope"]["approver_signature"].encode()
    await _run_with_bundle_file(encode_body(CHAIN[0]).replace(signature, b""), unsigned)


load_tests = function_suite(globals())
