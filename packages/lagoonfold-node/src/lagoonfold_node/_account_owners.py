"""Lookup of the owners of client accounts, for the rate controller."""

from collections.abc import Mapping

import trio

from lagoonfold import AccountId, Cell, InstanceId, Refusal, ShardId
from lagoonfold_node._ownership import OpenShard, ShardLocator
from lagoonfold_node._rates import LendingRight


class ShardAccountOwners:
    """Finds the owners of accounts by their shards.

    Reads the cell `shards`; writes none. Records when each shard was opened here, since the right
    to lend under an epoch starts then.
    """

    def __init__(self, shards: ShardLocator, opened: Cell[Mapping[ShardId, OpenShard]]) -> None:
        self._shards = shards
        self._opened_at_s_by_epoch: dict[tuple[ShardId, int], float] = {}
        opened.subscribe(self._record_opened)

    def _record_opened(self, opened: Mapping[ShardId, OpenShard]) -> None:
        now_s = trio.current_time()
        self._opened_at_s_by_epoch = {
            (shard_id, shard.epoch): self._opened_at_s_by_epoch.get((shard_id, shard.epoch), now_s)
            for shard_id, shard in opened.items()
        }

    def owner_of(self, account_id: AccountId) -> InstanceId | None:
        """Return the account's owner, or None while it has none."""
        return self._shards.owner_of(account_id)

    def owner_lookup_refusal(self) -> Refusal | None:
        """Return the refusal for waiting callers if this instance can't learn of a new owner."""
        return self._shards.owner_lookup_refusal()

    def lending_right(self, account_id: AccountId) -> LendingRight | None:
        """Return the right to lend if this instance certainly owns the account now."""
        shard = self._shards.find_open_for(account_id)
        if shard is None or not shard.holds_ownership():
            return None
        since_s = self._opened_at_s_by_epoch.get((shard.shard_id, shard.epoch))
        return None if since_s is None else LendingRight(epoch=shard.epoch, since_s=since_s)
