"""Read files of a run folder."""

from pathlib import Path

from returns.result import Failure, Result
from wisteriarock.codec.decode import decode

from .const import FILE_PLAN
from .models import LoadPlan

# A plan for a few thousand endpoints takes about 1 MB.
_MAX_PLAN_BYTES = 64_000_000


def read_plan(folder: Path) -> Result[LoadPlan, str]:
    """Return the load plan of a run folder, or an error message."""
    path = folder / FILE_PLAN
    try:
        body = path.read_bytes()
    except OSError as error:
        return Failure(str(error))
    decoded = decode(body, LoadPlan, _MAX_PLAN_BYTES)
    return decoded.alt(lambda error: f"{path}: {error.message} (at {error.path})")
