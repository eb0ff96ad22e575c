"""Returns of the store from an older copy."""

import asyncio
import random

from wisteriastandins.users.store import Row

from .models import Disturbance, Fault
from .world import SoakDeployment

# Age of the copy, the time for which the store is away before it returns, and the time after which
# what operators and endpoints had written is written again.
COPY_AGE_S = (0.2, 4.0)
AWAY_S = (0.0, 1.0)
REWRITE_DELAY_S = (0.05, 1.5)
# Revisions that are given out again at once.
REVISIONS_AHEAD = (0, 0, 5, 50)
_WRITTEN_BY_OTHERS = ("op/", "servers/")


async def return_store(deployment: SoakDeployment, fault: Fault) -> None:
    """Take a copy of the store, let it age, and come back from it after a moment away."""
    rng = random.Random(fault.target)
    store = deployment.store
    copy = store.take_copy()
    await asyncio.sleep(rng.uniform(*COPY_AGE_S))
    away_s, rewrite_s = rng.uniform(*AWAY_S), rng.uniform(*REWRITE_DELAY_S)
    now_ms = deployment.now_ms()
    until_ms = now_ms + (away_s + rewrite_s) * 1000
    deployment.observations.disturbances.append(Disturbance(-1, now_ms, until_ms, False))
    if store.mode == "ok":
        store.mode = rng.choice(("busy", "silent"))
        await asyncio.sleep(away_s)
        store.mode = "ok"
    if copy.era != store.state.era:
        # Another return came first; its copies are not those of this era.
        return
    truth = _written_by_others(store.state.rows)
    store.return_from_copy(copy, rng.choice(REVISIONS_AHEAD))
    returned_revision = store.state.revision
    await asyncio.sleep(rewrite_s)
    current = _written_by_others(store.state.rows)
    for key, row in truth.items():
        if key not in current or current[key].revision <= returned_revision:
            store.put(key, row.value)
    for key in current.keys() - truth.keys():
        if current[key].revision <= returned_revision:
            store.remove(key)


def _written_by_others(rows: dict[str, Row]) -> dict[str, Row]:
    """Return what operators and endpoints have written."""
    return {key: row for key, row in rows.items() if key.startswith(_WRITTEN_BY_OTHERS)}
