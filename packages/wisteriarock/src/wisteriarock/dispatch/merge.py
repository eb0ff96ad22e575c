"""Merging of the parts of a fan-out."""

RECORD_BYTES = 16


def merge_records(bodies: list[bytes], top_count: int) -> bytes:
    """Return the `top_count` greatest records of all bodies in descending byte order.

    Duplicates are kept. A trailing remainder shorter than a record is ignored.
    """
    records = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records += [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]
    records.sort(reverse=True)
    return b"".join(records[:top_count])
