"""Where bulk values are kept: immutable values under unique names.

Which values are valid is said by the checkpoint in the key-value service alone; a store of bulk
values decides nothing.
"""

from collections import OrderedDict
from typing import Protocol

from result import Err, Ok, Result

from lagoonfold import ABSENT_REVISION, KeyValueStore, ShardId, StoreError, StoreErrorKind
from lagoonfold.records import Blob, blob_key, verify_blob

DEFAULT_CACHE_BYTES = 16_777_216
MAX_PART_BYTES = 900_000
_PARTS_MARK = b"LF1M"
_AFTER_PARTS = chr(ord("/") + 1)


class BlobStore(Protocol):
    """Keeps bulk values; a value that was put is durable."""

    async def put(self, shard_id: ShardId, value: Blob) -> Result[None, StoreError]:
        """Keep a value; putting it again changes nothing."""

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a value whose digest was checked."""

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Drop a value that nothing refers to any more; a failure leaves it behind."""

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Drop the values made at sequence numbers from `first` up to but not including `end`."""


class KvBlobStore:
    """Keeps bulk values in the key-value service.

    A value that is too large for one key lies under several, `<key>/<part>`, and is complete once
    the key itself, written last, says how many there are.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def put(self, shard_id: ShardId, value: Blob) -> Result[None, StoreError]:
        """Keep a value; putting it again changes nothing."""
        key = blob_key(shard_id, value.name)
        if len(value.data) <= MAX_PART_BYTES:
            return await self._create(key, value.data)
        starts = range(0, len(value.data), MAX_PART_BYTES)
        for index, start in enumerate(starts):
            part = value.data[start : start + MAX_PART_BYTES]
            created = await self._create(f"{key}/{index:04d}", part)
            if isinstance(created, Err):
                return created
        return await self._create(key, _PARTS_MARK + str(len(starts)).encode())

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a value whose digest was checked."""
        key = blob_key(shard_id, name)
        read = await self._store.get(key)
        if isinstance(read, Err):
            return read
        data = read.ok_value.value
        if data.startswith(_PARTS_MARK):
            joined = await self._join(key, int(data[len(_PARTS_MARK) :]))
            if isinstance(joined, Err):
                return joined
            data = joined.ok_value
        return verify_blob(name, data).map_err(_unreadable)

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Drop a value that nothing refers to any more; a failure leaves it behind."""
        key = blob_key(shard_id, name)
        await self._store.delete_range(key, key + _AFTER_PARTS)

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Drop the values made at sequence numbers from `first` up to but not including `end`."""
        if first < end:
            start, stop = (blob_key(shard_id, f"{sequence:012d}") for sequence in (first, end))
            await self._store.delete_range(start, stop)

    async def _create(self, key: str, data: bytes) -> Result[None, StoreError]:
        """Create a key; one that is there holds the same, since its name has the digest."""
        written = await self._store.put_if(key, data, expected_revision=ABSENT_REVISION)
        if isinstance(written, Err) and written.err_value.kind is not StoreErrorKind.CONFLICT:
            return written
        return Ok(None)

    async def _join(self, key: str, count: int) -> Result[bytes, StoreError]:
        parts = []
        for index in range(count):
            read = await self._store.get(f"{key}/{index:04d}")
            if isinstance(read, Err):
                return read
            parts.append(read.ok_value.value)
        return Ok(b"".join(parts))


class CachedBlobStore:
    """Keeps the values used last in memory, up to a number of bytes."""

    def __init__(self, inner: BlobStore, *, max_bytes: int = DEFAULT_CACHE_BYTES) -> None:
        self._inner = inner
        self._max_bytes = max_bytes
        self._size = 0
        self._values_by_name: OrderedDict[tuple[ShardId, str], bytes] = OrderedDict()
        self.put_count = 0
        self.get_count = 0

    async def put(self, shard_id: ShardId, value: Blob) -> Result[None, StoreError]:
        """Keep a value; putting it again changes nothing."""
        self.put_count += 1
        kept = await self._inner.put(shard_id, value)
        if isinstance(kept, Ok):
            self._remember(shard_id, value.name, value.data)
        return kept

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a value whose digest was checked."""
        cached = self._values_by_name.get((shard_id, name))
        if cached is not None:
            self._values_by_name.move_to_end((shard_id, name))
            return Ok(cached)
        self.get_count += 1
        read = await self._inner.get(shard_id, name)
        if isinstance(read, Ok):
            self._remember(shard_id, name, read.ok_value)
        return read

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Drop a value that nothing refers to any more; a failure leaves it behind."""
        self._size -= len(self._values_by_name.pop((shard_id, name), b""))
        await self._inner.delete(shard_id, name)

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Drop the values made at sequence numbers from `first` up to but not including `end`."""
        await self._inner.delete_between(shard_id, first, end)

    def forget(self) -> None:
        """Drop what is in memory; the values stay where they are kept."""
        self._values_by_name.clear()
        self._size = 0

    def _remember(self, shard_id: ShardId, name: str, data: bytes) -> None:
        self._size += len(data) - len(self._values_by_name.pop((shard_id, name), b""))
        self._values_by_name[(shard_id, name)] = data
        while self._size > self._max_bytes:
            _, dropped = self._values_by_name.popitem(last=False)
            self._size -= len(dropped)


def _unreadable(detail: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=detail)
