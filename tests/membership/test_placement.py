"""Tests of the placement of shards and of the ownership table."""

from collections import Counter

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from lagoonfold import compress, decompress
from lagoonfold.membership import (
    InstanceLease,
    OwnershipTable,
    child_program_id,
    decode_table,
    encode_table,
    next_table,
    place_shards,
    shard_of,
)
from lagoonfold.membership._table_codec import FORMAT, MAX_TABLE_BYTES
from tests._suite import load_functions
from tests.membership._strategies import make_member, member_sets

SHARD_COUNT = 32


def _advance(table: OwnershipTable, members: tuple, **options: int) -> OwnershipTable:
    placed = place_shards(table, members, SHARD_COUNT, **options)
    return next_table(table, members, placed, "writer")


@settings(derandomize=True, deadline=None)
@given(st.lists(member_sets(), min_size=1, max_size=5))
def test_placement_over_changes_of_membership(member_sets_in_order: list) -> None:
    """Each shard has one live owner; epochs grow by one with each change of process only."""
    table = OwnershipTable()
    for members in member_sets_in_order:
        after = _advance(table, members)
        run_ids = {member.run_id for member in members}
        staying = {member.run_id for member in members if not member.leaving} or run_ids
        for before_owner, owner in zip(table.owners, after.owners, strict=False):
            assert owner.run_id in staying
            changed = owner.run_id != before_owner.run_id
            assert owner.epoch == before_owner.epoch + changed
            if changed:
                assert owner.previous_run_id == before_owner.run_id
        assert decode_table(encode_table(after)).unwrap() == after
        table = after


def test_movement_is_bounded() -> None:
    """A joining member gets at most `max_moves` shards at a time, and its full share in the end."""
    table = _advance(OwnershipTable(), tuple(make_member(index) for index in range(6)))
    members = tuple(make_member(index) for index in range(7))
    for _ in range(3):
        after = _advance(table, members, max_moves=2)
        pairs = zip(table.owners, after.owners, strict=True)
        assert sum(before != owner for before, owner in pairs) <= 2
        table = after
    assert set(Counter(owner.instance_id for owner in table.owners).values()) == {4, 5}


def test_shards_spread_over_failure_domains() -> None:
    """Each failure domain of equal size holds about a third of the shards."""
    table = _advance(OwnershipTable(), tuple(make_member(index) for index in range(6)))
    counts = Counter(int(owner.instance_id[-1]) % 3 for owner in table.owners)
    assert max(counts.values()) - min(counts.values()) <= 2


def test_lost_member_moves_only_its_shards() -> None:
    """The shards of members that stay do not move when one is lost, but for balance."""
    members = tuple(make_member(index) for index in range(7))
    table = _advance(OwnershipTable(), members)
    after = _advance(table, members[1:], max_moves=0)
    for before, owner in zip(table.owners, after.owners, strict=True):
        assert owner == before or before.instance_id == "entry-0"


def test_child_shares_the_shard_of_its_root() -> None:
    """A child and a grandchild hash to the shard of their root."""
    child = child_program_id("prg-1")
    grandchild = child_program_id(child)
    assert child != grandchild
    assert len({shard_of(each, 4096) for each in ("prg-1", child, grandchild)}) == 1


def test_lease_ends_before_the_service_ends_it() -> None:
    """The lease counts from before the call, less a margin for the clock's rate."""
    lease = InstanceLease.from_grant(7, requested_at_s=100.0, ttl_s=10.0)
    assert lease.is_valid(109.7) and not lease.is_valid(109.8)


def test_damaged_table_is_an_error() -> None:
    """A table cut at any byte or with another format is an error, never an exception."""
    data = encode_table(_advance(OwnershipTable(), (make_member(0),)))
    for size in range(1, len(data)):
        assert isinstance(decode_table(data[:size]), Err)
    content = decompress(data, max_bytes=MAX_TABLE_BYTES).unwrap()
    fields = msgspec.msgpack.decode(content)
    assert fields["format"] == FORMAT
    for damage in ({"format": FORMAT + 7}, {"owners": [[99, 1, 0]]}, {"owners": [[0, 1, -1]]}):
        damaged = msgspec.msgpack.encode({**fields, **damage})
        assert isinstance(decode_table(compress(damaged)), Err), damage


def test_table_that_expands_too_far_is_an_error() -> None:
    """A damaged value can't make the reader allocate without bound."""
    assert isinstance(decode_table(compress(bytes(MAX_TABLE_BYTES + 1))), Err)


load_tests = load_functions(globals())
