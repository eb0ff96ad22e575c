"""State machine of the bundle on an instance."""

from enum import StrEnum

from transitions import Machine


class BundleState(StrEnum):
    """What the instance does about its bundle; `in_force` means that nothing newer is known."""

    NONE = "none"
    FETCHING = "fetching"
    VERIFYING = "verifying"
    IN_FORCE = "in_force"


class BundleProgress:
    """Model of the state machine. `has_bundle` tells where a failed attempt ends."""

    state: BundleState

    def __init__(self) -> None:
        self.has_bundle = False

    def is_with_bundle(self) -> bool:
        """Tell whether a bundle is in force."""
        return self.has_bundle

    def note_adopted(self) -> None:
        """Remember that a bundle is in force from now on."""
        self.has_bundle = True


def create_progress() -> tuple[BundleProgress, Machine]:
    """Return a model in state `none` and the machine that drives it.

    Triggers are `fetch`, `verify`, `adopt` and `abandon`; a trigger in a wrong state raises
    `transitions.MachineError`.
    """
    model = BundleProgress()
    resting = [BundleState.NONE, BundleState.IN_FORCE]
    busy = [BundleState.FETCHING, BundleState.VERIFYING]
    machine = Machine(
        model,
        states=BundleState,
        initial=BundleState.NONE,
        auto_transitions=False,
        transitions=[
            {"trigger": "fetch", "source": resting, "dest": BundleState.FETCHING},
            {
                "trigger": "verify",
                "source": BundleState.FETCHING,
                "dest": BundleState.VERIFYING,
            },
            {
                "trigger": "adopt",
                "source": BundleState.VERIFYING,
                "dest": BundleState.IN_FORCE,
                "before": "note_adopted",
            },
            {
                "trigger": "abandon",
                "source": busy,
                "dest": BundleState.IN_FORCE,
                "conditions": "is_with_bundle",
            },
            {"trigger": "abandon", "source": busy, "dest": BundleState.NONE},
        ],
    )
    return model, machine
