"""Read the body of a bundle from the platform or from the bundle file."""

from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import decode
from wisteriarock.platform.client import PlatformClient

from .const import CONTENT_KEY_PREFIX, ENVELOPE_KEY_PREFIX, MAX_BODY_BYTES
from .models import ActiveBundle, BundleFault, BundleRefusal, Envelope
from .verify import join_body, verify_body

FetchFromPeer = Callable[[str, str], Awaitable[Result[bytes, str]]]


async def fetch_body_from_platform(platform: PlatformClient, digest: str) -> Result[bytes, str]:
    """Read an envelope and its content from the platform.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    digest : str
        Digest of the envelope.

    Returns
    -------
    Result
        The unverified body, or an error message.
    """
    envelope = await platform.get(ENVELOPE_KEY_PREFIX + digest)
    if not isinstance(envelope, Success):
        return Failure(f"platform, envelope: {envelope.failure().value}")
    envelope_text = envelope.unwrap().value
    content_digest = _read_content_digest(envelope_text)
    if content_digest is None:
        return Failure("platform, envelope: malformed")
    content = await platform.get(CONTENT_KEY_PREFIX + content_digest)
    if not isinstance(content, Success):
        return Failure(f"platform, content: {content.failure().value}")
    return Success(join_body(envelope_text, content.unwrap().value))


def _read_content_digest(envelope_text: str) -> str | None:
    decoded = decode(envelope_text.encode(), Envelope, MAX_BODY_BYTES)
    return decoded.unwrap()["content_digest"] if isinstance(decoded, Success) else None


def read_bundle_file(
    path: str, operator_keys: Mapping[str, str]
) -> Result[ActiveBundle, BundleRefusal]:
    """Read and verify the signed bundle file.

    Parameters
    ----------
    path : str
        Path of a JSON file with the fields `envelope` and `content`.
    operator_keys : Mapping
        Public keys in base64 by operator.

    Returns
    -------
    Result
        The bundle, or the reason for its refusal.
    """
    try:
        with Path(path).open("rb") as file:
            body = file.read(MAX_BODY_BYTES + 1)
    except OSError as error:
        return Failure(BundleRefusal(BundleFault.WRONG_BODY, f"not readable: {error.strerror}"))
    return verify_body(body, operator_keys, None)
