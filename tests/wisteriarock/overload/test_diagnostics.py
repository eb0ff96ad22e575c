"""Tests of what operators see of the work that waits."""

import json

from wisteriarock.overload.decide import enter, mark_short
from wisteriarock.overload.diagnostics import dump_overload, overload_gauges
from wisteriarock.overload.models import OverloadState, Room, Work

from tests.common import function_suite


def test_dump_shows_who_waits_and_for_what():
    """Guards against a shortage that operators cannot tell from a slow service."""
    state = OverloadState()
    assert dump_overload(state, 0.0) == {"rooms": {}, "short_for_ms": {}}
    mark_short(state, "invoicing", 3_000.0)
    room = state.services["invoicing"] = Room("service", 1.0, 0.0)
    for name in ("first", "second", "second"):
        start_by_ms = 4_000.0
        enter(
            room,
            Work(
                name,
                (0, 0),
                1.0,
                1.0,
                20.0,
                start_by_ms,
                start_by_ms,
                lambda: None,
                lambda refusal: None,
            ),
            0.0,
        )
    dump = json.loads(json.dumps(dump_overload(state, 1_000.0)))
    assert dump["short_for_ms"] == {"invoicing": 2_000}
    assert dump["rooms"]["invoicing"]["waiting"] == 2
    assert dump["rooms"]["invoicing"]["customers"]["second"]["waiting"] == 2
    gauges = {name: value for name, (_, value) in overload_gauges(state, 1_000.0).items()}
    assert gauges == {"overload_waiting": 2.0, "services_short": 1.0}
    assert overload_gauges(state, 5_000.0)["services_short"][1] == 0.0


load_tests = function_suite(globals())
