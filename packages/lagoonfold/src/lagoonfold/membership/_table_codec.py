"""Encodes the ownership table and its members as values of the key-value service.

Every instance reads the whole table after each change, so the value is kept small: it is compressed
and refers to a run id by its index in the list of the members' run ids followed by all others.
"""

import msgspec
from result import Err, Ok, Result

from lagoonfold._compression import compress, decompress
from lagoonfold.membership._table import Member, OwnershipTable, ShardOwner

FORMAT = 2
MAX_TABLE_BYTES = 8_000_000  # bounds the memory that a damaged value takes when expanded


class _OwnerValue(msgspec.Struct, frozen=True, array_like=True):
    """A shard's owner, with run ids given by index."""

    run: int
    epoch: int
    previous_run: int


class _TableValue(msgspec.Struct, frozen=True, kw_only=True):
    """The encoded table; `other_run_ids` are the run ids of owners that are not members."""

    writer_id: str
    members: tuple[Member, ...]
    other_run_ids: tuple[str, ...]
    owners: tuple[_OwnerValue, ...]
    format: int = FORMAT


_TABLE_DECODER = msgspec.msgpack.Decoder(_TableValue)
_MEMBER_DECODER = msgspec.msgpack.Decoder(Member)
_ENCODER = msgspec.msgpack.Encoder()


def encode_table(table: OwnershipTable) -> bytes:
    """Return the table as the value of its key."""
    indices_by_run_id: dict[str, int] = {}

    def index_of(run_id: str) -> int:
        return indices_by_run_id.setdefault(run_id, len(indices_by_run_id))

    for member in table.members:
        index_of(member.run_id)
    member_run_count = len(indices_by_run_id)
    owners = tuple(
        _OwnerValue(index_of(owner.run_id), owner.epoch, index_of(owner.previous_run_id))
        for owner in table.owners
    )
    value = _TableValue(
        writer_id=table.writer_id,
        members=table.members,
        other_run_ids=tuple(indices_by_run_id)[member_run_count:],
        owners=owners,
    )
    return compress(_ENCODER.encode(value))


def decode_table(data: bytes) -> Result[OwnershipTable, str]:
    """Return the table, or why it is invalid; an empty value is the table before any placement."""
    if not data:
        return Ok(OwnershipTable())
    content = decompress(data, max_bytes=MAX_TABLE_BYTES)
    if isinstance(content, Err):
        return Err(f"ownership table: {content.err_value}")
    try:
        value = _TABLE_DECODER.decode(content.ok_value)
    except msgspec.DecodeError as error:
        return Err(f"ownership table: {error}")
    if value.format != FORMAT:
        return Err(f"ownership table: format {value.format} is not {FORMAT}")
    return _table_of(value)


def _table_of(value: _TableValue) -> Result[OwnershipTable, str]:
    run_ids = [*dict.fromkeys(member.run_id for member in value.members), *value.other_run_ids]
    indices = range(len(run_ids))
    if any(owner.run not in indices or owner.previous_run not in indices for owner in value.owners):
        return Err("ownership table: an owner refers to an unknown run id")
    owners = tuple(_owner_of(owner, run_ids) for owner in value.owners)
    return Ok(OwnershipTable(writer_id=value.writer_id, members=value.members, owners=owners))


def _owner_of(owner: _OwnerValue, run_ids: list[str]) -> ShardOwner:
    run_id = run_ids[owner.run]
    instance_id = run_id.rpartition("/")[0]
    return ShardOwner(instance_id, run_id, owner.epoch, run_ids[owner.previous_run])


def encode_member(member: Member) -> bytes:
    """Return a member as the value of its key."""
    return _ENCODER.encode(member)


def decode_member(value: bytes) -> Result[Member, str]:
    """Return the member, or why the value is invalid."""
    try:
        return Ok(_MEMBER_DECODER.decode(value))
    except msgspec.DecodeError as error:
        return Err(f"member: {error}")
