"""Instance leases, the ownership table, and the placement of shards on instances.

shard_id = shard_of("prg-1f0c", table.shard_count)
owner = table.owner(shard_id)
"""

from lagoonfold.membership._committer import committer_of
from lagoonfold.membership._lease import CLOCK_DRIFT_MARGIN, InstanceLease
from lagoonfold.membership._placement import place_shards
from lagoonfold.membership._shards import child_program_id, shard_key, shard_of
from lagoonfold.membership._table import (
    NO_OWNER,
    Member,
    OwnershipTable,
    ShardOwner,
    TableView,
    next_table,
)
from lagoonfold.membership._table_codec import (
    decode_member,
    decode_table,
    encode_member,
    encode_table,
)

__all__ = [
    "CLOCK_DRIFT_MARGIN",
    "NO_OWNER",
    "InstanceLease",
    "Member",
    "OwnershipTable",
    "ShardOwner",
    "TableView",
    "child_program_id",
    "committer_of",
    "decode_member",
    "decode_table",
    "encode_member",
    "encode_table",
    "next_table",
    "place_shards",
    "shard_key",
    "shard_of",
]
