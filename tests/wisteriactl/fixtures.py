"""Operator sessions and shared steps on the fake platform."""

from typing import Any

import msgspec
from returns.result import Failure, Result
from wisteriactl.commands import Session, approve, propose, roll_forward
from wisteriactl.engine import PlatformContext
from wisteriactl.models import CtlSettingsFile, InstanceAddress, Outcome
from wisteriarock.bundle.const import HEAD_KEY
from wisteriarock.bundle.models import Head

from tests.bundle_samples import OPERATOR_KEYS, PRIVATE_KEYS, make_checked_content
from tests.platform_fake import FakePlatform, fake_client
from tests.virtual_clock import VirtualClock


class RunningClock(VirtualClock):
    """A clock for tests with a single command: each sleep advances it."""

    async def sleep(self, seconds: float) -> None:
        """Advance the clock by the duration of the sleep."""
        self.time_ms += seconds * 1000


def make_session(
    operator: str, fake: FakePlatform, clock: VirtualClock | None = None, timeout_ms: float = 5_000
) -> Session:
    """Return a session whose instances do not answer."""
    session_clock = clock or RunningClock()
    platform = fake_client(fake, session_clock.sleep)
    settings = CtlSettingsFile(
        platform_url="http://127.0.0.1:1",
        operator=operator,
        key_path="unused",
        operator_keys=OPERATOR_KEYS,
        instances=[],
        operator_token="token",
    )

    async def fetch_ops(_: InstanceAddress, __: str) -> Result[bytes, str]:
        return Failure("no answer")

    def report_progress(_: str) -> None:
        return None

    deadline_ms = session_clock.now_ms() + timeout_ms
    context = PlatformContext(
        platform, session_clock.now_ms, deadline_ms, report_progress, session_clock.sleep
    )
    return Session(settings, context, fetch_ops)


async def propose_sample(
    operator_session: Session, cost: float, approver: str, **options: Any
) -> Outcome:
    """Propose the sample content with the given cost."""
    operator = operator_session.settings["operator"]
    replace, base = options.get("replace", False), options.get("base")
    content = make_checked_content(cost)
    return await propose(operator_session, PRIVATE_KEYS[operator], content, approver, replace, base)


async def approve_proposal(
    operator_session: Session, proposer: str | None = None, digest: str = ""
) -> Outcome:
    """Approve a proposal."""
    return await approve(
        operator_session,
        PRIVATE_KEYS[operator_session.settings["operator"]],
        proposer,
        digest,
        False,
    )


async def release_content(fake: FakePlatform, cost: float, proposer: str = "ann") -> None:
    """Propose, approve and roll forward the sample content with the given cost."""
    for outcome in (
        await propose_sample(make_session(proposer, fake), cost, "bob"),
        await approve_proposal(make_session("bob", fake), proposer),
        await roll_forward(make_session(proposer, fake), proposer, ""),
    ):
        assert outcome.code == 0, outcome


def read_head(fake: FakePlatform) -> Head:
    """Return the head of the fake platform."""
    return msgspec.json.decode(fake.values[HEAD_KEY].value, type=Head)
