"""What a request needs of a replica, the place that it gets, and the pools that may give one."""

from dataclasses import dataclass

from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    PromptPart,
    ReplicaPool,
    ReplicaSelection,
    pools_holding,
    rank_pools,
)
from lagoonfold_gateway.placing._placement_orders import SESSION_PART_INDEX


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementNeed:
    """A request that needs a replica.

    `excluded` must not be selected; `only`, if it is set, must be, and so must one of the software
    version `version`. A replica found later than `place_until_s` is of no use, and neither is an
    answer after `answer_deadline_s`; `soft_deadline_s` is when its program should be done. Requests
    of the same `affinity` concern the same object. With `is_hedge` it is a second attempt.
    `program` is set if that is the program's own time. `is_begun` says whether the program has
    begun; the request waits for a place since `waiting_since_s`. These and the `account` are told
    only to owners that admit by program.
    """

    service: str
    route: str
    request_id: str
    parts: tuple[PromptPart, ...]
    rank: int
    soft_deadline_s: float
    answer_deadline_s: float
    place_until_s: float
    excluded: frozenset[str] = frozenset()
    only: str | None = None
    expected_tokens: int | None = None
    version: str | None = None
    affinity: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    is_hedge: bool = False
    account: str | None = None
    is_begun: bool = True
    program: str | None = None
    waiting_since_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """A request's place at a replica.

    `owner` is the instance that placed it under this number, None if this instance did so by its
    own knowledge.
    """

    owner: str | None
    number: int
    pool: ReplicaPool
    selection: ReplicaSelection
    is_hedge: bool = False


def pools_of(need: PlacementNeed, replicas: list[Replica], listed: int) -> list[ReplicaPool]:
    """Return the pools that may take a request, the first one of its session or object first."""
    has_session = len(need.parts) > SESSION_PART_INDEX
    key = need.parts[SESSION_PART_INDEX].part_id if has_session else need.affinity
    pools = rank_pools(need.service, replicas, key or need.request_id, listed=listed)
    if need.only is not None:
        return [pool for pool in pools if pool.holds(need.only)] or pools[:1]
    usable = [
        replica
        for replica in replicas
        if replica.replica_id not in need.excluded and is_of_version(replica, need)
    ]
    return pools_holding(usable, pools) or pools


def is_of_version(replica: Replica, need: PlacementNeed) -> bool:
    """Return whether a replica has the software version that a request needs."""
    return need.version in (None, replica.version)
