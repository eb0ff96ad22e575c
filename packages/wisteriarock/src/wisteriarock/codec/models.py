"""Errors of the decoder."""

from typing import NamedTuple


class DecodeError(NamedTuple):
    """Reason why a body was rejected.

    Attributes
    ----------
    code : str
        Machine-readable code: `invalid_json`, `invalid_field`, `unknown_field` or `too_long`.
    message : str
        Description of the error in one sentence.
    path : str
        Path of the invalid field, such as `$.shards[3]`.
    """

    code: str
    message: str
    path: str
