"""Verify the body of a bundle from any source."""

from collections.abc import Generator, Mapping

from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import decode

from .checks import check_content_in_steps, run_to_completion
from .const import MAX_BODY_BYTES
from .models import ActiveBundle, BundleFault, BundleRefusal, RawBundle, SignedBundle
from .signing import (
    canonical_bytes,
    content_digest,
    envelope_digest,
    sha256_hex,
    verify_envelope,
)

_MAX_REPORTED_ERRORS = 3


def encode_body(bundle: SignedBundle) -> bytes:
    """Return the canonical JSON encoding of an envelope and its content."""
    return canonical_bytes(bundle)


def join_body(envelope_text: str, content_text: str) -> bytes:
    """Join the envelope and the content, two values of the platform, into a body."""
    return f'{{"envelope":{envelope_text},"content":{content_text}}}'.encode()


def verify_body_in_steps(
    body: bytes, operator_keys: Mapping[str, str], digest: str | None
) -> Generator[None, None, Result[ActiveBundle, BundleRefusal]]:
    """Verify a body like `verify_body`, as a generator that pauses between steps.

    The pauses allow the event loop to run other work.

    Yields
    ------
    None
        After each step.

    Returns
    -------
    Result
        Same as `verify_body`.
    """
    decoded = decode(body, RawBundle, MAX_BODY_BYTES)
    if not isinstance(decoded, Success):
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, decoded.failure().message))
    envelope, raw_content = decoded.unwrap()["envelope"], decoded.unwrap()["content"]
    yield
    found_digest = envelope_digest(envelope)
    if digest is not None and found_digest != digest:
        return Failure(
            BundleRefusal(
                BundleFault.WRONG_BODY, "the digest of the envelope is not the requested one"
            )
        )
    signed = verify_envelope(envelope, operator_keys)
    if not isinstance(signed, Success):
        return Failure(BundleRefusal(BundleFault.SIGNATURE, signed.failure().value))
    # Compare the digest first, as the check of the content takes much longer.
    if sha256_hex(canonical_bytes(raw_content)) != envelope["content_digest"]:
        return Failure(
            BundleRefusal(
                BundleFault.WRONG_BODY, "the digest of the content is not the one in the envelope"
            )
        )
    yield
    checked = yield from check_content_in_steps(raw_content)
    if not isinstance(checked, Success):
        errors = checked.failure()
        reported = [
            f"{e.path}: {e.found}, allowed: {e.allowed}" for e in errors[:_MAX_REPORTED_ERRORS]
        ]
        detail = f"{len(errors)} errors: {'; '.join(reported)}"
        return Failure(BundleRefusal(BundleFault.CONTENT, detail))
    content = checked.unwrap()
    # If the check changed a signed content, peers could not receive it under the same digest.
    if content_digest(content) != envelope["content_digest"]:
        return Failure(BundleRefusal(BundleFault.CONTENT, "the content is not canonical"))
    return Success(ActiveBundle(envelope["revision"], found_digest, content, envelope))


def verify_body(
    body: bytes, operator_keys: Mapping[str, str], digest: str | None
) -> Result[ActiveBundle, BundleRefusal]:
    """Decode a body and verify its signatures, its content and its digests.

    Parameters
    ----------
    body : bytes
        JSON object with the fields `envelope` and `content`.
    operator_keys : Mapping
        Public keys in base64 by operator.
    digest : str or None
        The requested envelope digest; None accepts any.

    Returns
    -------
    Result
        The bundle, or the reason for its refusal.
    """
    return run_to_completion(verify_body_in_steps(body, operator_keys, digest))
