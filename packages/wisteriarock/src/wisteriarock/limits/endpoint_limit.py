"""Rate limit that an endpoint names in its replies, for all instances together."""


class EndpointLimit:
    """Rate limit of an endpoint.

    Attributes
    ----------
    per_s : float
        Requests per second that the endpoint takes from all instances together.
    first_named_at_ms, named_at_ms : float
        Times of the first and the last reply that named a limit.
    legs : dict
        Number of legs sent since the limit was first named, by kind.
    """

    __slots__ = ("first_named_at_ms", "legs", "named_at_ms", "per_s")

    def __init__(self, per_s: float, now_ms: float) -> None:
        self.per_s = per_s
        self.first_named_at_ms = now_ms
        self.named_at_ms = now_ms
        self.legs: dict[str, int] = {}


def update_limit(
    current: EndpointLimit | None,
    per_s: float | None,
    sent_at_ms: float,
    now_ms: float,
    *,
    is_success: bool,
) -> EndpointLimit | None:
    """Return the limit of an endpoint after a reply.

    The limit ends with a success that names none, in reply to a leg sent after the last reply that
    named one: replies on several connections may arrive out of order.

    Parameters
    ----------
    per_s : float or None
        The limit that the reply names.
    sent_at_ms : float
        Time at which the leg was sent.

    Returns
    -------
    EndpointLimit or None
        The current limit, updated, or a new one; None if there is none.
    """
    if per_s is None:
        has_ended = current is not None and is_success and sent_at_ms > current.named_at_ms
        return None if has_ended else current
    if current is None:
        return EndpointLimit(per_s, now_ms)
    current.named_at_ms = now_ms
    current.per_s = per_s
    return current


def count_limited_leg(limit: EndpointLimit, kind: str) -> None:
    """Count a leg sent to an endpoint that names a limit."""
    limit.legs[kind] = limit.legs.get(kind, 0) + 1
