"""Tests of propose, approve, roll forward and roll back on a faulty platform."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from wisteriactl.commands import roll_back, roll_forward
from wisteriactl.const import ExitCode
from wisteriactl.models import Outcome
from wisteriarock.bundle.const import CONTENT_KEY_PREFIX, HEAD_KEY
from wisteriarock.platform.models import KeyValue

from tests.bundle_samples import PRIVATE_KEYS
from tests.common import function_suite
from tests.platform_fake import FakePlatform, Fault
from tests.wisteriactl.fixtures import (
    approve_proposal,
    make_session,
    propose_sample,
    read_head,
    release_content,
)

Command = Callable[[FakePlatform], Awaitable[Outcome]]

COMMANDS: list[Command] = [
    lambda fake: propose_sample(make_session("ann", fake), 1, "bob"),
    lambda fake: approve_proposal(make_session("bob", fake)),
    lambda fake: roll_forward(make_session("ann", fake), None, ""),
]


async def test_a_bundle_comes_into_force_in_order_and_repeats_change_nothing() -> None:
    """Guards against a head that refers to unstored data, and repeats that write again."""
    fake = FakePlatform()
    for command in COMMANDS:
        outcome = await command(fake)
        assert outcome.code is ExitCode.OK, outcome
        writes = len(fake.written_keys)
        assert (await command(fake)).code is ExitCode.OK
        assert len(fake.written_keys) == writes
    order = ("content", "proposal", "envelope", "proposal", "head")
    assert tuple(key.split("/")[1] for key in fake.written_keys) == order
    assert read_head(fake)["revision"] == 1
    assert read_head(fake)["operation_id"].startswith("ann:")


async def test_a_repeated_command_completes_after_a_crash_before_any_write() -> None:
    """Guards against a state between two writes from which a repeated command cannot continue."""
    for crash_at in range(5):
        fake = FakePlatform()
        write_attempts = 0

        def crash(_: str, crash_index: int = crash_at) -> None:
            nonlocal write_attempts
            write_attempts += 1
            if write_attempts == crash_index + 1:
                raise asyncio.CancelledError

        fake.before_write = crash
        for command in COMMANDS:
            try:
                outcome = await command(fake)
            except asyncio.CancelledError:
                outcome = await command(fake)
            assert outcome.code is ExitCode.OK, (crash_at, outcome)
        assert len(fake.written_keys) == 5
        assert read_head(fake)["revision"] == 1


async def test_a_write_with_a_lost_reply_is_confirmed_by_reading_back() -> None:
    """Guards against a lost reply that is reported as a failure, or a write applied twice."""
    for fault in (Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE, Fault.DOWN):
        for faulty_write in range(5):
            await _run_with_one_fault(fault, faulty_write)


async def _run_with_one_fault(fault: Fault, faulty_write: int) -> None:
    fake = FakePlatform()
    write_attempts = 0

    def inject_fault(_: str) -> None:
        nonlocal write_attempts
        fake.apply_delayed_writes()
        if write_attempts == faulty_write:
            fake.faults.append(fault)
        write_attempts += 1

    fake.before_write = inject_fault
    for command in COMMANDS:
        outcome = await command(fake)
        fake.apply_delayed_writes()
        assert outcome.code is ExitCode.OK, (fault, faulty_write, outcome)
    assert "yours took effect" in outcome.message
    assert len(fake.written_keys) == 5, (fault, faulty_write, fake.written_keys)


async def test_an_outage_after_a_write_leaves_it_not_yet_known_until_repeated() -> None:
    """Guards against reporting a failed write when the write took effect."""
    fake = FakePlatform()
    for command in COMMANDS[:2]:
        await command(fake)

    def lose_and_fail(key: str) -> None:
        fake.faults = [Fault.LOST_REPLY, *[Fault.DOWN] * 100]

    fake.before_write = lose_and_fail
    outcome = await COMMANDS[2](fake)
    assert outcome.code is ExitCode.NOT_YET_KNOWN
    assert "not yet known" in outcome.message
    fake.faults, fake.before_write = [], None
    outcome = await COMMANDS[2](fake)
    assert outcome.code is ExitCode.OK
    assert "yours took effect" in outcome.message
    fake.down = True
    assert (await COMMANDS[2](fake)).code is ExitCode.UNREACHABLE


async def test_one_of_two_racing_bundles_wins_and_the_other_is_a_conflict() -> None:
    """Guards against two heads of one revision, and a conflict that does not name both bundles."""
    for fault in (Fault.NONE, Fault.LOST_REPLY, Fault.LOST_REQUEST):
        for later_bundles in (0, 2):
            await _race(fault, later_bundles)


async def _race(fault: Fault, later_bundles: int) -> None:
    """Let cy move the head, and release further bundles, just before ann's faulty write."""
    fake = FakePlatform()
    for proposer, cost in (("ann", 1), ("cy", 2)):
        assert (await propose_sample(make_session(proposer, fake), cost, "bob")).code is ExitCode.OK
        assert (await approve_proposal(make_session("bob", fake), proposer)).code is ExitCode.OK
    undecided = await roll_forward(make_session("ann", fake), None, "")
    assert undecided.code is ExitCode.CONFLICT
    assert len(undecided.data["candidates"]) == 2

    def let_cy_win(key: str) -> None:
        fake.before_write = None
        assert key == HEAD_KEY and key not in fake.values
        assert (
            _run_to_completion(roll_forward(make_session("cy", fake), "cy", "")).code is ExitCode.OK
        )
        for cost in range(3, 3 + later_bundles):
            _run_to_completion(release_content(fake, cost, "cy"))
        fake.faults = [fault]

    fake.before_write = let_cy_win
    outcome = await roll_forward(make_session("ann", fake), "ann", "")
    assert outcome.code is ExitCode.CONFLICT, (fault, outcome)
    assert "another's did" in outcome.message
    assert "proposed by cy" in outcome.message and "proposed by ann" in outcome.message
    assert read_head(fake)["operation_id"].startswith("cy:")
    assert outcome.data["theirs"]["revision"] == 1
    assert fake.written_keys.count(HEAD_KEY) == 1 + later_bundles


