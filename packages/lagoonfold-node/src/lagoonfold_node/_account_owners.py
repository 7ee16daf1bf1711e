"""Who owns which client account, for the rate controller."""

import trio

from lagoonfold import AccountId, InstanceId
from lagoonfold_node._ownership import Shards
from lagoonfold_node._rates import Lending


class ShardAccountOwners:
    """Finds accounts' owners by their shards; a shard's epoch and opening bound the lending."""

    def __init__(self, shards: Shards) -> None:
        self._shards = shards
        self._since_by_epoch: dict[tuple[int, int], float] = {}

    def owner_of(self, account_id: AccountId) -> InstanceId | None:
        """Return the owning instance, or None while there is none."""
        return self._shards.owner_of(account_id)

    def lending(self, account_id: AccountId) -> Lending | None:
        """Return the right to lend if this instance owns the account and may act now."""
        shard = self._shards.opened_for(account_id)
        if shard is None or not shard.may_act():
            return None
        key = (shard.shard_id, shard.epoch)
        since_s = self._since_by_epoch.setdefault(key, trio.current_time())
        return Lending(epoch=shard.epoch, since_s=since_s)
