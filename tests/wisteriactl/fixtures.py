"""Sessions of operators on the fake platform."""

from typing import Any

import msgspec
from returns.result import Failure, Result
from wisteriactl.commands import Session, approve, propose, roll_forward
from wisteriactl.engine import PlatformContext
from wisteriactl.models import CtlSettingsFile, InstanceAddress, Outcome
from wisteriarock.bundle.const import KEY_HEAD
from wisteriarock.bundle.models import Head

from tests.bundle_samples import KEYS, OPERATOR_KEYS, sample_content
from tests.platform_fake import FakePlatform, fake_client
from tests.virtual_clock import VirtualClock


class RunningClock(VirtualClock):
    """A clock for one command alone: whoever sleeps moves it."""

    async def sleep(self, seconds: float) -> None:
        """Move the clock."""
        self.time_ms += seconds * 1000


def make_session(
    operator: str, fake: FakePlatform, clock: VirtualClock | None = None, timeout_ms: float = 5_000
) -> Session:
    """Return a session whose instances do not answer."""
    used = clock or RunningClock()
    platform = fake_client(fake, used.sleep)
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

    deadline_ms = used.now_ms() + timeout_ms
    context = PlatformContext(platform, used.now_ms, deadline_ms, report_progress, used.sleep)
    return Session(settings, context, fetch_ops)


async def propose_sample(at: Session, cost: float, approver: str, **options: Any) -> Outcome:
    """Propose the sample content with a cost."""
    operator = at.settings["operator"]
    replace, base = options.get("replace", False), options.get("base")
    content = sample_content(cost)
    return await propose(at, KEYS[operator], content, approver, replace, base)


async def approve_proposal(at: Session, proposer: str | None = None, digest: str = "") -> Outcome:
    """Approve a proposal."""
    return await approve(at, KEYS[at.settings["operator"]], proposer, digest, False)


async def release_content(fake: FakePlatform, cost: float, proposer: str = "ann") -> None:
    """Bring a content into force without faults."""
    for outcome in (
        await propose_sample(make_session(proposer, fake), cost, "bob"),
        await approve_proposal(make_session("bob", fake), proposer),
        await roll_forward(make_session(proposer, fake), proposer, ""),
    ):
        assert outcome.code == 0, outcome


def read_head(fake: FakePlatform) -> Head:
    """Return the head of the fake platform."""
    return msgspec.json.decode(fake.values[KEY_HEAD].value, type=Head)
