"""One instance's part in membership, shard ownership, recovery and group commit."""

from lagoonfold_node._ownership._context import OwnershipContext, OwnershipSettings
from lagoonfold_node._ownership._open_shard import OpenShard, ShardStatus
from lagoonfold_node._ownership._ownership import Ownership, ShardLocator

__all__ = [
    "OpenShard",
    "Ownership",
    "OwnershipContext",
    "OwnershipSettings",
    "ShardStatus",
    "ShardLocator",
]
