"""The state of the process. A field is written by its owner alone; others read it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wisteriarock.bundle.models import ActiveBundle, Head
from wisteriarock.membership.models import EndpointView, Member, Phase
from wisteriarock.platform.models import InstanceList
from wisteriarock.settings.models import Settings


@dataclass
class Blackboard:
    """What the controllers share.

    Attributes
    ----------
    settings : Settings
        Owner: composition root.
    incarnation : str
        Identifies this run of the process. Owner: composition root.
    phase : Phase
        Owner: lifecycle.
    bundle : ActiveBundle or None
        The bundle in force. Owner: bundle controller.
    head_seen : Head or None
        Newest head seen anywhere. Owner: bundle controller.
    members : dict
        Other entry instances by name. Owner: membership controller.
    instance_list : InstanceList or None
        Last copy of the platform's list. Owner: platform poll in the membership controller.
    instance_list_at_ms : float
        Monotonic time of that copy in milliseconds.
    endpoint_views : dict
        Endpoint name to the newest view of its holder. Owner: membership controller.
    held_views : dict
        Views of the endpoints held here. Owner: endpoints controller.
    held_sequence : int
        Grows with each change of `held_views`. Owner: endpoints controller.
    loop_lag_ms : float
        Recent delay of the event loop. Owner: lifecycle.
    ticket_successor : str
        Peer that took over the unused tickets at the stop; else empty. Owner: tickets.
    ticket_successors : dict
        Instance and incarnation that stopped to the peer that keeps its unused tickets. Owner:
        membership, and tickets for the own ones.
    demand : dict
        Caller to recent demand here, in cost units a second. Owner: admission.
    peer_demand : dict
        Instance to its callers' demand. Owner: membership controller.
    diagnostics : dict
        Concern to a function that returns its part of the dump. Owner: composition root.
    """

    settings: Settings
    incarnation: str
    phase: Phase = Phase.STARTING
    bundle: ActiveBundle | None = None
    head_seen: Head | None = None
    members: dict[str, Member] = field(default_factory=dict)
    instance_list: InstanceList | None = None
    instance_list_at_ms: float = 0.0
    endpoint_views: dict[str, EndpointView] = field(default_factory=dict)
    held_views: dict[str, EndpointView] = field(default_factory=dict)
    held_sequence: int = 0
    loop_lag_ms: float = 0.0
    ticket_successor: str = ""
    ticket_successors: dict[tuple[str, str], str] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)
    peer_demand: dict[str, dict[str, float]] = field(default_factory=dict)
    diagnostics: dict[str, Callable[[], Any]] = field(default_factory=dict)
