"""Places shards on members by rendezvous hashing, with bounded movement.

A shard keeps its owner while that is a member that is not leaving. Any other shard goes to a member
in the least loaded failure domain, there to the one of the highest rendezvous weight, among the
members that hold fewer shards than an even share. Then shards move from the most to the least
loaded members, a few at a time, until no two members differ by more than one.
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
    """Return the owner of each shard by shard id; `members` must not be empty.

    Leaving members own no shards unless all members are leaving. `max_moves` limits the number of
    shards that are moved only for balance.
    """
    staying = tuple(member for member in members if not member.leaving) or members
    placement = _Placement(table, staying, shard_count)
    placement.place_unowned()
    placement.balance(max_moves)
    return tuple(placement.owner_by_shard[ShardId(index)] for index in range(shard_count))


class _Placement:
    """Holds the owners placed so far and the number of shards of each member and domain."""

    def __init__(self, table: OwnershipTable, members: tuple[Member, ...], shard_count: int):
        self.shard_count = shard_count
        self.members_by_id = {InstanceId(member.instance_id): member for member in members}
        self.shard_counts_by_id: Counter[InstanceId] = Counter(
            {member_id: 0 for member_id in self.members_by_id}
        )
        self.shard_counts_by_domain: Counter[str] = Counter()
        self.member_counts_by_domain = Counter(member.failure_domain for member in members)
        self.owner_by_shard: dict[ShardId, InstanceId] = {}
        for index in range(shard_count):
            owner = InstanceId(table.owner(ShardId(index)).instance_id)
            if owner in self.members_by_id:
                self._assign(ShardId(index), owner)

    def place_unowned(self) -> None:
        """Assign every shard without an owner to the best member below its even share."""
        capacity = -(-self.shard_count // len(self.members_by_id))
        for index in range(self.shard_count):
            shard_id = ShardId(index)
            if shard_id in self.owner_by_shard:
                continue
            ranked = sorted(
                self.members_by_id, key=lambda member_id: -rendezvous_weight(shard_id, member_id)
            )
            below_capacity = [
                member_id for member_id in ranked if self.shard_counts_by_id[member_id] < capacity
            ]
            self._assign(shard_id, self._first_in_least_loaded_domain(below_capacity or ranked))

    def balance(self, max_moves: int) -> None:
        """Move up to `max_moves` shards from the most loaded to the least loaded members."""
        for _ in range(max_moves):
            most_loaded = max(
                self.shard_counts_by_id,
                key=lambda member_id: (self.shard_counts_by_id[member_id], member_id),
            )
            least_loaded = min(self.shard_counts_by_id, key=self._load_order)
            if self.shard_counts_by_id[most_loaded] - self.shard_counts_by_id[least_loaded] <= 1:
                return
            owned = [shard for shard, owner in self.owner_by_shard.items() if owner == most_loaded]
            moved_shard = max(owned, key=lambda shard: rendezvous_weight(shard, least_loaded))
            self._add_load(most_loaded, -1)
            self._assign(moved_shard, least_loaded)

    def _assign(self, shard_id: ShardId, owner: InstanceId) -> None:
        self.owner_by_shard[shard_id] = owner
        self._add_load(owner, 1)

    def _add_load(self, owner: InstanceId, change: int) -> None:
        self.shard_counts_by_id[owner] += change
        self.shard_counts_by_domain[self.members_by_id[owner].failure_domain] += change

    def _load_order(self, member_id: InstanceId) -> tuple[int, float, str]:
        return self.shard_counts_by_id[member_id], self._domain_load(member_id), member_id

    def _first_in_least_loaded_domain(self, ranked: list[InstanceId]) -> InstanceId:
        """Return the first of the ranked members in the least loaded failure domain."""
        loads = [self._domain_load(member_id) for member_id in ranked]
        return ranked[loads.index(min(loads))]

    def _domain_load(self, member_id: InstanceId) -> float:
        """Return the mean number of shards per member in a member's failure domain."""
        domain = self.members_by_id[member_id].failure_domain
        return self.shard_counts_by_domain[domain] / self.member_counts_by_domain[domain]
