"""Run a bundle controller with a fake platform and a virtual clock."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.controller import BundleController, create_bundle_controller
from wisteriarock.bundle.fetch import FetchFromPeer
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.settings.models import Settings

from tests.bundle_samples import make_rng
from tests.platform_fake import FakePlatform, fake_client
from tests.virtual_clock import VirtualClock


@dataclass
class BundleInstance:
    """A running bundle controller with its state."""

    board: Blackboard
    controller: BundleController
    task: asyncio.Task[None]


def start_bundle_instance(
    settings: Settings,
    platform: FakePlatform,
    clock: VirtualClock,
    fetch_from_peer: FetchFromPeer,
    on_bundle: Callable[[ActiveBundle], None],
) -> BundleInstance:
    """Start a bundle controller in a task."""
    board, client = Blackboard(settings, "1"), fake_client(platform, clock.sleep)
    common = (create_metrics(), clock.now_ms, make_rng(), on_bundle, clock.sleep)
    controller = create_bundle_controller(board, client, fetch_from_peer, *common)
    return BundleInstance(board, controller, asyncio.create_task(controller.run()))
