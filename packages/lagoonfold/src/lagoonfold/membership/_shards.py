"""Maps programs and accounts to shards.

A child program's id starts with the id of its root program, and only the root's id is hashed. All
programs of a tree are thus on one shard, whose owner keeps the budget that the tree shares.
"""

import secrets

import xxhash

from lagoonfold._ids import ProgramId, ShardId

_CHILD_SEPARATOR = "."
_CHILD_SUFFIX_BYTES = 6


def shard_key(entity_id: str) -> str:
    """Return the part of a program id or an account id that is hashed."""
    return entity_id.partition(_CHILD_SEPARATOR)[0]


def shard_of(entity_id: str, shard_count: int) -> ShardId:
    """Return the shard of a program id or an account id."""
    return ShardId(xxhash.xxh64_intdigest(shard_key(entity_id).encode()) % shard_count)


def child_program_id(parent_id: ProgramId) -> ProgramId:
    """Return a new id for a child program, on the same shard as its parent."""
    return ProgramId(
        f"{shard_key(parent_id)}{_CHILD_SEPARATOR}{secrets.token_hex(_CHILD_SUFFIX_BYTES)}"
    )
