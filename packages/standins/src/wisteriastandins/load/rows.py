"""Find the function that defines the rows of the stand-ins."""

import importlib
from typing import cast

from .models import RowsOf


def load_rows_of() -> RowsOf:
    """Return `wisteriastandins.data.rows_of`, imported when a run needs it."""
    return cast(RowsOf, importlib.import_module("wisteriastandins.data").rows_of)
