"""Canonical form, digests and signatures of bundles."""

import base64
import binascii
import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from returns.result import Failure, Result, Success

from .const import DIGEST_PATTERN, MAX_REVISION, NAME_PATTERN, SIGNATURE_LABEL
from .models import BundleContent, Envelope, SignatureError, SignedBundle


def canonical_bytes(value: Any) -> bytes:
    """Return the canonical JSON encoding, with sorted keys and no whitespace, for digests."""
    return msgspec.json.encode(value, order="sorted")


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 digest in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def content_digest(content: BundleContent) -> str:
    """Return the digest of a checked content.

    `check_content` converts integers to floats where the type requires it, so an unchecked content
    may have a different digest.
    """
    return sha256_hex(canonical_bytes(content))


def envelope_digest(envelope: Envelope) -> str:
    """Return the digest of an envelope, including its signatures."""
    return sha256_hex(canonical_bytes(envelope))


def encode_statement(envelope: Envelope) -> bytes:
    """Return the bytes that both the proposer and the approver sign.

    They are a JSON array with fixed positions, so that different envelopes never have the same
    statement. The label prevents the reuse of a signature in another context.
    """
    return canonical_bytes(
        [
            SIGNATURE_LABEL,
            envelope["revision"],
            envelope["content_digest"],
            envelope["previous_digest"],
            ["proposer", envelope["proposer"]],
            ["approver", envelope["approver"]],
        ]
    )


def generate_key() -> Ed25519PrivateKey:
    """Generate a private key for an operator."""
    return Ed25519PrivateKey.generate()


def private_key_to_pem(key: Ed25519PrivateKey) -> bytes:
    """Encode a private key as unencrypted PKCS #8 PEM."""
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def private_key_from_pem(pem: bytes) -> Result[Ed25519PrivateKey, SignatureError]:
    """Decode a private key; the error never contains any part of it."""
    try:
        key = serialization.load_pem_private_key(pem, None)
    except (ValueError, TypeError):
        return Failure(SignatureError.INVALID_KEY)
    if not isinstance(key, Ed25519PrivateKey):
        return Failure(SignatureError.INVALID_KEY)
    return Success(key)


def public_key_to_text(key: Ed25519PrivateKey) -> str:
    """Return the public key of a private key in base64, the format of `operator_keys`."""
    raw = key.public_key().public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw)
    return base64.b64encode(raw).decode()


def public_key_from_text(text: str) -> Result[Ed25519PublicKey, SignatureError]:
    """Decode a public key from base64."""
    try:
        raw = base64.b64decode(text, validate=True)
        return Success(Ed25519PublicKey.from_public_bytes(raw))
    except (ValueError, binascii.Error):
        return Failure(SignatureError.INVALID_KEY)


def sign_statement(envelope: Envelope, key: Ed25519PrivateKey) -> str:
    """Sign the statement of an envelope and return the signature in base64."""
    return base64.b64encode(key.sign(encode_statement(envelope))).decode()


def draft_envelope(
    revision: int, content_sha256: str, previous_digest: str, proposer: str, approver: str
) -> Envelope:
    """Create an envelope without signatures."""
    return Envelope(
        revision=revision,
        content_digest=content_sha256,
        previous_digest=previous_digest,
        proposer=proposer,
        approver=approver,
        proposer_signature="",
        approver_signature="",
    )


def sign_envelope(envelope: Envelope, operator: str, key: Ed25519PrivateKey) -> Envelope:
    """Add the signature of an operator, as proposer or approver, to an envelope.

    Parameters
    ----------
    envelope : Envelope
        Already names its proposer and approver.
    operator : str
        The proposer or the approver of the envelope.
    key : Ed25519PrivateKey
        The operator's key.

    Returns
    -------
    Envelope
        A copy that includes the signature.

    Raises
    ------
    ValueError
        If the operator is neither the proposer nor the approver.
    """
    signature = sign_statement(envelope, key)
    if operator == envelope["proposer"]:
        return {**envelope, "proposer_signature": signature}
    if operator == envelope["approver"]:
        return {**envelope, "approver_signature": signature}
    raise ValueError(
        f"Operator {operator!r} is neither the proposer nor the approver of the envelope."
    )


