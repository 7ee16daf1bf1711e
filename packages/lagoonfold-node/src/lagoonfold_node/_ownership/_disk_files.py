"""Bulk values as immutable files below this instance's data folder.

A file is written under a temporary name, synced, and renamed; a group of writes that are ready
together shares the sync of the folder. A file that is cut short or changed is found by the digest
in its name when it is read, and is removed.
"""

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import trio
from result import Err, Ok, Result

from lagoonfold import ShardId
from lagoonfold.records import BulkValue, check_bulk

_TEMPORARY_SUFFIX = ".tmp"
_FOLDER = "bulk"
CHECK_INTERVAL_S = 21_600.0


@dataclass(slots=True, eq=False)
class _Write:
    """A file that waits for its group; `error` says why it could not be written."""

    path: Path
    data: bytes
    done: trio.Event = field(default_factory=trio.Event)
    error: str = ""


class DiskFiles:
    """The bulk files of one instance; `run` is the writing task."""

    def __init__(self, data_dir: Path) -> None:
        self._root = data_dir / _FOLDER
        self._waiting: list[_Write] = []
        self._wake = trio.Event()
        self._check_due_by_name: dict[str, float] = {}
        self.group_count = 0
        self.file_count = 0

    async def run(self) -> None:
        """Write what waits, in groups, until cancelled."""
        await trio.to_thread.run_sync(self._remove_temporary)
        while True:
            if not self._waiting:
                self._wake = trio.Event()
                await self._wake.wait()
            group, self._waiting = self._waiting, []
            await trio.to_thread.run_sync(_write_group, group)
            self.group_count += 1
            self.file_count += len(group)
            for write in group:
                write.done.set()

    async def write(self, shard_id: ShardId, value: BulkValue) -> Result[None, str]:
        """Return when the value is on the disk."""
        checked = check_bulk(value.name, value.data)
        if isinstance(checked, Err):
            return checked
        write = _Write(self._path(shard_id, value.name), value.data)
        self._waiting.append(write)
        self._wake.set()
        await write.done.wait()
        return Err(write.error) if write.error else Ok(None)

    async def read(self, shard_id: ShardId, name: str) -> Result[bytes, str]:
        """Return a value whose digest was checked; a damaged file is removed."""
        path = self._path(shard_id, name)
        try:
            data = await trio.to_thread.run_sync(path.read_bytes)
        except OSError as error:
            return Err(f"bulk value {name}: {error.strerror}")
        checked = check_bulk(name, data)
        if isinstance(checked, Err):
            self._check_due_by_name.pop(name, None)
            await trio.to_thread.run_sync(_remove, path)
        else:
            self._check_due_by_name[name] = trio.current_time() + CHECK_INTERVAL_S
        return checked

    def names(self, shard_id: ShardId) -> frozenset[str]:
        """Return the names of a shard's files."""
        folder = self._folder(shard_id)
        if not folder.is_dir():
            return frozenset()
        names = (path.name for path in folder.iterdir())
        return frozenset(name for name in names if not name.endswith(_TEMPORARY_SUFFIX))

    async def intact(self, shard_id: ShardId, names: Iterable[str]) -> frozenset[str]:
        """Return the names of the files that are whole; each is read again after a while."""
        kept = self.names(shard_id)
        whole: set[str] = set()
        for name in sorted(kept.intersection(names)):
            is_due = trio.current_time() >= self._check_due_by_name.get(name, 0.0)
            if not is_due or isinstance(await self.read(shard_id, name), Ok):
                whole.add(name)
        return frozenset(whole)

    async def remove(self, shard_id: ShardId, names: Iterable[str]) -> None:
        """Remove files."""
        for name in names:
            self._check_due_by_name.pop(name, None)
            await trio.to_thread.run_sync(_remove, self._path(shard_id, name))

    def _folder(self, shard_id: ShardId) -> Path:
        return self._root / f"{shard_id:04d}"

    def _path(self, shard_id: ShardId, name: str) -> Path:
        if not name.replace("-", "").isalnum():
            raise ValueError(f"not the name of a bulk value: {name!r}")
        return self._folder(shard_id) / name

    def _remove_temporary(self) -> None:
        self._root.mkdir(parents=True, exist_ok=True)
        for path in self._root.glob(f"*/*{_TEMPORARY_SUFFIX}"):
            _remove(path)


def _write_group(group: list[_Write]) -> None:
    """Write and sync each file, then rename all and sync their folders once."""
    folders: set[Path] = set()
    for write in group:
        try:
            write.path.parent.mkdir(parents=True, exist_ok=True)
            _write_synced(write.path.with_name(write.path.name + _TEMPORARY_SUFFIX), write.data)
            folders.add(write.path.parent)
        except OSError as error:
            write.error = f"{write.path.name}: {error.strerror}"
    for write in group:
        if not write.error:
            os.replace(write.path.with_name(write.path.name + _TEMPORARY_SUFFIX), write.path)
    for folder in folders:
        _sync_folder(folder)


def _write_synced(path: Path, data: bytes) -> None:
    with path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _remove(path: Path) -> None:
    path.unlink(missing_ok=True)
