"""Answers of a relay to its followers, and to reports of lost zones."""

from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from wisteriarock.gathering.decide import parse_gatherer
from wisteriarock.http.front import Answer, CallerRequest, Respond
from wisteriarock.quarantine.models import Notice
from wisteriarock.store.models import Position

from .const import POLL_WAIT_MS, RELAY_STORE_AGE_MAX_MS, STANDBY_DELAY_MS
from .decide import (
    current_lost_zones,
    encode_answer,
    encoded_changes,
    lacks_era,
    parse_position,
    record_lost_zones,
    standby_answer,
)
from .notices import NOTICE_PATH, receive_notice
from .state import Feed, is_relay, loop_time_ms, wake_followers


def handle_follower_request(
    feed: Feed, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Answer a follower as soon as there are changes, or when its wait ends.

    Returns
    -------
    callable
        Cancels the pending answer.
    """
    parts = urlsplit(request.target.decode("latin-1"))
    query = dict(parse_qsl(parts.query))
    if parts.path == "/lost":
        _handle_lost_zones_report(feed, query)
        respond(Answer(200, [], b""))
        return _do_nothing
    if parts.path == NOTICE_PATH:
        is_confirmed = query.get("confirmed") == "1"
        notice = Notice(query.get("route", ""), query.get("fingerprint", ""), is_confirmed)
        receive_notice(feed, notice)
        respond(Answer(200, [], b""))
        return _do_nothing
    is_own_zone = query.get("zone") == feed.zone
    lost_zones = current_lost_zones(feed.state, loop_time_ms(feed)) if is_own_zone else ()
    if lost_zones:
        respond(_lost_zones_answer(feed, lost_zones))
        return _do_nothing
    after = parse_position(query.get("after", ""), feed.state.position.era)
    if after is None:
        respond(Answer(400, [], b"no position"))
        return _do_nothing
    is_serving = is_relay(feed) and not feed.is_stopping and not _is_behind(feed)
    if not is_serving or after.era > feed.state.position.era:
        respond(Answer(503, [], b"no relay"))
        return _do_nothing
    is_standby = query.get("standby") == "1"
    if is_own_zone:
        _record_follower(feed, query)
    end_ms = loop_time_ms(feed) + POLL_WAIT_MS
    timer = feed.loop.call_later(POLL_WAIT_MS / 1000, lambda: answer())

    def answer() -> None:
        cancel()
        respond(_answer_follower(feed, after, is_standby=is_standby, is_own_zone=is_own_zone))

    def wake() -> None:
        nonlocal timer
        if not is_standby or _is_behind(feed) or feed.is_stopping:
            answer()
            return
        cancel()
        delay_ms = max(0.0, min(STANDBY_DELAY_MS, end_ms - loop_time_ms(feed)))
        timer = feed.loop.call_later(delay_ms / 1000, answer)

    def cancel() -> None:
        timer.cancel()
        if wake in feed.waiting_followers:
            feed.waiting_followers.remove(wake)

    is_current = after >= max(feed.state.position, feed.state.history_start)
    if not is_current and not lacks_era(feed.state, feed.eras.known):
        wake()
    else:
        feed.waiting_followers.append(wake)
    return cancel


def _is_behind(feed: Feed) -> bool:
    """Return whether this relay may lack changes, as its last watch or check of the store failed.

    A check that succeeds beside a failing watch does not make it up to date.
    """
    return feed.is_cut_off or not feed.failure_free_ms()


def _record_follower(feed: Feed, query: dict[str, str]) -> None:
    name = query.get("instance", "")
    feed.state.followers[name] = loop_time_ms(feed)
    try:
        candidate = parse_gatherer(name, query.get("address"), query.get("capacity", "0"))
    except ValueError:
        feed.state.candidates.pop(name, None)
    else:
        feed.state.candidates[name] = candidate


def _handle_lost_zones_report(feed: Feed, query: dict[str, str]) -> None:
    """Pass on a report that an instance of the local zone is cut off from other zones."""
    zones = [zone for zone in query.get("zones", "").split(",") if zone]
    is_own_zone = query.get("zone") == feed.zone
    if is_own_zone and record_lost_zones(feed.state, zones, loop_time_ms(feed)):
        feed.log.record("zones_reported_lost", zones=",".join(zones), by=query.get("instance"))
        wake_followers(feed)
        feed.on_lost_zones(zones)


def _lost_zones_answer(feed: Feed, lost_zones: tuple[str, ...]) -> Answer:
    answer = standby_answer(feed.state, feed.store_age_ms(), feed.failure_free_ms(), lost_zones)
    return Answer(200, [], encode_answer(answer))


def _answer_follower(feed: Feed, after: Position, *, is_standby: bool, is_own_zone: bool) -> Answer:
    lost_zones = current_lost_zones(feed.state, loop_time_ms(feed)) if is_own_zone else ()
    if lost_zones:
        return _lost_zones_answer(feed, lost_zones)
    if (
        _is_behind(feed)
        or lacks_era(feed.state, feed.eras.known)
        or feed.store_age_ms() > RELAY_STORE_AGE_MAX_MS
    ):
        return Answer(503, [], b"store is away")
    if is_standby:
        answer = standby_answer(feed.state, feed.store_age_ms(), feed.failure_free_ms())
        return Answer(200, [], encode_answer(answer))
    body = encoded_changes(
        feed.state, after, feed.store_age_ms(), feed.failure_free_ms(), loop_time_ms(feed)
    )
    return Answer(410, [], b"not kept") if body is None else Answer(200, [], body)


def _do_nothing() -> None:
    """Do nothing: the request has already been answered."""
