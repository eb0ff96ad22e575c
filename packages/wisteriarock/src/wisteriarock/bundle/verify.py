"""Verify the body of a bundle, whatever its source."""

from collections.abc import Generator, Mapping

from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import decode

from .checks import check_steps, run_steps
from .const import MAX_BODY_BYTES
from .models import ActiveBundle, BundleFault, BundleRefusal, RawBundle, SignedBundle
from .signing import (
    canonical_bytes,
    content_digest,
    envelope_digest,
    sha256_hex,
    verify_envelope,
)

_SHOWN_ERRORS = 3


def encode_body(bundle: SignedBundle) -> bytes:
    """Return the JSON text of an envelope and its content, the same for the same bundle."""
    return canonical_bytes(bundle)


def join_body(envelope_text: str, content_text: str) -> bytes:
    """Return a body from the two values that the platform stores."""
    return f'{{"envelope":{envelope_text},"content":{content_text}}}'.encode()


def verify_steps(
    body: bytes, operator_keys: Mapping[str, str], digest: str | None
) -> Generator[None, None, Result[ActiveBundle, BundleRefusal]]:
    """Verify like `verify_body`, in steps, so that a loop can do other work between them.

    Yields
    ------
    None
        Between the steps.

    Returns
    -------
    Result
        As `verify_body`.
    """
    decoded = decode(body, RawBundle, MAX_BODY_BYTES)
    if not isinstance(decoded, Success):
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, decoded.failure().message))
    envelope, raw_content = decoded.unwrap()["envelope"], decoded.unwrap()["content"]
    yield
    found_digest = envelope_digest(envelope)
    if digest is not None and found_digest != digest:
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, "the envelope has another digest"))
    signed = verify_envelope(envelope, operator_keys)
    if not isinstance(signed, Success):
        return Failure(BundleRefusal(BundleFault.SIGNATURE, signed.failure().value))
    # Before the check of the content, which takes long.
    if sha256_hex(canonical_bytes(raw_content)) != envelope["content_digest"]:
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, "the content has another digest"))
    yield
    checked = yield from check_steps(raw_content)
    if not isinstance(checked, Success):
        errors = checked.failure()
        shown = [f"{e.path}: {e.found}, allowed: {e.allowed}" for e in errors[:_SHOWN_ERRORS]]
        detail = f"{len(errors)} errors: {'; '.join(shown)}"
        return Failure(BundleRefusal(BundleFault.CONTENT, detail))
    content = checked.unwrap()
    # A signed content that the check changes could not be passed on under the same digest.
    if content_digest(content) != envelope["content_digest"]:
        return Failure(BundleRefusal(BundleFault.CONTENT, "the content is not canonical"))
    return Success(ActiveBundle(envelope["revision"], found_digest, content, envelope))


def verify_body(
    body: bytes, operator_keys: Mapping[str, str], digest: str | None
) -> Result[ActiveBundle, BundleRefusal]:
    """Decode and verify a body: signatures, content, and the digests that bind them.

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
    return run_steps(verify_steps(body, operator_keys, digest))
