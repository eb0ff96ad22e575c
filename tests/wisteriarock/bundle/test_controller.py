"""Tests of the distribution of bundles to one instance."""

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
from wisteriarock.bundle.const import KEY_CONTENT, KEY_ENVELOPE, KEY_HEAD, WATCH_ROLE
from wisteriarock.bundle.controller import BundleController
from wisteriarock.bundle.models import ActiveBundle, SignedBundle
from wisteriarock.bundle.signing import canonical_bytes, envelope_digest
from wisteriarock.bundle.verify import encode_body
from wisteriarock.membership.decide import rank_instances
from wisteriarock.platform.models import KeyValue

from tests.bundle_instance import start_instance
from tests.bundle_samples import sample_chain, sample_member, sample_settings
from tests.common import function_suite
from tests.platform_fake import FakePlatform
from tests.virtual_clock import VirtualClock

CHAIN = sample_chain(4)
DIGESTS = [envelope_digest(bundle["envelope"]) for bundle in CHAIN]


def publish(fake: FakePlatform, bundle: SignedBundle) -> None:
    """Write a bundle and the head to the fake as the command line does."""
    envelope = bundle["envelope"]
    digest = envelope_digest(envelope)
    texts = {
        KEY_CONTENT + envelope["content_digest"]: bundle["content"],
        KEY_ENVELOPE + digest: envelope,
        KEY_HEAD: {"revision": envelope["revision"], "digest": digest, "operation_id": "ann:x"},
    }
    for key, value in texts.items():
        old = fake.values.get(key)
        revision = old.revision + 1 if old else 1
        fake.values[key] = KeyValue(canonical_bytes(value).decode(), revision)


@dataclass
class Running:
    """A controller under test and what it used."""

    clock: VirtualClock
    platform: FakePlatform
    board: Blackboard
    controller: BundleController
    adopted: list[int]
    asked: list[str]
    bodies: dict[str, bytes] = field(default_factory=dict)

    def state(self) -> str:
        """Return the state of the state machine."""
        return str(self.controller.diagnostics()["distribution"]["state"])


@asynccontextmanager
async def running(bodies: dict[str, bytes] | None = None, **changes: Any) -> AsyncIterator[Running]:
    """Run a controller whose peers have the given bodies."""
    clock, fake = VirtualClock(), FakePlatform()
    adopted: list[int] = []
    asked: list[str] = []
    served = bodies or {}

    async def fetch_from_peer(instance: str, digest: str) -> Result[bytes, str]:
        asked.append(instance)
        await asyncio.sleep(0)
        return Success(served[digest]) if digest in served else Failure("not there")

    def on_bundle(bundle: ActiveBundle) -> None:
        adopted.append(bundle.revision)

    settings = sample_settings(**changes)
    instance = start_instance(settings, fake, clock, fetch_from_peer, on_bundle)
    board, controller, task = instance.board, instance.controller, instance.task
    try:
        yield Running(clock, fake, board, controller, adopted, asked, served)
        assert not task.done(), task.exception()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_watcher_takes_each_head_from_the_platform() -> None:
    """Guards against a head that is missed, a start without a bundle, a credential in the dump."""
    async with running() as run:
        assert not run.controller.ready_bundle()
        assert run.state() == "none"
        publish(run.platform, CHAIN[0])
        await run.clock.advance(4_000)
        publish(run.platform, CHAIN[1])
        await run.clock.advance(4_000)
        assert run.adopted == [1, 2]
        assert run.state() == "in_force"
        assert run.controller.ready_bundle()
        body = run.controller.bundle_body(DIGESTS[1])
        assert body == encode_body(CHAIN[1])
        assert run.controller.bundle_body(DIGESTS[0]) is not None
        assert run.controller.bundle_body("x") is None
        dump = str(run.controller.diagnostics())
        assert "'proposer': 'ann'" in dump
        assert CHAIN[0]["content"]["callers"]["mill"]["credential_sha256"] not in dump


async def test_other_instances_learn_from_peers_without_calls_to_the_platform() -> None:
    """Guards against load on the platform that grows with the number of instances."""
    async with running({DIGESTS[1]: encode_body(CHAIN[1])}) as run:
        run.platform.down = True
        ranked = rank_instances(WATCH_ROLE, ["e1", *(f"e{n}" for n in range(2, 20))])
        for name in ranked[:2]:
            run.board.members[name] = sample_member(name, "north", 1e9, 2, DIGESTS[1])
        assert not run.controller.diagnostics()["distribution"]["watches_platform"]
        run.controller.on_peer_head(ranked[0], 2, DIGESTS[1])
        await run.clock.advance(0)
        assert run.adopted == [2]
        assert run.asked == [ranked[0]]
        calls = len(run.platform.read_keys)
        await run.clock.advance(60_000)
        assert len(run.platform.read_keys) <= calls + 1


