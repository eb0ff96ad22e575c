"""Answers to the load balancer and to operators."""

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from wisteriarock.explain.const import EXPLAIN_PATH
from wisteriarock.http.front import Answer, CallerRequest, Respond

from .const import LEG_COST_BYTES
from .diagnostics import dump, gauges
from .pools import find_pool
from .rotation import update_readiness

if TYPE_CHECKING:
    from .instance import Instance


def answer_readiness(instance: "Instance", respond: Respond) -> Callable[[], None]:
    """Answer a readiness check of the load balancer."""
    respond(Answer(200 if update_readiness(instance) else 503, [], b""))
    return do_nothing


def answer_metrics(
    instance: "Instance", request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Answer a request for the metrics, the state dump or an explanation."""
    if request.target == b"/metrics":
        # Imported at first use: the library needs more memory than the rest of the process.
        from wisteriarock.observability.exposition import render  # noqa: PLC0415

        _collect_totals(instance)
        text = render(instance.counters, gauges(instance))
        respond(Answer(200, [(b"Content-Type", b"text/plain; version=0.0.4")], text))
    elif request.target == b"/dump":
        body = json.dumps(dump(instance), indent=1).encode()
        respond(Answer(200, [(b"Content-Type", b"application/json")], body))
    elif request.target.partition(b"?")[0] == EXPLAIN_PATH.encode():
        respond(_explain(instance, request))
    else:
        respond(Answer(404, [], b"metrics, dump or explain"))
    return do_nothing


def _explain(instance: "Instance", request: CallerRequest) -> Answer:
    # Imported at first use, as few processes are ever asked.
    from wisteriarock.explain.answer import (  # noqa: PLC0415
        answer_explain_request,
        create_explain_limit,
    )
    from wisteriarock.explain.dry_run import InstanceView  # noqa: PLC0415

    if instance.explain_limit is None:
        instance.explain_limit = create_explain_limit(instance.loop.time() * 1000)
    view = InstanceView(
        lambda endpoint: find_pool(instance, endpoint),
        lambda count: instance.buffers.can_reserve(count * LEG_COST_BYTES),
    )
    return answer_explain_request(
        instance.dispatch, view, instance.allotments.local, instance.explain_limit, request
    )


def _collect_totals(instance: "Instance") -> None:
    counts = instance.counters.counts
    counts["log_lines_dropped",] = instance.log.dropped_total
    counts["budget_refusals",] = instance.budget.refused_total
    counts["evicted_messages",] = instance.buffers.evicted_total


def do_nothing() -> None:
    """Do nothing; a request that was answered at once has nothing to cancel."""
