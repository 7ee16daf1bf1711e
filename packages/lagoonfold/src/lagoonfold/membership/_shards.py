"""The shard of a program or an account.

A child program's id starts with the id of its root, and only the root's part is hashed: a tree of
programs lives on one shard, so that one owner keeps the budget that the tree shares.
"""

import secrets

import xxhash

from lagoonfold._ids import ProgramId, ShardId

_CHILD_MARK = "."
_CHILD_BYTES = 6


def shard_key(text: str) -> str:
    """Return the part of an id that decides its shard."""
    return text.partition(_CHILD_MARK)[0]


def shard_of(text: str, shard_count: int) -> ShardId:
    """Return the shard of a program id or an account id."""
    return ShardId(xxhash.xxh64_intdigest(shard_key(text).encode()) % shard_count)


def child_program_id(parent_id: ProgramId) -> ProgramId:
    """Return a new id for a child of a program, on the same shard as the whole tree."""
    return ProgramId(f"{shard_key(parent_id)}{_CHILD_MARK}{secrets.token_hex(_CHILD_BYTES)}")
