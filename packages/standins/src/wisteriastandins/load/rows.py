"""Import the function that defines the rows of the stand-in endpoints."""

import importlib
from typing import cast

from .models import PartitionRows


def import_partition_rows() -> PartitionRows:
    """Return `wisteriastandins.data.partition_rows`, imported on the call."""
    return cast(PartitionRows, importlib.import_module("wisteriastandins.data").partition_rows)
