"""The ownership table: the live members, and the owner and epoch of every shard.

The table is one value of the key-value service, written by compare-and-swap. An epoch never
decreases. It grows with every change of owner, including a restart under the same instance id.
"""

from dataclasses import dataclass

import msgspec

from lagoonfold._ids import Epoch, InstanceId, ShardId


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A live instance as it registers itself; `incarnation` is unique to its process."""

    instance_id: str
    incarnation: str
    address: str
    failure_domain: str
    leaving: bool = False
    operator_address: str = ""

    @property
    def run_id(self) -> str:
        """Return the id of the process, made of the instance id and the incarnation."""
        return f"{self.instance_id}/{self.incarnation}"


class ShardOwner(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a shard; `previous_run_id` is the process that owned it before."""

    instance_id: str
    run_id: str
    epoch: int
    previous_run_id: str = ""


NO_OWNER = ShardOwner("", "", 0)


class OwnershipTable(msgspec.Struct, frozen=True, kw_only=True):
    """The members and the owners of all shards; `owners` is indexed by shard id."""

    writer_id: str = ""
    members: tuple[Member, ...] = ()
    owners: tuple[ShardOwner, ...] = ()

    @property
    def shard_count(self) -> int:
        """Return the number of shards."""
        return len(self.owners)

    def owner(self, shard_id: ShardId) -> ShardOwner:
        """Return the shard's owner, `NO_OWNER` before the first placement."""
        return self.owners[shard_id] if shard_id < len(self.owners) else NO_OWNER

    def members_by_id(self) -> dict[InstanceId, Member]:
        """Return the members by instance id."""
        return {InstanceId(member.instance_id): member for member in self.members}

    def live_run_ids(self) -> frozenset[str]:
        """Return the run ids of the members' processes."""
        return frozenset(member.run_id for member in self.members)


@dataclass(frozen=True, slots=True, kw_only=True)
class TableView:
    """A table, its revision, and when it was last known current, in seconds of the own clock."""

    table: OwnershipTable
    revision: int
    verified_at_s: float


def next_table(
    table: OwnershipTable,
    members: tuple[Member, ...],
    owner_ids: tuple[InstanceId, ...],
    writer_id: str,
) -> OwnershipTable:
    """Return the table in which `owner_ids`, by shard id, own the shards.

    Every change of a shard's run id raises its epoch by one.
    """
    members_by_id = {InstanceId(member.instance_id): member for member in members}
    owners = []
    for index, instance_id in enumerate(owner_ids):
        before = table.owner(ShardId(index))
        run_id = members_by_id[instance_id].run_id
        if before.run_id == run_id:
            owners.append(before)
            continue
        epoch = Epoch(before.epoch + 1)
        owners.append(ShardOwner(instance_id, run_id, epoch, before.run_id))
    return OwnershipTable(writer_id=writer_id, members=members, owners=tuple(owners))