def _is_well_formed(envelope: Envelope) -> bool:
    """Return whether the fields, except the signatures, have a valid format."""
    if not 1 <= envelope["revision"] <= MAX_REVISION:
        return False
    if not DIGEST_PATTERN.fullmatch(envelope["content_digest"]):
        return False
    previous = envelope["previous_digest"]
    if (envelope["revision"] == 1) != (previous == ""):
        return False
    if previous and not DIGEST_PATTERN.fullmatch(previous):
        return False
    return all(NAME_PATTERN.fullmatch(envelope[role]) for role in ("proposer", "approver"))


def _check_signature(statement: bytes, signature: str, key_text: str) -> SignatureError | None:
    key = public_key_from_text(key_text)
    if not isinstance(key, Success):
        return key.failure()
    try:
        raw = base64.b64decode(signature, validate=True)
        key.unwrap().verify(raw, statement)
    except (ValueError, binascii.Error, InvalidSignature):
        return SignatureError.INVALID_SIGNATURE
    # Several base64 texts can encode the same bytes, and each would change the envelope digest.
    if base64.b64encode(raw).decode() != signature:
        return SignatureError.INVALID_SIGNATURE
    return None


def verify_proposer(
    envelope: Envelope, operator_keys: Mapping[str, str]
) -> Result[Envelope, SignatureError]:
    """Check the format, both operators and the proposer's signature of an envelope.

    Parameters
    ----------
    envelope : Envelope
        The approver's signature may be missing.
    operator_keys : Mapping
        Public keys in base64 by operator.

    Returns
    -------
    Result
        The envelope, or the reason for its refusal.
    """
    if not _is_well_formed(envelope):
        return Failure(SignatureError.MALFORMED)
    if not envelope["proposer_signature"]:
        signed = bool(envelope["approver_signature"])
        return Failure(SignatureError.HALF_SIGNED if signed else SignatureError.UNSIGNED)
    proposer_key = operator_keys.get(envelope["proposer"])
    approver_key = operator_keys.get(envelope["approver"])
    if envelope["proposer"] == envelope["approver"]:
        return Failure(SignatureError.SELF_APPROVED)
    if proposer_key is None or approver_key is None:
        return Failure(SignatureError.UNKNOWN_OPERATOR)
    # Equal keys mean that one person holds both names.
    if proposer_key == approver_key:
        return Failure(SignatureError.SELF_APPROVED)
    statement = encode_statement(envelope)
    if error := _check_signature(statement, envelope["proposer_signature"], proposer_key):
        return Failure(error)
    return Success(envelope)


def verify_envelope(
    envelope: Envelope, operator_keys: Mapping[str, str]
) -> Result[Envelope, SignatureError]:
    """Check that an envelope is proposed and approved by two different known operators.

    Parameters
    ----------
    envelope : Envelope
        Decoded, with every field of its declared type.
    operator_keys : Mapping
        Public keys in base64 by operator.

    Returns
    -------
    Result
        The envelope, or the reason for its refusal.
    """
    proposed = verify_proposer(envelope, operator_keys)
    if not isinstance(proposed, Success):
        return proposed
    if not envelope["approver_signature"]:
        return Failure(SignatureError.HALF_SIGNED)
    statement = encode_statement(envelope)
    approver_key = operator_keys[envelope["approver"]]
    if error := _check_signature(statement, envelope["approver_signature"], approver_key):
        return Failure(error)
    return Success(envelope)


def sign_bundle(
    content: BundleContent,
    revision: int,
    previous_digest: str,
    proposer: str,
    proposer_key: Ed25519PrivateKey,
    approver: str,
    approver_key: Ed25519PrivateKey,
) -> SignedBundle:
    """Sign a content with the keys of both operators, for tools and tests.

    Parameters
    ----------
    content : BundleContent
        Checked content.
    revision : int
        Revision of the bundle, from 1.
    previous_digest : str
        Digest of the previous envelope, empty for revision 1.
    proposer, approver : str
        Two different operators.
    proposer_key, approver_key : Ed25519PrivateKey
        Private keys of the two operators.
    """
    digest = content_digest(content)
    draft = draft_envelope(revision, digest, previous_digest, proposer, approver)
    half_signed = sign_envelope(draft, proposer, proposer_key)
    return SignedBundle(
        envelope=sign_envelope(half_signed, approver, approver_key), content=content
    )
