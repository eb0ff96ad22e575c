"""Life cycle of the process: starting, ready, draining, stopped."""

from collections.abc import Callable

from transitions import Machine

from wisteriarock.membership.models import Phase

TRIGGER_BECOME_READY = "become_ready"
TRIGGER_DRAIN = "drain"
TRIGGER_STOP = "stop"


class Lifecycle:
    """State machine of the process; the `transitions` library adds the trigger methods.

    Parameters
    ----------
    on_change : callable
        Called with the new phase after each change.
    """

    state: str

    def __init__(self, on_change: Callable[[Phase], None]) -> None:
        self._on_change = on_change
        self._machine = Machine(
            model=self,
            states=[phase.value for phase in Phase],
            initial=Phase.STARTING.value,
            auto_transitions=False,
            after_state_change="_notify_phase_change",
            transitions=[
                [TRIGGER_BECOME_READY, Phase.STARTING.value, Phase.READY.value],
                [TRIGGER_DRAIN, [Phase.STARTING.value, Phase.READY.value], Phase.DRAINING.value],
                [TRIGGER_STOP, Phase.DRAINING.value, Phase.STOPPED.value],
            ],
        )

    def _notify_phase_change(self) -> None:
        self._on_change(Phase(self.state))

    def fire(self, trigger: str) -> bool:
        """Fire a trigger if the current state allows it; return False if it does not."""
        if trigger not in self._machine.get_triggers(self.state):
            return False
        return bool(self.trigger(trigger))  # type: ignore[attr-defined]


# Maximum wait for the holdings of all endpoints: an endpoint that is down must not keep an instance
# from becoming ready.
MAX_HOLDINGS_WAIT_MS = 5_000.0


def may_become_ready(
    bundle_is_current: bool, heartbeat_round_done: bool, holdings_known: bool, waited_ms: float
) -> bool:
    """Return whether a starting instance may accept requests.

    It needs a bundle at least as new as its peers', a completed round of heartbeats, so that it
    knows which endpoints its peers hold, and the holdings of the endpoints, so that its first
    answers cover all shards.

    Parameters
    ----------
    bundle_is_current, heartbeat_round_done : bool
        The first two conditions, which have no time limit.
    holdings_known : bool
        Whether the holdings of all endpoints of the bundle are known.
    waited_ms : float
        Time since the first two conditions were met.
    """
    if not (bundle_is_current and heartbeat_round_done):
        return False
    return holdings_known or waited_ms >= MAX_HOLDINGS_WAIT_MS
