"""Tests of propose, approve, roll forward and roll back on a faulty platform."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from wisteriactl.commands import roll_back, roll_forward
from wisteriactl.const import ExitCode
from wisteriactl.models import Outcome
from wisteriarock.bundle.const import KEY_CONTENT, KEY_HEAD
from wisteriarock.platform.models import KeyValue

from tests.bundle_samples import KEYS
from tests.common import function_suite
from tests.platform_fake import FakePlatform, Fault
from tests.wisteriactl.fixtures import accept, do_approve, do_propose, head_of, session

Command = Callable[[FakePlatform], Awaitable[Outcome]]

COMMANDS: list[Command] = [
    lambda fake: do_propose(session("ann", fake), 1, "bob"),
    lambda fake: do_approve(session("bob", fake)),
    lambda fake: roll_forward(session("ann", fake), None, ""),
]


async def test_a_bundle_comes_into_force_in_order_and_repeats_change_nothing() -> None:
    """Guards against a head that names what is not stored yet, and commands that act twice."""
    fake = FakePlatform()
    for command in COMMANDS:
        outcome = await command(fake)
        assert outcome.code is ExitCode.OK, outcome
        writes = len(fake.written_keys)
        assert (await command(fake)).code is ExitCode.OK
        assert len(fake.written_keys) == writes
    order = ("content", "proposal", "envelope", "proposal", "head")
    assert tuple(key.split("/")[1] for key in fake.written_keys) == order
    assert head_of(fake)["revision"] == 1
    assert head_of(fake)["operation_id"].startswith("ann:")


async def test_a_crash_before_any_write_is_taken_up_by_the_same_command() -> None:
    """Guards against a state between two writes from which operators cannot go on."""
    for crash_at in range(5):
        fake = FakePlatform()
        done = 0

        def crash(_: str, at: int = crash_at) -> None:
            nonlocal done
            done += 1
            if done == at + 1:
                raise asyncio.CancelledError

        fake.before_write = crash
        for command in COMMANDS:
            try:
                outcome = await command(fake)
            except asyncio.CancelledError:
                outcome = await command(fake)
            assert outcome.code is ExitCode.OK, (crash_at, outcome)
        assert len(fake.written_keys) == 5
        assert head_of(fake)["revision"] == 1


async def test_a_write_with_a_lost_reply_is_settled_by_reading_back() -> None:
    """Guards against a lost reply that is taken for a failure, or a write that happens twice."""
    for fault in (Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE, Fault.DOWN):
        for faulty_write in range(5):
            await _run_with_one_fault(fault, faulty_write)


async def _run_with_one_fault(fault: Fault, faulty_write: int) -> None:
    fake = FakePlatform()
    done = 0

    def disturb(_: str) -> None:
        nonlocal done
        fake.apply_delayed_writes()
        if done == faulty_write:
            fake.faults.append(fault)
        done += 1

    fake.before_write = disturb
    for command in COMMANDS:
        outcome = await command(fake)
        fake.apply_delayed_writes()
        assert outcome.code is ExitCode.OK, (fault, faulty_write, outcome)
    assert "yours took effect" in outcome.message
    assert len(fake.written_keys) == 5, (fault, faulty_write, fake.written_keys)


async def test_an_outage_after_a_write_leaves_it_not_yet_known_until_repeated() -> None:
    """Guards against an operator who is told that a write failed when it took effect."""
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


async def test_of_two_racing_bundles_one_wins_and_the_other_operator_is_told() -> None:
    """Guards against two heads of one revision, and a conflict that does not name both bundles."""
    for fault in (Fault.NONE, Fault.LOST_REPLY, Fault.LOST_REQUEST):
        for later_bundles in (0, 2):
            await _race(fault, later_bundles)


async def _race(fault: Fault, later_bundles: int) -> None:
    """Let cy move the head, perhaps further, just before ann's write, which suffers a fault."""
    fake = FakePlatform()
    for proposer, cost in (("ann", 1), ("cy", 2)):
        assert (await do_propose(session(proposer, fake), cost, "bob")).code is ExitCode.OK
        assert (await do_approve(session("bob", fake), proposer)).code is ExitCode.OK
    undecided = await roll_forward(session("ann", fake), None, "")
    assert undecided.code is ExitCode.CONFLICT
    assert len(undecided.data["candidates"]) == 2

    def let_cy_win(key: str) -> None:
        fake.before_write = None
        assert key == KEY_HEAD and key not in fake.values
        assert _drive(roll_forward(session("cy", fake), "cy", "")).code is ExitCode.OK
        for cost in range(3, 3 + later_bundles):
            _drive(accept(fake, cost, "cy"))
        fake.faults = [fault]

    fake.before_write = let_cy_win
    outcome = await roll_forward(session("ann", fake), "ann", "")
    assert outcome.code is ExitCode.CONFLICT, (fault, outcome)
    assert "another's did" in outcome.message
    assert "proposed by cy" in outcome.message and "proposed by ann" in outcome.message
    assert head_of(fake)["operation_id"].startswith("cy:")
    assert outcome.data["theirs"]["revision"] == 1
    assert fake.written_keys.count(KEY_HEAD) == 1 + later_bundles


