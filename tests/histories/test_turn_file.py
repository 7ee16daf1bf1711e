"""The file of turns: what survives a loss of power, damage, a full disk and an old file."""

import os
import random
import shutil
import sqlite3
import tempfile
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from result import Err, Ok

from lagoonfold_io import TurnFile, WriteBatch
from tests._suite import load_functions

MAX_BYTES = 4_000_000
FULL = 2  # SQLite synchronises its log at each commit
SECTOR_BYTES = 512  # what a disk writes whole
NAMES = ("turns.db", "turns.db-wal")


@contextmanager
def _folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


def _open(folder: Path, max_bytes: int = MAX_BYTES) -> TurnFile:
    return TurnFile.open(str(folder / "turns.db"), max_bytes=max_bytes).unwrap()


def _content(number: int, size: int = 900) -> bytes:
    return random.Random(number).randbytes(size)


def _write(file: TurnFile, *numbers: int, counted_s: float = 1.0, size: int = 900) -> None:
    contents = [(f"t{number}", 60.0 + number, _content(number, size)) for number in numbers]
    file.write(WriteBatch(contents=contents, counted_s=counted_s)).unwrap()


def _held(file: TurnFile) -> dict[str, bytes]:
    return {key: content for key, _, content in file.read_all()}


def _bytes_of(folder: Path) -> dict[str, bytes]:
    return {name: (folder / name).read_bytes() for name in NAMES if (folder / name).exists()}


def test_file_gives_back_what_was_written() -> None:
    """Contents, times, extensions, deletions, the count of seconds and the ids last."""
    with _folder() as folder:
        file = _open(folder)
        assert file.counted_s == 0.0 and file.listed_as == ""
        _write(file, 1, 2, 3)
        file.write(
            WriteBatch(extended=[("t1", 500.0), ("t2", 5.0)], deleted=["t3"], counted_s=7.5)
        ).unwrap()
        file.set_listed_as("s1 at 10.0.0.1:1").unwrap()
        disk_id = file.disk_id
        file.close()
        file = _open(folder)
        assert [(key, until_s) for key, until_s, _ in file.read_all()] == [
            ("t1", 500.0),
            ("t2", 62.0),
        ]
        assert file.read("t1").unwrap() == _content(1) and file.read("t3").unwrap() is None
        assert (file.disk_id, file.counted_s) == (disk_id, 7.5)
        assert file.listed_as == "s1 at 10.0.0.1:1"
        file.renew_id().unwrap()
        assert file.disk_id != disk_id


def _torn(before: bytes, after: bytes, rng: random.Random) -> bytes:
    """Return a file of which some sectors written since the last sync are missing or torn."""
    result = bytearray(after)
    for start in range(0, len(after), SECTOR_BYTES):
        end = min(len(after), start + SECTOR_BYTES)
        if after[start:end] == before[start:end]:
            continue
        fate = rng.choice(("present", "missing", "torn"))
        old = before[start:end].ljust(end - start, b"\0")
        if fate == "missing":
            result[start:end] = old
        elif fate == "torn":
            cut = rng.randrange(end - start)
            result[start + cut : end] = old[cut:]
    if rng.random() < 0.3:
        del result[max(len(before), rng.randrange(len(result) + 1)) :]
    return bytes(result)


def _check_recovered(folder: Path, acknowledged: set[int], unfinished: set[int]) -> None:
    """Fail unless all acknowledged turns are there, and the unfinished ones all or not at all."""
    file = _open(folder)
    held = _held(file)
    for number in acknowledged:
        assert held.get(f"t{number}") == _content(number), number
    present = {number for number in unfinished if f"t{number}" in held}
    assert present in (set(), unfinished), (present, unfinished)
    for number in present:
        assert held[f"t{number}"] == _content(number), number
    assert held.keys() == {f"t{number}" for number in acknowledged | present}
    file.close()


def _check_losses(copy: Path, before: dict[str, bytes], after: dict[str, bytes], **turns) -> bool:
    """Check losses of power during one write; return whether it copied the log into the file."""
    rng, (database, log) = random.Random(len(after[NAMES[1]])), NAMES
    for _ in range(3):
        # The file is written only once the log is durable.
        (copy / database).write_bytes(before[database])
        (copy / log).write_bytes(_torn(before.get(log, b""), after[log], rng))
        _check_recovered(copy, turns["acknowledged"], turns["written"])
        (copy / database).write_bytes(_torn(before[database], after[database], rng))
        (copy / log).write_bytes(after[log])
        _check_recovered(copy, turns["acknowledged"] | turns["written"], set())
    return before[database] != after[database]


