"""What the stand-in endpoints hold, as pure functions that the load checker shares."""

from typing import Any


def lot_name(shard: str, index: int) -> str:
    """Return the name of a lot, such as `mill-07-0003`."""
    return f"{shard}-{index:04d}"


def params_error(params: dict[str, Any]) -> str | None:
    """Return what is wrong with the parameters of a leg, or None."""
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
    """Return the rows of one partition, so that the union over all parts never depends on `parts`.

    Parameters
    ----------
    shard : str
        Name of the shard.
    part, parts : int
        The partition, counted from 0, and their number. A lot belongs to part `index % parts`.
    snapshot : int
        Index version; each row carries it.
    lots_per_shard : int
        Number of lots of the whole shard.
    params : dict
        `lot` selects one lot by name. `limit` selects the first lots of the whole shard, not of
        the partition, so that its effect does not depend on `parts` either.

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
