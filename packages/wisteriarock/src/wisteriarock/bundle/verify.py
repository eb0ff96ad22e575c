"""Verify the body of a bundle, whatever its source."""

from collections.abc import Mapping

from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import decode

from .checks import check_content
from .const import MAX_BODY_BYTES
from .models import ActiveBundle, BundleFault, BundleRefusal, Envelope, RawBundle, SignedBundle
from .signing import canonical_bytes, content_digest, envelope_digest, verify_envelope

_SHOWN_ERRORS = 3


def encode_body(bundle: SignedBundle) -> bytes:
    """Return the JSON text of an envelope and its content, the same for the same bundle."""
    return canonical_bytes(bundle)


def join_body(envelope_text: str, content_text: str) -> bytes:
    """Return a body from the two values that the platform stores."""
    return f'{{"envelope":{envelope_text},"content":{content_text}}}'.encode()


def verify_bundle(
    envelope: Envelope, raw_content: object, operator_keys: Mapping[str, str]
) -> Result[ActiveBundle, BundleRefusal]:
    """Check signatures, content and the digest that binds them.

    Parameters
    ----------
    envelope : Envelope
        Decoded envelope.
    raw_content : object
        Decoded content, not checked.
    operator_keys : Mapping
        Operator to public key in base64.

    Returns
    -------
    Result
        The bundle, or why it was refused.
    """
    signed = verify_envelope(envelope, operator_keys)
    if not isinstance(signed, Success):
        return Failure(BundleRefusal(BundleFault.SIGNATURE, signed.failure().value))
    checked = check_content(raw_content)
    if not isinstance(checked, Success):
        errors = checked.failure()
        shown = [f"{e.path}: {e.found}, allowed: {e.allowed}" for e in errors[:_SHOWN_ERRORS]]
        detail = f"{len(errors)} errors: {'; '.join(shown)}"
        return Failure(BundleRefusal(BundleFault.CONTENT, detail))
    content = checked.unwrap()
    if content_digest(content) != envelope["content_digest"]:
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, "the content has another digest"))
    digest = envelope_digest(envelope)
    return Success(ActiveBundle(envelope["revision"], digest, content, envelope))


def verify_body(
    body: bytes, operator_keys: Mapping[str, str], digest: str | None
) -> Result[ActiveBundle, BundleRefusal]:
    """Decode and verify a body.

    Parameters
    ----------
    body : bytes
        JSON of `{"envelope", "content"}`.
    operator_keys : Mapping
        Operator to public key in base64.
    digest : str or None
        The envelope digest that was asked for; None accepts any.

    Returns
    -------
    Result
        The bundle, or why it was refused.
    """
    decoded = decode(body, RawBundle, MAX_BODY_BYTES)
    if not isinstance(decoded, Success):
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, decoded.failure().message))
    raw = decoded.unwrap()
    if digest is not None and envelope_digest(raw["envelope"]) != digest:
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, "the envelope has another digest"))
    return verify_bundle(raw["envelope"], raw["content"], operator_keys)
