"""Data of the stand-in endpoints, as pure functions that the answer checks use as well."""

from typing import Any


def lot_name(shard: str, index: int) -> str:
    """Return the name of a lot, such as `mill-07-0003`."""
    return f"{shard}-{index:04d}"


def params_error(params: dict[str, Any]) -> str | None:
    """Return an error message for the parameters of a leg, or None if they are valid."""
    if not isinstance(params.get("lot", ""), str):
        return "lot is not a string"
    limit = params.get("limit", 0)
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 0:
        return "limit is not a whole number of 0 or more"
    return None


def partition_rows(
    shard: str,
    part: int,
    parts: int,
    snapshot: int,
    lots_per_shard: int,
    params: dict[str, Any],
) -> list[dict[str, Any]]:
    """Return the rows of one partition; the union over all parts does not depend on `parts`.

    Parameters
    ----------
    shard : str
        Name of the shard.
    part, parts : int
        Index of the partition, from 0, and number of partitions. A lot belongs to part
        `index % parts`.
    snapshot : int
        Index version, which each row contains.
    lots_per_shard : int
        Number of lots of the whole shard.
    params : dict
        `lot` selects one lot by name. `limit` selects the first lots of the whole shard, not of
        the partition, so that the result does not depend on `parts`.

    Returns
    -------
    list of dict
        Rows with `lot`, `shard` and `snapshot`, in the order of the lots.
    """
    count = min(lots_per_shard, params.get("limit", lots_per_shard))
    selected_lot = params.get("lot")
    return [
        {"lot": lot, "shard": shard, "snapshot": snapshot}
        for lot in (lot_name(shard, index) for index in range(part, count, parts))
        if selected_lot is None or lot == selected_lot
    ]
