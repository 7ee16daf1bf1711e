"""Who owns which client account, for the rate controller."""

from collections.abc import Mapping

import trio

from lagoonfold import AccountId, Cell, InstanceId, Refusal, ShardId
from lagoonfold_node._ownership import OpenShard, ShardLocator
from lagoonfold_node._rates import LendingRight


class ShardAccountOwners:
    """Finds accounts' owners by their shards.

    Reads the cell `shards`, and notes when each was opened here: lending under an epoch counts
    from then.
    """

    def __init__(self, shards: ShardLocator, opened: Cell[Mapping[ShardId, OpenShard]]) -> None:
        self._shards = shards
        self._since_by_shard: dict[tuple[ShardId, int], float] = {}
        opened.subscribe(self._note_opened)

    def _note_opened(self, opened: Mapping[ShardId, OpenShard]) -> None:
        now_s = trio.current_time()
        self._since_by_shard = {
            (shard_id, shard.epoch): self._since_by_shard.get((shard_id, shard.epoch), now_s)
            for shard_id, shard in opened.items()
        }

    def owner_of(self, account_id: AccountId) -> InstanceId | None:
        """Return the owning instance, or None while there is none."""
        return self._shards.owner_of(account_id)

    def owner_lookup_refusal(self) -> Refusal | None:
        """Return what is told to those who wait for an owner, if no new one can be learned of."""
        return self._shards.owner_lookup_refusal()

    def lending_right(self, account_id: AccountId) -> LendingRight | None:
        """Return the right to lend if this instance owns the account and may act now."""
        shard = self._shards.find_open_for(account_id)
        if shard is None or not shard.holds_ownership():
            return None
        since_s = self._since_by_shard.get((shard.shard_id, shard.epoch))
        return None if since_s is None else LendingRight(epoch=shard.epoch, since_s=since_s)
