"""The ownership table and its members as values of the key-value service.

Every instance reads the whole table after each change, so it is kept small: an owner is the number
of its run id, those of the members coming first, and the value is compressed.
"""

import msgspec
from result import Err, Ok, Result

from lagoonfold._compression import compress, decompress
from lagoonfold.membership._table import Member, OwnershipTable, ShardOwner

FORMAT = 2
MAX_TABLE_BYTES = 8_000_000


class _OwnerValue(msgspec.Struct, frozen=True, array_like=True):
    """A shard's owner by the numbers of the run ids."""

    run: int
    epoch: int
    previous_run: int


class _TableValue(msgspec.Struct, frozen=True, kw_only=True):
    """The table's value; `other_run_ids` are those that belong to no member."""

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
    numbers_by_run_id: dict[str, int] = {}

    def number_of(run_id: str) -> int:
        return numbers_by_run_id.setdefault(run_id, len(numbers_by_run_id))

    for member in table.members:
        number_of(member.run_id)
    member_run_count = len(numbers_by_run_id)
    owners = tuple(
        _OwnerValue(number_of(owner.run_id), owner.epoch, number_of(owner.previous_run_id))
        for owner in table.owners
    )
    value = _TableValue(
        writer_id=table.writer_id,
        members=table.members,
        other_run_ids=tuple(numbers_by_run_id)[member_run_count:],
        owners=owners,
    )
    return compress(_ENCODER.encode(value))


def decode_table(data: bytes) -> Result[OwnershipTable, str]:
    """Read a table; an empty value is the table before the first placement."""
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
    known = range(len(run_ids))
    if any(owner.run not in known or owner.previous_run not in known for owner in value.owners):
        return Err("ownership table: an owner has no run id")
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
    """Read a member."""
    try:
        return Ok(_MEMBER_DECODER.decode(value))
    except msgspec.DecodeError as error:
        return Err(f"member: {error}")