def _drive(work: Awaitable[Any]) -> Any:
    """Run commands to their end in the middle of another one; on the fake they only yield."""
    steps = work.__await__()
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


async def test_a_write_is_recognised_after_the_head_has_moved_on() -> None:
    """Guards against "another's did" when one's own bundle was in force and was then replaced."""
    fake = FakePlatform()
    for command in COMMANDS[:2]:
        await command(fake)

    def move_on(key: str) -> None:
        fake.before_write = None
        assert _drive(COMMANDS[2](fake)).code is ExitCode.OK
        for cost in (2, 3):
            _drive(accept(fake, cost))
        fake.faults = [Fault.LOST_REPLY]

    fake.before_write = move_on
    outcome = await COMMANDS[2](fake)
    assert outcome.code is ExitCode.OK, outcome
    assert "yours took effect" in outcome.message and "revision 3" in outcome.message


async def test_a_proposal_against_an_older_head_is_a_conflict() -> None:
    """Guards against a content that silently undoes a bundle accepted in the meantime."""
    fake = FakePlatform()
    await accept(fake, 1)

    def overtake(key: str) -> None:
        fake.before_write = None
        _drive(accept(fake, 2, "cy"))

    fake.before_write = overtake
    outcome = await do_propose(session("ann", fake), 3, "bob")
    assert outcome.code is ExitCode.CONFLICT
    assert "proposed by cy" in outcome.message
    stale = await do_propose(session("ann", fake), 3, "bob", base=1)
    assert stale.code is ExitCode.CONFLICT
    again = await do_propose(session("ann", fake), 3, "bob", base=2)
    assert again.code is ExitCode.OK
    other = await do_propose(session("ann", fake), 4, "bob")
    assert other.code is ExitCode.CONFLICT
    assert (await do_propose(session("ann", fake), 4, "bob", replace=True)).code is ExitCode.OK


async def test_approval_binds_to_what_the_approver_saw() -> None:
    """Guards against a proposal that is swapped under the approver, and against self-approval."""
    fake = FakePlatform()
    proposed = await do_propose(session("ann", fake), 1, "bob")
    for operator in ("ann", "cy"):
        assert (await do_approve(session(operator, fake))).code is ExitCode.REFUSED
    assert (await roll_forward(session("ann", fake), None, "")).code is ExitCode.REFUSED
    assert (await do_approve(session("bob", fake), None, "0" * 64)).code is ExitCode.REFUSED

    def swap(key: str) -> None:
        fake.before_write = None
        assert _drive(do_propose(session("ann", fake), 9, "bob", replace=True)).code is ExitCode.OK

    fake.before_write = swap
    outcome = await do_approve(session("bob", fake), None, proposed.data["content_digest"])
    assert outcome.code is ExitCode.CONFLICT, outcome
    assert (await roll_forward(session("ann", fake), None, "")).code is ExitCode.REFUSED
    key = next(k for k in fake.values if k.startswith("bundle/proposal/"))
    fake.values[key] = KeyValue(fake.values[key].value.replace('"bob"', '"cy"'), 9)
    tampered = await do_approve(session("cy", fake))
    assert tampered.code is ExitCode.REFUSED
    assert "invalid_signature" in tampered.message


async def test_damaged_content_is_neither_approved_nor_rolled_forward() -> None:
    """Guards against a head whose content no instance accepts."""
    fake = FakePlatform()
    proposed = await do_propose(session("ann", fake), 1, "bob")
    key = KEY_CONTENT + proposed.data["content_digest"]
    good = fake.values[key]
    fake.values[key] = KeyValue(good.value.replace("20.0", "21.0"), 2)
    assert (await do_approve(session("bob", fake))).code is ExitCode.REFUSED
    fake.values[key] = good
    assert (await do_approve(session("bob", fake))).code is ExitCode.OK
    del fake.values[key]
    assert (await roll_forward(session("ann", fake), None, "")).code is ExitCode.REFUSED
    assert KEY_HEAD not in fake.values


async def test_roll_back_is_a_new_revision_with_old_content() -> None:
    """Guards against a head that goes back, and a roll back without a second operator."""
    fake = FakePlatform()
    for cost in (1, 2, 3):
        await accept(fake, cost)
    at = session("ann", fake)
    outcome = await roll_back(at, KEYS["ann"], 1, "bob", False)
    assert outcome.code is ExitCode.OK
    assert outcome.data["revision"] == 4
    assert outcome.data["diff"] == ["~ callers.mill.cost_per_s: 3.0 -> 1.0"]
    assert head_of(fake)["revision"] == 3
    for command in COMMANDS[1:]:
        assert (await command(fake)).code is ExitCode.OK
    assert head_of(fake)["revision"] == 4
    missing = await roll_back(session("ann", fake), KEYS["ann"], 9, "bob", False)
    assert missing.code is ExitCode.INPUT


load_tests = function_suite(globals())
