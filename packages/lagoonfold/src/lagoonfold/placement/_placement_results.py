"""Why a request is not placed."""

from dataclasses import dataclass
from enum import Enum


class PlacementShortage(Enum):
    """Why a request is not placed.

    `NO_REPLICA`: the pool has no replica. `FULL`: it would not get a slot in time, or not at once
    if it may not wait. `WAITING`: it could still get one, but whoever asked wants to know by now.
    """

    NO_REPLICA = "no-replica"
    FULL = "full"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRefusal:
    """A request that is not placed: why, and after how many seconds it may find a place in time.

    `retry_after_s` is 0 where that is not known.
    """

    shortage: PlacementShortage
    retry_after_s: float = 0.0
