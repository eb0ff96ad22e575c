"""Tests of digests, signatures and the verification of bodies."""

from collections.abc import Mapping
from typing import Any, cast

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from wisteriarock.bundle import signing
from wisteriarock.bundle.checks import check_content
from wisteriarock.bundle.models import BundleContent, BundleFault, Envelope, SignatureError
from wisteriarock.bundle.verify import encode_body, verify_body, verify_body_in_steps

from tests.bundle_samples import (
    OPERATOR_KEYS,
    PRIVATE_KEYS,
    make_bundle_chain,
    make_checked_content,
    make_raw_content,
)
from tests.common import function_suite


def _verification_error(
    envelope: Envelope, keys: Mapping[str, str] = OPERATOR_KEYS
) -> SignatureError:
    result = signing.verify_envelope(envelope, keys)
    assert isinstance(result, Failure), result
    return result.failure()


def test_digest_ignores_key_order_and_number_notation() -> None:
    """Guards against operators and instances that compute different digests of one content."""
    raw = make_raw_content()
    reordered = dict(reversed(raw.items()))
    reordered["callers"] = {"mill": dict(reversed(raw["callers"]["mill"].items()))}
    reordered["callers"]["mill"]["cost_per_s"] = 10.0
    digest = signing.content_digest(check_content(raw).unwrap())
    assert signing.content_digest(check_content(reordered).unwrap()) == digest
    assert signing.content_digest(make_checked_content(11)) != digest


def test_only_two_different_known_operators_are_accepted() -> None:
    """Guards against the use of a content that no second operator has approved."""
    good = make_bundle_chain(1)[0]["envelope"]
    assert isinstance(signing.verify_envelope(good, OPERATOR_KEYS), Success)
    draft = signing.draft_envelope(1, good["content_digest"], "", "ann", "bob")
    half_signed = signing.sign_envelope(draft, "ann", PRIVATE_KEYS["ann"])
    assert _verification_error(draft) is SignatureError.UNSIGNED
    assert _verification_error(half_signed) is SignatureError.HALF_SIGNED
    only_approver = signing.sign_envelope(draft, "bob", PRIVATE_KEYS["bob"])
    assert _verification_error(only_approver) is SignatureError.HALF_SIGNED
    wrong_key = signing.sign_envelope(half_signed, "bob", PRIVATE_KEYS["cy"])
    assert _verification_error(wrong_key) is SignatureError.INVALID_SIGNATURE
    same: Envelope = {
        **half_signed,
        "approver": "ann",
        "approver_signature": half_signed["proposer_signature"],
    }
    assert _verification_error(same) is SignatureError.SELF_APPROVED
    one_person = {**OPERATOR_KEYS, "bob": OPERATOR_KEYS["ann"]}
    assert _verification_error(good, one_person) is SignatureError.SELF_APPROVED
    assert (
        _verification_error(good, {"ann": OPERATOR_KEYS["ann"]}) is SignatureError.UNKNOWN_OPERATOR
    )
    swapped: Envelope = {
        **good,
        "proposer_signature": good["approver_signature"],
        "approver_signature": good["proposer_signature"],
    }
    assert _verification_error(swapped) is SignatureError.INVALID_SIGNATURE


def test_every_altered_field_is_refused() -> None:
    """Guards against a signature that does not cover a field."""
    good = make_bundle_chain(2)[1]["envelope"]
    changes: dict[str, Any] = {
        "revision": 3,
        "content_digest": "0" * 64,
        "previous_digest": "0" * 64,
        "proposer": "cy",
        "approver": "cy",
        "proposer_signature": good["approver_signature"],
        "approver_signature": "",
    }
    assert changes.keys() == good.keys()
    for name, value in changes.items():
        _verification_error(cast(Envelope, {**good, name: value}))
    # Another base64 text for the same signature bytes would change the envelope digest.
    text = good["approver_signature"]
    other_encoding = text[:-3] + chr(ord(text[-3]) + 1) + "=="
    assert (
        _verification_error({**good, "approver_signature": other_encoding})
        is SignatureError.INVALID_SIGNATURE
    )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.tuples(st.integers(1, 99), *[st.text('ab1,:[]"', max_size=4)] * 4), st.data())
def _statements_differ(fields: tuple[Any, ...], data: st.DataObject) -> None:
    other = data.draw(st.permutations(fields[1:]).map(lambda texts: (fields[0], *texts)))
    drafts = [signing.draft_envelope(*values) for values in (fields, other)]
    one, two = (signing.encode_statement(draft) for draft in drafts)
    assert (one == two) == (fields == other)


def test_no_two_envelopes_share_a_statement() -> None:
    """Guards against an ambiguous encoding of the signed fields."""
    _statements_differ()


def test_body_with_mismatched_parts_is_refused() -> None:
    """Guards against a peer or platform that returns a content other than the signed one."""
    first, second = make_bundle_chain(2)
    good = encode_body(first)
    bundle = verify_body(good, OPERATOR_KEYS, None).unwrap()
    assert (bundle.revision, bundle.content) == (1, first["content"])
    mixed = encode_body({"envelope": first["envelope"], "content": second["content"]})
    invalid, signers = make_checked_content(0.5), (
        "ann",
        PRIVATE_KEYS["ann"],
        "bob",
        PRIVATE_KEYS["bob"],
    )
    invalid["callers"]["mill"]["cost_per_s"] = 0.0
    bad = encode_body(signing.sign_bundle(invalid, 1, "", *signers))
    # Signed by both operators, but with integers that the check converts to floats.
    non_canonical = encode_body(
        signing.sign_bundle(cast(BundleContent, make_raw_content()), 1, "", *signers)
    )
    cases = [
        (mixed, None, BundleFault.WRONG_BODY),
        (good, "0" * 64, BundleFault.WRONG_BODY),
        (good[:-1], None, BundleFault.WRONG_BODY),
        (b"[]", None, BundleFault.WRONG_BODY),
        (bad, None, BundleFault.CONTENT),
        (non_canonical, None, BundleFault.CONTENT),
        (good.replace(b'"approver_signature":"', b'"approver_signature":"A'), None, "signature"),
    ]
    for body, digest, fault in cases:
        result = verify_body(body, OPERATOR_KEYS, digest)
        assert isinstance(result, Failure)
        assert result.failure().fault == fault, result


def test_verification_yields_between_parts_of_a_content() -> None:
    """Guards against a large bundle that blocks queries on the event loop."""
    body = encode_body(make_bundle_chain(1)[0])
    pauses = sum(1 for _ in verify_body_in_steps(body, OPERATOR_KEYS, None))
    assert (
        pauses >= 5
    ), "expected after decoding, the signatures, each endpoint and caller, and the rules"


def test_keys_round_trip_and_errors_hide_them() -> None:
    """Guards against key files that cannot be read back, and errors that leak a private key."""
    pem = signing.private_key_to_pem(PRIVATE_KEYS["ann"])
    key = signing.private_key_from_pem(pem).unwrap()
    assert signing.public_key_to_text(key) == OPERATOR_KEYS["ann"]
    broken = signing.private_key_from_pem(pem.replace(b"MC4", b"MC5"))
    assert isinstance(broken, Failure)
    assert broken.failure() is SignatureError.INVALID_KEY


load_tests = function_suite(globals())