async def test_ready_only_when_as_new_as_the_neighbours() -> None:
    """Guards against a restarted instance that serves with an older bundle than its peers."""
    async with running({DIGESTS[0]: encode_body(CHAIN[0])}) as run:
        run.platform.down = True
        run.controller.on_peer_head("e2", 1, DIGESTS[0])
        await run.clock.advance(0)
        assert run.adopted == [1]
        assert not run.controller.ready_bundle(), "e3 has not been heard yet"
        run.controller.on_peer_head("e3", 2, DIGESTS[1])
        await run.clock.advance(1_000)
        assert not run.controller.ready_bundle()
        run.bodies[DIGESTS[1]] = encode_body(CHAIN[1])
        await run.clock.advance(900)
        run.controller.on_peer_head("e3", 2, DIGESTS[1])
        await run.clock.advance(4_000)
        assert run.adopted == [1, 2]
        assert run.controller.ready_bundle()
        run.controller.on_peer_head("e2", 3, DIGESTS[2])
        assert run.controller.ready_bundle(), "a roll-out must not take instances out of service"


async def test_older_forged_and_mismatched_heads_change_nothing() -> None:
    """Guards against a peer that makes an instance go back or take an unapproved bundle."""
    forged = encode_body(CHAIN[2]).replace(b'"proposer":"ann"', b'"proposer":"cy"')
    forged_digest = envelope_digest(msgspec.json.decode(forged)["envelope"])
    bodies = {
        DIGESTS[0]: encode_body(CHAIN[0]),
        DIGESTS[1]: encode_body(CHAIN[1]),
        DIGESTS[2]: encode_body(CHAIN[0]),
        forged_digest: forged,
    }
    async with running(bodies) as run:
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
        assert run.controller.ready_bundle(), "a refused head must not hold up the start"
        refused = run.controller.diagnostics()["distribution"]["refused_digests"]
        assert set(refused) == {DIGESTS[0], forged_digest}


async def test_one_unfetchable_head_does_not_hide_a_good_one() -> None:
    """Guards against one faulty peer that stops the distribution of bundles."""
    async with running({DIGESTS[0]: encode_body(CHAIN[0])}) as run:
        run.platform.down = True
        run.controller.on_peer_head("e2", 1_000, "f" * 64)
        run.controller.on_peer_head("e3", 1, DIGESTS[0])
        await run.clock.advance(0)
        assert run.adopted == [1]


async def test_a_long_outage_keeps_the_bundle_and_ends_quickly() -> None:
    """Guards against a bundle that is lost in an outage, and against a watch that never returns."""
    async with running() as run:
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


async def _with_file(text: bytes, use: Callable[[Running], Awaitable[None]]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bundle.json"
        path.write_bytes(text)
        async with running(bundle_path=str(path)) as run:
            await use(run)


async def test_file_is_the_last_resort_and_yields() -> None:
    """Guards against a file that is preferred to a live source, unsigned, or never replaced."""

    async def platform_has_one(run: Running) -> None:
        publish(run.platform, CHAIN[2])
        await run.clock.advance(5_000)
        assert run.adopted == [3]

    async def nothing_else(run: Running) -> None:
        run.platform.down = True
        await run.clock.advance(1_000)
        assert run.adopted == []
        await run.clock.advance(1_000)
        assert run.adopted == [1]
        assert run.controller.ready_bundle()
        publish(run.platform, CHAIN[2])
        run.platform.down = False
        await run.clock.advance(8_000)
        assert run.adopted == [1, 3]

    async def unsigned(run: Running) -> None:
        await run.clock.advance(10_000)
        assert run.adopted == []
        assert "half_signed" in str(run.controller.diagnostics())

    await _with_file(encode_body(CHAIN[1]), platform_has_one)
    await _with_file(encode_body(CHAIN[0]), nothing_else)
    signature = CHAIN[0]["envelope"]["approver_signature"].encode()
    await _with_file(encode_body(CHAIN[0]).replace(signature, b""), unsigned)


load_tests = function_suite(globals())