def _run_to_completion(command: Awaitable[Any]) -> Any:
    """Run a command to completion inside another one; on the fake platform it only yields."""
    steps = command.__await__()
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


async def test_a_write_is_recognised_after_the_head_has_moved_on() -> None:
    """Guards against "another's did" for an own bundle that was in force and then replaced."""
    fake = FakePlatform()
    for command in COMMANDS[:2]:
        await command(fake)

    def release_newer_bundles(key: str) -> None:
        fake.before_write = None
        assert _run_to_completion(COMMANDS[2](fake)).code is ExitCode.OK
        for cost in (2, 3):
            _run_to_completion(release_content(fake, cost))
        fake.faults = [Fault.LOST_REPLY]

    fake.before_write = release_newer_bundles
    outcome = await COMMANDS[2](fake)
    assert outcome.code is ExitCode.OK, outcome
    assert "yours took effect" in outcome.message and "revision 3" in outcome.message


async def test_a_proposal_against_an_older_head_is_a_conflict() -> None:
    """Guards against a content that silently reverts a bundle accepted in the meantime."""
    fake = FakePlatform()
    await release_content(fake, 1)

    def release_newer_bundle(key: str) -> None:
        fake.before_write = None
        _run_to_completion(release_content(fake, 2, "cy"))

    fake.before_write = release_newer_bundle
    outcome = await propose_sample(make_session("ann", fake), 3, "bob")
    assert outcome.code is ExitCode.CONFLICT
    assert "proposed by cy" in outcome.message
    stale = await propose_sample(make_session("ann", fake), 3, "bob", base=1)
    assert stale.code is ExitCode.CONFLICT
    again = await propose_sample(make_session("ann", fake), 3, "bob", base=2)
    assert again.code is ExitCode.OK
    other = await propose_sample(make_session("ann", fake), 4, "bob")
    assert other.code is ExitCode.CONFLICT
    assert (
        await propose_sample(make_session("ann", fake), 4, "bob", replace=True)
    ).code is ExitCode.OK


async def test_approval_binds_to_what_the_approver_saw() -> None:
    """Guards against approval of a proposal that was replaced meanwhile, and self-approval."""
    fake = FakePlatform()
    proposed = await propose_sample(make_session("ann", fake), 1, "bob")
    for operator in ("ann", "cy"):
        assert (await approve_proposal(make_session(operator, fake))).code is ExitCode.REFUSED
    assert (await roll_forward(make_session("ann", fake), None, "")).code is ExitCode.REFUSED
    assert (
        await approve_proposal(make_session("bob", fake), None, "0" * 64)
    ).code is ExitCode.REFUSED

    def replace_proposal(key: str) -> None:
        fake.before_write = None
        assert (
            _run_to_completion(
                propose_sample(make_session("ann", fake), 9, "bob", replace=True)
            ).code
            is ExitCode.OK
        )

    fake.before_write = replace_proposal
    outcome = await approve_proposal(
        make_session("bob", fake), None, proposed.data["content_digest"]
    )
    assert outcome.code is ExitCode.CONFLICT, outcome
    assert (await roll_forward(make_session("ann", fake), None, "")).code is ExitCode.REFUSED
    key = next(k for k in fake.values if k.startswith("bundle/proposal/"))
    fake.values[key] = KeyValue(fake.values[key].value.replace('"bob"', '"cy"'), 9)
    tampered = await approve_proposal(make_session("cy", fake))
    assert tampered.code is ExitCode.REFUSED
    assert "invalid_signature" in tampered.message


async def test_damaged_content_is_neither_approved_nor_rolled_forward() -> None:
    """Guards against a head whose content no instance accepts."""
    fake = FakePlatform()
    proposed = await propose_sample(make_session("ann", fake), 1, "bob")
    key = CONTENT_KEY_PREFIX + proposed.data["content_digest"]
    good = fake.values[key]
    fake.values[key] = KeyValue(good.value.replace("20.0", "21.0"), 2)
    assert (await approve_proposal(make_session("bob", fake))).code is ExitCode.REFUSED
    fake.values[key] = good
    assert (await approve_proposal(make_session("bob", fake))).code is ExitCode.OK
    del fake.values[key]
    assert (await roll_forward(make_session("ann", fake), None, "")).code is ExitCode.REFUSED
    assert HEAD_KEY not in fake.values


async def test_roll_back_is_a_new_revision_with_old_content() -> None:
    """Guards against a head whose revision decreases, and a roll back without an approver."""
    fake = FakePlatform()
    for cost in (1, 2, 3):
        await release_content(fake, cost)
    operator_session = make_session("ann", fake)
    outcome = await roll_back(operator_session, PRIVATE_KEYS["ann"], 1, "bob", False)
    assert outcome.code is ExitCode.OK
    assert outcome.data["revision"] == 4
    assert outcome.data["diff"] == ["~ callers.mill.cost_per_s: 3.0 -> 1.0"]
    assert read_head(fake)["revision"] == 3
    for command in COMMANDS[1:]:
        assert (await command(fake)).code is ExitCode.OK
    assert read_head(fake)["revision"] == 4
    missing = await roll_back(make_session("ann", fake), PRIVATE_KEYS["ann"], 9, "bob", False)
    assert missing.code is ExitCode.INPUT


load_tests = function_suite(globals())
