"""State machine of fetching and activating bundles on an instance."""

from enum import StrEnum

from transitions import Machine


class BundleState(StrEnum):
    """Stage of distribution; `in_force` means that a bundle is active and no fetch is running."""

    NONE = "none"
    FETCHING = "fetching"
    VERIFYING = "verifying"
    IN_FORCE = "in_force"


class BundleProgress:
    """Model of the state machine; `has_bundle` selects the state after a failed attempt."""

    state: BundleState

    def __init__(self) -> None:
        self.has_bundle = False

    def is_bundle_in_force(self) -> bool:
        """Return whether a bundle is in force."""
        return self.has_bundle

    def record_adoption(self) -> None:
        """Record that a bundle is in force."""
        self.has_bundle = True


def create_progress() -> tuple[BundleProgress, Machine]:
    """Create a model in state `none` and its state machine.

    Triggers are `fetch`, `verify`, `adopt` and `abandon`; a trigger that the current state does
    not allow raises `transitions.MachineError`.
    """
    model = BundleProgress()
    idle_states = [BundleState.NONE, BundleState.IN_FORCE]
    busy_states = [BundleState.FETCHING, BundleState.VERIFYING]
    machine = Machine(
        model,
        states=BundleState,
        initial=BundleState.NONE,
        auto_transitions=False,
        transitions=[
            {"trigger": "fetch", "source": idle_states, "dest": BundleState.FETCHING},
            {
                "trigger": "verify",
                "source": BundleState.FETCHING,
                "dest": BundleState.VERIFYING,
            },
            {
                "trigger": "adopt",
                "source": BundleState.VERIFYING,
                "dest": BundleState.IN_FORCE,
                "before": "record_adoption",
            },
            {
                "trigger": "abandon",
                "source": busy_states,
                "dest": BundleState.IN_FORCE,
                "conditions": "is_bundle_in_force",
            },
            {"trigger": "abandon", "source": busy_states, "dest": BundleState.NONE},
        ],
    )
    return model, machine
