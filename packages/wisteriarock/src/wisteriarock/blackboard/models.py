"""State shared by the controllers. Only the owner of a field writes it; the others read it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wisteriarock.bundle.models import ActiveBundle, Head
from wisteriarock.membership.models import EndpointView, Member, Phase
from wisteriarock.platform.models import InstanceList
from wisteriarock.settings.models import Settings


@dataclass
class Blackboard:
    """State shared by the controllers of an entry instance.

    Attributes
    ----------
    settings : Settings
        Checked settings. Owner: composition root.
    incarnation : str
        Identifier of this run of the process. Owner: composition root.
    phase : Phase
        Phase of the instance's lifecycle. Owner: lifecycle.
    stops_at_ms : float or None
        Monotonic time at which a process that is shutting down ends, in milliseconds; None if it is
        not shutting down. Owner: composition root.
    bundle : ActiveBundle or None
        The bundle in force. Owner: bundle controller.
    head_seen : Head or None
        Newest bundle head received from the platform or a peer. Owner: bundle controller.
    members : dict
        Other entry instances by name. Owner: membership controller.
    instance_list : InstanceList or None
        Latest instance list of the platform. Owner: platform poll of the membership controller.
    instance_list_at_ms : float
        Monotonic time at which that list was received, in milliseconds.
    endpoint_views : dict
        Latest view of each endpoint, as reported by its holder, by endpoint name. Owner:
        membership controller.
    held_views : dict
        Views of the endpoints that this instance holds, by name. Owner: endpoints controller.
    held_sequence : int
        Sequence number, incremented on each change of `held_views`. Owner: endpoints controller.
    loop_lag_ms : float
        Smoothed lag of the event loop in milliseconds. Owner: composition root.
    ticket_successor : str
        Peer that received the unused tickets of this instance on shutdown; empty before. Owner:
        tickets.
    ticket_successors : dict
        Peer that owns the unused tickets of a stopped instance, by its name and incarnation.
        Owner: membership; tickets for the entry of this instance.
    demand : dict
        Recent demand at this instance by caller, in cost units per second. Owner: admission.
    peer_demand : dict
        Demand by caller at each peer, by instance name. Owner: membership controller.
    diagnostics : dict
        Functions that return a section of the state dump, by section name. Each controller
        registers its own.
    """

    settings: Settings
    incarnation: str
    phase: Phase = Phase.STARTING
    stops_at_ms: float | None = None
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