def test_acknowledged_turns_survive_a_loss_of_power_at_any_write() -> None:
    """Writes since the last sync are present, missing or torn; commits and checkpoints alike."""
    with _folder() as folder, _folder() as copy:
        file = _open(folder)
        file._connection.execute("PRAGMA wal_autocheckpoint = 15")
        _write(file, 0)
        acknowledged, checkpoints = {0}, 0
        for step in range(1, 40):
            written = set(range(step * 10, step * 10 + 1 + step % 7))
            before = _bytes_of(folder)
            _write(file, *written)
            after = _bytes_of(folder)
            checkpoints += _check_losses(
                copy, before, after, acknowledged=acknowledged, written=written
            )
            acknowledged |= written
        assert checkpoints > 5, checkpoints
        file.close()


def test_foreign_and_cut_files_are_told_from_disks_that_fail() -> None:
    """A damaged file is reported as such, a folder that does not exist is not."""
    with _folder() as folder:
        (folder / "turns.db").write_bytes(b"not a database" * 1_000)
        error = TurnFile.open(str(folder / "turns.db"), max_bytes=MAX_BYTES).unwrap_err()
        assert error.is_damaged and "turns.db" in error.detail
        error = TurnFile.open(str(folder / "none" / "turns.db"), max_bytes=MAX_BYTES).unwrap_err()
        assert not error.is_damaged and "none" in error.detail


def test_full_file_refuses_a_write_and_keeps_what_it_has() -> None:
    """The error says that the disk is full; after deletions there is room again."""
    with _folder() as folder:
        file = _open(folder, max_bytes=200_000)
        written = 0
        while file.write(
            WriteBatch(contents=[(f"t{written}", 60.0, _content(written, 5_000))], counted_s=1.0)
        ).is_ok():
            written += 1
        assert 20 < written < 45, written
        error = file.write(WriteBatch(contents=[("x", 1.0, bytes(5_000))], counted_s=1.0))
        assert "full" in error.unwrap_err().detail
        assert len(_held(file)) == written
        file.write(WriteBatch(deleted=["t0", "t1", "t2"], counted_s=2.0)).unwrap()
        _write(file, 9_000, size=5_000)
        assert len(_held(file)) == written - 2
        file.close()


def test_disk_that_refuses_writes_fails_the_write_and_works_again() -> None:
    """What was acknowledged before is there, and so is what is written after."""
    with _folder() as folder:
        file = _open(folder)
        _write(file, 1)
        connection = file._connection
        connection.execute("PRAGMA query_only = ON")
        error = file.write(WriteBatch(contents=[("t2", 1.0, b"x")], counted_s=1.0)).unwrap_err()
        assert "cannot be written" in error.detail and not error.is_damaged
        connection.execute("PRAGMA query_only = OFF")
        _write(file, 3)
        assert _held(file).keys() == {"t1", "t3"}
        file.close()


def test_file_uses_no_shared_memory_and_one_sync_for_a_batch() -> None:
    """The log's index stays in the process's own memory; the log is the only further file."""
    with _folder() as folder:
        file = _open(folder)
        _write(file, *range(20))
        assert sorted(os.listdir(folder)) == sorted(NAMES)
        (synchronous,) = file._connection.execute("PRAGMA synchronous").fetchone()
        assert synchronous == FULL
        shutil.copytree(folder, folder / "copy")
        assert sqlite3.connect(folder / "copy" / "turns.db").execute(
            "SELECT count(*) FROM turns"
        ).fetchone() == (20,)
        file.close()


def test_file_closed_while_another_thread_writes_keeps_the_write() -> None:
    """A process that stops must not crash, nor lose a write that is under way."""
    with _folder() as folder:
        file = _open(folder)
        is_writing, may_go_on = threading.Event(), threading.Event()

        def contents() -> Iterator[tuple[str, float, bytes]]:
            yield "t1", 60.0, b"first"
            is_writing.set()
            may_go_on.wait(10.0)
            yield "t2", 60.0, b"second"

        outcomes: list[object] = []
        batch = WriteBatch(contents=contents(), counted_s=1.0)
        writer = threading.Thread(target=lambda: outcomes.append(file.write(batch)))
        writer.start()
        assert is_writing.wait(10.0)
        file.close()
        may_go_on.set()
        writer.join()
        assert outcomes == [Ok(None)]
        assert file.read("t1").is_err(), "the writer has closed the file"
        assert _held(_open(folder)) == {"t1": b"first", "t2": b"second"}


def test_new_contents_use_the_room_of_those_that_are_deleted_with_them() -> None:
    """They came first, did not fit, and nothing was ever deleted again (LOST, review/7)."""
    with _folder() as folder:
        file = _open(folder, max_bytes=200_000)
        held = 0
        while file.free_bytes > 30_000:
            _write(file, held, size=20_000)
            held += 1
        contents = [("new", 60.0, _content(1_000, 50_000))]
        assert isinstance(file.write(WriteBatch(contents=contents, counted_s=1.0)), Err)
        deleted = [f"t{number}" for number in range(held)]
        file.write(WriteBatch(contents=contents, deleted=deleted, counted_s=1.0)).unwrap()
        assert set(_held(file)) == {"new"} and file.free_bytes > 100_000


load_tests = load_functions(globals())
