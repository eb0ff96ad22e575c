"""Errors of decoding."""

from typing import NamedTuple


class DecodeError(NamedTuple):
    """A body that was refused.

    Attributes
    ----------
    code : str
        Machine-readable code: `invalid_json`, `invalid_field`, `unknown_field` or `too_long`.
    message : str
        One sentence for a person.
    path : str
        Path of the field, such as `$.shards[3]`.
    """

    code: str
    message: str
    path: str
