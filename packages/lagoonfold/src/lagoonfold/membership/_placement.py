"""Placement of shards on members by rendezvous hashing, with bounded movement.

A shard stays where it is while its owner is a member that is not leaving. A shard without such an
owner goes to the member of its highest rendezvous weight that still has room. Then shards move
from the fullest to the emptiest members, a few at a time, until no two differ by more than one.
"""

from collections import Counter

from lagoonfold._ids import InstanceId, ShardId
from lagoonfold._rendezvous import rendezvous_weight
from lagoonfold.membership._table import Member, OwnershipTable

DEFAULT_MAX_MOVES = 4


def place_shards(
    table: OwnershipTable,
    members: tuple[Member, ...],
    shard_count: int,
    *,
    max_moves: int = DEFAULT_MAX_MOVES,
) -> tuple[InstanceId, ...]:
    """Return the owner of each shard; `members` must not be empty.

    Leaving members get nothing unless all are leaving. `max_moves` limits the shards that are
    moved only for balance.
    """
    staying = tuple(member for member in members if not member.leaving) or members
    placement = _Placement(table, staying, shard_count)
    placement.place_homeless()
    placement.balance(max_moves)
    return tuple(placement.owner_by_shard[ShardId(index)] for index in range(shard_count))


class _Placement:
    """A placement under way, with the number of shards on each member."""

    def __init__(self, table: OwnershipTable, members: tuple[Member, ...], shard_count: int):
        self.shard_count = shard_count
        self.members_by_id = {InstanceId(member.instance_id): member for member in members}
        self.loads_by_id: Counter[InstanceId] = Counter({name: 0 for name in self.members_by_id})
        self.loads_by_domain: Counter[str] = Counter()
        self.sizes_by_domain = Counter(member.failure_domain for member in members)
        self.owner_by_shard: dict[ShardId, InstanceId] = {}
        for index in range(shard_count):
            owner = InstanceId(table.owner(ShardId(index)).instance_id)
            if owner in self.members_by_id:
                self._assign(ShardId(index), owner)

    def place_homeless(self) -> None:
        """Give every shard without an owner to the best member that has room."""
        room = -(-self.shard_count // len(self.members_by_id))
        for index in range(self.shard_count):
            shard_id = ShardId(index)
            if shard_id in self.owner_by_shard:
                continue
            ranked = sorted(self.members_by_id, key=lambda name: -rendezvous_weight(shard_id, name))
            free = [name for name in ranked if self.loads_by_id[name] < room]
            self._assign(shard_id, self._least_loaded_domain(free or ranked))

    def balance(self, max_moves: int) -> None:
        """Move up to `max_moves` shards from the fullest members to the emptiest."""
        for _ in range(max_moves):
            fullest = max(self.loads_by_id, key=lambda name: (self.loads_by_id[name], name))
            emptiest = min(self.loads_by_id, key=self._emptiness)
            if self.loads_by_id[fullest] - self.loads_by_id[emptiest] <= 1:
                return
            owned = [shard for shard, owner in self.owner_by_shard.items() if owner == fullest]
            moved = max(owned, key=lambda shard: rendezvous_weight(shard, emptiest))
            self._count(fullest, -1)
            self._assign(moved, emptiest)

    def _assign(self, shard_id: ShardId, owner: InstanceId) -> None:
        self.owner_by_shard[shard_id] = owner
        self._count(owner, 1)

    def _count(self, owner: InstanceId, change: int) -> None:
        self.loads_by_id[owner] += change
        self.loads_by_domain[self.members_by_id[owner].failure_domain] += change

    def _emptiness(self, name: InstanceId) -> tuple[int, float, str]:
        return self.loads_by_id[name], self._domain_load(name), name

    def _least_loaded_domain(self, ranked: list[InstanceId]) -> InstanceId:
        """Return the first of the ranked members whose failure domain is the least loaded."""
        loads = [self._domain_load(name) for name in ranked]
        return ranked[loads.index(min(loads))]

    def _domain_load(self, name: InstanceId) -> float:
        """Return the shards for each member of a member's failure domain."""
        domain = self.members_by_id[name].failure_domain
        return self.loads_by_domain[domain] / self.sizes_by_domain[domain]
