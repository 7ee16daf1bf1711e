"""Tests of bulk values on disks: copies, damage, torn writes and repair."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from result import Err

from lagoonfold import ProgramId, ShardId
from lagoonfold.records import BulkValue, Outcome, bulk_name
from lagoonfold_node._ownership._disk_files import DiskFiles
from tests._suite import load_functions
from tests.ownership._fleet import (
    Fleet,
    Instance,
    create_program,
    make_turn,
    read_turns,
    run_with_fleet,
    wait_until,
)

PROGRAM = "prg-1"
SHARD = ShardId(0)


def _with_files(check: Callable[[DiskFiles, Path], Awaitable[None]]) -> None:
    async def run(folder: Path) -> None:
        async with trio.open_nursery() as nursery:
            files = DiskFiles(folder)
            nursery.start_soon(files.run)
            await check(files, folder)
            nursery.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        trio.run(run, Path(folder))


def _value(content: bytes, sequence: int = 1) -> BulkValue:
    return BulkValue(name=bulk_name(sequence, content), data=content)


def test_cut_or_changed_file_is_found_and_removed() -> None:
    """A file cut at any byte, or with any bit flipped, is an error and goes away."""

    async def check(files: DiskFiles, folder: Path) -> None:
        value = _value(b"content of a segment")
        damaged = [value.data[:size] for size in range(len(value.data))]
        for position in range(len(value.data) * 8):
            changed = bytearray(value.data)
            changed[position // 8] ^= 1 << (position % 8)
            damaged.append(bytes(changed))
        path = folder / "bulk" / "0000" / value.name
        (await files.write(SHARD, value)).unwrap()
        for data in damaged:
            path.write_bytes(data)
            assert isinstance(await files.read(SHARD, value.name), Err)
            assert not path.exists()
        (await files.write(SHARD, value)).unwrap()
        assert (await files.read(SHARD, value.name)).unwrap() == value.data

    _with_files(check)


def test_torn_write_leaves_nothing_behind() -> None:
    """What a crash left under a temporary name is removed at the next start, and never read."""

    async def check(files: DiskFiles, folder: Path) -> None:
        value = _value(b"whole")
        (await files.write(SHARD, value)).unwrap()
        torn = folder / "bulk" / "0000" / f"{_value(b'torn').name}.tmp"
        torn.write_bytes(b"to")
        assert files.names(SHARD) == {value.name}
        async with trio.open_nursery() as nursery:
            restarted = DiskFiles(folder)
            nursery.start_soon(restarted.run)
            (await restarted.write(SHARD, _value(b"next"))).unwrap()
            assert not torn.exists()
            nursery.cancel_scope.cancel()

    _with_files(check)


def test_writes_share_a_sync() -> None:
    """Writes that are ready together go to the disk in few groups."""

    async def check(files: DiskFiles, folder: Path) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(files.write, SHARD, _value(str(number).encode()))
        assert files.file_count == 40 and files.group_count <= 3

    _with_files(check)


async def _start_with_disks(fleet: Fleet, folder: str, *indices: int) -> list[Instance]:
    return [await fleet.start(index, data_dir=Path(folder) / f"disk-{index}") for index in indices]


def _copies(instances: list[Instance], shard_id: ShardId, name: str) -> int:
    return sum(name in instance.ownership.files.names(shard_id) for instance in instances)


async def _make_history(fleet: Fleet, instances: list[Instance], count: int) -> None:
    """Make turns until some lie in segments."""
    await wait_until(lambda: len(instances[0].board.members.read()) == len(instances))
    _, shard = await fleet.open_shard(instances, PROGRAM)
    await create_program(shard, PROGRAM)
    for turn in range(1, count + 1):
        await make_turn(shard, PROGRAM, turn)
    await wait_until(lambda: shard.bulk_names() != ())


def test_two_copies_survive_a_lost_disk_and_are_repaired() -> None:
    """Each segment lies on two disks; one lost with its instance is replaced by a new copy."""

    async def check(fleet: Fleet, folder: str) -> None:
        instances = await _start_with_disks(fleet, folder, 0, 1, 2)
        await _make_history(fleet, instances, 12)
        _, shard = await fleet.open_shard(instances, PROGRAM)
        name = shard.bulk_names()[0]
        assert _copies(instances, shard.shard_id, name) == 2
        assert (await fleet.kv.store.list("shard/")).unwrap().entries != ()
        keys = [entry.key for entry in (await fleet.kv.store.list("shard/")).unwrap().entries]
        assert not any(key.endswith(name) for key in keys)
        lost = next(
            instance
            for instance in instances
            if name in instance.ownership.files.names(shard.shard_id)
        )
        lost.scope.cancel()
        instances.remove(lost)
        turns = await read_turns(fleet, instances, PROGRAM)
        assert [turn.turn for turn in turns] == list(range(1, 13))
        assert all(turn.outcome is Outcome.ANSWERED for turn in turns)
        await wait_until(lambda: _copies(instances, shard.shard_id, name) == 2)

    _run_with_folder(check)


def test_copies_lie_in_different_failure_domains() -> None:
    """Of three disks, two in the same failure domain, one of each domain gets a copy."""

    async def check(fleet: Fleet, folder: str) -> None:
        instances = await _start_with_disks(fleet, folder, 0, 3, 6, 1)
        await _make_history(fleet, instances, 12)
        _, shard = await fleet.open_shard(instances, PROGRAM)
        for name in shard.bulk_names():
            holders = [
                instance.ownership.context.failure_domain
                for instance in instances
                if name in instance.ownership.files.names(shard.shard_id)
            ]
            assert sorted(holders) == ["domain-0", "domain-1"]

    _run_with_folder(check)


def test_damaged_copy_is_read_from_the_other_disk() -> None:
    """A damaged file on one disk costs nothing but the way to the other."""

    async def check(fleet: Fleet, folder: str) -> None:
        instances = await _start_with_disks(fleet, folder, 0, 1)
        await _make_history(fleet, instances, 12)
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        for damaged in (0, 1):
            names = shard.bulk_names()
            for name in names:
                path = Path(folder) / f"disk-{damaged}" / "bulk" / f"{shard.shard_id:04d}" / name
                path.write_bytes(path.read_bytes()[:-1])
            owner.ownership.bulk.forget()
            turns = (await shard.read_history(ProgramId(PROGRAM))).unwrap()
            assert len(turns) == 12
            await owner.ownership.bulk_keeper.survey()
            assert all(_copies(instances, shard.shard_id, name) == 2 for name in names)

    _run_with_folder(check)


def test_one_disk_is_not_enough() -> None:
    """With one disk alone the key-value service keeps the segments."""

    async def check(fleet: Fleet, folder: str) -> None:
        instances = [await fleet.start(0, data_dir=Path(folder)), await fleet.start(1)]
        await _make_history(fleet, instances, 12)
        _, shard = await fleet.open_shard(instances, PROGRAM)
        keys = [entry.key for entry in (await fleet.kv.store.list("shard/")).unwrap().entries]
        for name in shard.bulk_names():
            assert any(key.endswith(name) for key in keys)

    _run_with_folder(check)


def _run_with_folder(check: Callable[[Fleet, str], Awaitable[None]]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        run_with_fleet(lambda fleet: check(fleet, folder))


load_tests = load_functions(globals())
