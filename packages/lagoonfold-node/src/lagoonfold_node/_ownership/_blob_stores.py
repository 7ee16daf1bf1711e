"""Stores of blobs: immutable values under unique names.

Only the checkpoint in the key-value service determines which blobs are in use.
"""

from typing import Protocol

from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    ByteLimitedCache,
    KeyValueStore,
    ShardId,
    StoreError,
    StoreErrorKind,
)
from lagoonfold.records import Blob, blob_key, verify_blob

DEFAULT_CACHE_BYTES = 16_777_216
MAX_PART_BYTES = 900_000
_PARTS_MARKER = b"LF1M"
_PARTS_RANGE_END = chr(ord("/") + 1)  # the first suffix after all of `/<part>`


class BlobStore(Protocol):
    """Store blobs; a blob is durable once `put` has succeeded."""

    async def put(self, shard_id: ShardId, value: Blob) -> Result[None, StoreError]:
        """Store a blob; storing it again has no effect."""

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a blob's data after checking its digest."""

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Delete an unreferenced blob; if the deletion fails, the blob remains stored."""

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Delete the blobs created at sequence numbers from `first` up to but excluding `end`."""


class KvBlobStore:
    """Store blobs in the key-value service.

    A blob larger than `MAX_PART_BYTES` is split into parts under the keys `<key>/<part>`. The key
    itself is written last and holds the number of parts; before that the blob is incomplete.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def put(self, shard_id: ShardId, value: Blob) -> Result[None, StoreError]:
        """Store a blob; storing it again has no effect."""
        key = blob_key(shard_id, value.name)
        if len(value.data) <= MAX_PART_BYTES:
            return await self._create(key, value.data)
        starts = range(0, len(value.data), MAX_PART_BYTES)
        for index, start in enumerate(starts):
            part = value.data[start : start + MAX_PART_BYTES]
            created = await self._create(f"{key}/{index:04d}", part)
            if isinstance(created, Err):
                return created
        return await self._create(key, _PARTS_MARKER + str(len(starts)).encode())

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a blob's data after checking its digest."""
        key = blob_key(shard_id, name)
        read = await self._store.get(key)
        if isinstance(read, Err):
            return read
        data = read.ok_value.value
        if data.startswith(_PARTS_MARKER):
            joined = await self._read_parts(key, int(data[len(_PARTS_MARKER) :]))
            if isinstance(joined, Err):
                return joined
            data = joined.ok_value
        return verify_blob(name, data).map_err(_unreadable)

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Delete an unreferenced blob; if the deletion fails, the blob remains stored."""
        key = blob_key(shard_id, name)
        await self._store.delete_range(key, key + _PARTS_RANGE_END)

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Delete the blobs created at sequence numbers from `first` up to but excluding `end`."""
        if first < end:
            start, stop = (blob_key(shard_id, f"{sequence:012d}") for sequence in (first, end))
            await self._store.delete_range(start, stop)

    async def _create(self, key: str, data: bytes) -> Result[None, StoreError]:
        """Create a key; an existing one has the same value, as its name contains the digest."""
        written = await self._store.put_if(key, data, expected_revision=ABSENT_REVISION)
        if isinstance(written, Err) and written.err_value.kind is not StoreErrorKind.CONFLICT:
            return written
        return Ok(None)

    async def _read_parts(self, key: str, count: int) -> Result[bytes, StoreError]:
        parts = []
        for index in range(count):
            read = await self._store.get(f"{key}/{index:04d}")
            if isinstance(read, Err):
                return read
            parts.append(read.ok_value.value)
        return Ok(b"".join(parts))


class CachedBlobStore:
    """Cache the most recently used blobs in memory, up to `max_bytes`."""

    def __init__(self, inner: BlobStore, *, max_bytes: int = DEFAULT_CACHE_BYTES) -> None:
        self._inner = inner
        self._cache: ByteLimitedCache[tuple[ShardId, str], bytes] = ByteLimitedCache(
            max_bytes=max_bytes
        )
        self.put_count = 0
        self.get_count = 0

    async def put(self, shard_id: ShardId, value: Blob) -> Result[None, StoreError]:
        """Store a blob; storing it again has no effect."""
        self.put_count += 1
        stored = await self._inner.put(shard_id, value)
        if isinstance(stored, Ok):
            self._cache.put((shard_id, value.name), value.data, size_bytes=len(value.data))
        return stored

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a blob's data after checking its digest."""
        cached = self._cache.get((shard_id, name))
        if cached is not None:
            return Ok(cached)
        self.get_count += 1
        read = await self._inner.get(shard_id, name)
        if isinstance(read, Ok):
            self._cache.put((shard_id, name), read.ok_value, size_bytes=len(read.ok_value))
        return read

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Delete an unreferenced blob; if the deletion fails, the blob remains stored."""
        self._cache.drop((shard_id, name))
        await self._inner.delete(shard_id, name)

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Delete the blobs created at sequence numbers from `first` up to but excluding `end`."""
        await self._inner.delete_between(shard_id, first, end)

    def forget(self) -> None:
        """Clear the cache; the stored blobs remain."""
        self._cache.clear()


def _unreadable(detail: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=detail)
