"""Data types of the quarantine."""

from typing import NamedTuple


class Notice(NamedTuple):
    """Report that endpoints ended under a request.

    Attributes
    ----------
    fingerprint : str
        Identifies requests that are the same but for their id.
    is_confirmed : bool
        Whether this happened again while the request was on probation.
    """

    route: str
    fingerprint: str
    is_confirmed: bool


class Quarantine:
    """Routes and requests under which endpoints have ended lately.

    A request is on probation after the first verdict: it is tried on one endpoint first. If that
    one ends as well, the request is refused until its quarantine ends, and on probation again then.

    Attributes
    ----------
    route_until_ms : dict
        Time until which fan-outs of a route begin with a canary, by route name.
    request_until_ms : dict
        Time until which a request is refused, by fingerprint; it is on probation afterwards.
    """

    __slots__ = ("request_until_ms", "route_until_ms")

    def __init__(self) -> None:
        self.route_until_ms: dict[str, float] = {}
        self.request_until_ms: dict[str, float] = {}
