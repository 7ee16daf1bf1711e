"""Tests of the placement of shards, the ownership table and leases."""

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
def test_epochs_follow_changes_of_owner(memberships: list) -> None:
    """Each shard is owned by a member's process; its epoch grows by one only when that changes."""
    table = OwnershipTable()
    for members in memberships:
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


def test_balancing_moves_at_most_max_moves_shards() -> None:
    """A new member gets at most `max_moves` shards per placement and finally its full share."""
    table = _advance(OwnershipTable(), tuple(make_member(index) for index in range(6)))
    members = tuple(make_member(index) for index in range(7))
    for _ in range(3):
        after = _advance(table, members, max_moves=2)
        pairs = zip(table.owners, after.owners, strict=True)
        assert sum(before != owner for before, owner in pairs) <= 2
        table = after
    assert set(Counter(owner.instance_id for owner in table.owners).values()) == {4, 5}


def test_shards_are_spread_evenly_over_failure_domains() -> None:
    """Three failure domains of equal size each hold about a third of the shards."""
    table = _advance(OwnershipTable(), tuple(make_member(index) for index in range(6)))
    counts = Counter(int(owner.instance_id[-1]) % 3 for owner in table.owners)
    assert max(counts.values()) - min(counts.values()) <= 2


def test_loss_of_a_member_moves_only_its_shards() -> None:
    """Without moves for balance, only the shards of a lost member change their owner."""
    members = tuple(make_member(index) for index in range(7))
    table = _advance(OwnershipTable(), members)
    after = _advance(table, members[1:], max_moves=0)
    for before, owner in zip(table.owners, after.owners, strict=True):
        assert owner == before or before.instance_id == "entry-0"


def test_child_programs_are_on_the_shard_of_their_root() -> None:
    """A child and a grandchild are on the shard of their root program."""
    child = child_program_id("prg-1")
    grandchild = child_program_id(child)
    assert child != grandchild
    assert len({shard_of(each, 4096) for each in ("prg-1", child, grandchild)}) == 1


def test_lease_ends_before_it_expires_in_the_service() -> None:
    """The lease counts from when the call was sent, less a margin for clock drift."""
    lease = InstanceLease.from_grant(7, requested_at_s=100.0, ttl_s=10.0)
    assert lease.is_valid(109.7) and not lease.is_valid(109.8)


def test_invalid_table_is_an_error() -> None:
    """A truncated table, another format or an unknown run id gives an error, not an exception."""
    data = encode_table(_advance(OwnershipTable(), (make_member(0),)))
    for size in range(1, len(data)):
        assert isinstance(decode_table(data[:size]), Err)
    content = decompress(data, max_bytes=MAX_TABLE_BYTES).unwrap()
    fields = msgspec.msgpack.decode(content)
    assert fields["format"] == FORMAT
    for change in ({"format": FORMAT + 7}, {"owners": [[99, 1, 0]]}, {"owners": [[0, 1, -1]]}):
        damaged = msgspec.msgpack.encode({**fields, **change})
        assert isinstance(decode_table(compress(damaged)), Err), change


def test_table_above_the_size_limit_is_an_error() -> None:
    """A damaged value must not make the reader allocate memory without limit."""
    assert isinstance(decode_table(compress(bytes(MAX_TABLE_BYTES + 1))), Err)


load_tests = load_functions(globals())
