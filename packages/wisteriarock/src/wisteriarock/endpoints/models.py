"""Data models of the endpoints package."""

from typing import Any, NamedTuple, TypedDict

from wisteriarock.query.models import LegOutcome


class EndpointReport(TypedDict):
    """Body of an endpoint's `GET /report`."""

    endpoint: str
    incarnation: str
    state: str
    slots: int
    busy: int
    holdings: dict[str, list[tuple[str, int, int]]]


class LegAnswer(TypedDict):
    """Body of a 200 answer to `POST /leg`."""

    leg_id: str
    shard: str
    part: int
    parts: int
    snapshot: int
    rows: list[dict[str, Any]]


class LegRefusal(TypedDict):
    """Body of any other answer to `POST /leg`."""

    leg_id: str
    code: str
    executed: bool


class LegResult(NamedTuple):
    """Result of one attempt on one connection.

    `executed` is true if the endpoint may have run the leg. `answered` is true if the endpoint
    replied to this leg, which shows that it is alive. `answer` is set if the outcome is `OK`.
    """

    outcome: LegOutcome
    executed: bool
    answered: bool
    answer: LegAnswer | None = None
