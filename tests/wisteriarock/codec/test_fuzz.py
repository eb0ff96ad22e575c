"""Seeded fuzzing of the messages of wisteriarock's own interface."""

import json

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from wisteriarock.bundle.models import BundleContent, Envelope, Head
from wisteriarock.bundle.signing import public_key_from_text
from wisteriarock.codec.decode import decode
from wisteriarock.membership.models import Heartbeat
from wisteriarock.peers.legs_body import decode_legs
from wisteriarock.peers.models import CancelBody, LegsBody
from wisteriarock.query.models import QueryBody
from wisteriarock.requests.models import ForwardedQuery, TicketBody
from wisteriarock.settings.load import check_settings
from wisteriarock.tickets.decide import parse_ticket

from tests.common import function_suite

TYPES = (
    BundleContent,
    CancelBody,
    Envelope,
    ForwardedQuery,
    Head,
    Heartbeat,
    LegsBody,
    QueryBody,
    TicketBody,
)
MAX_BYTES = 100_000
FIELDS = sorted({name for each in TYPES for name in each.__annotations__})
fuzz = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

_scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, 2**64, "9" * 5_000, "mill \ud83d"])
    | st.floats(allow_nan=False)
    | st.text()
)
_values = st.recursive(
    _scalars,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
)
_objects = st.dictionaries(st.sampled_from(FIELDS), _values, max_size=12)
_bodies = st.binary() | (_objects | _values).map(lambda value: json.dumps(value).encode())


@fuzz
@given(st.sampled_from(TYPES), _bodies)
@example(QueryBody, b"[" * 50_000)
@example(Heartbeat, b'{"a":' * 15_000)
@example(QueryBody, b'"mill \\ud83d"')
def test_bodies(expected_type: type, body: bytes):
    """Guards against a body that raises in place of a typed error."""
    assert isinstance(decode(body, expected_type, MAX_BYTES), Success | Failure)
    assert isinstance(decode_legs(body), Success | Failure)


@fuzz
@given(st.text() | st.binary().map(lambda data: data.decode("latin-1")))
@example("9" * 5_000 + ".x")
def test_texts(text: str):
    """Guards against a ticket or a key that raises."""
    parse_ticket(text)
    assert isinstance(public_key_from_text(text), Success | Failure)


@fuzz
@given(_objects | _values)
@example("mill \ud83d")
def test_settings(raw: object):
    """Guards against settings that raise in place of an error that names the field."""
    assert isinstance(check_settings(raw), Success | Failure)


load_tests = function_suite(globals())
