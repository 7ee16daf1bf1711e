"""A cache of the values used last, limited by their size in bytes.

cache = ByteLimitedCache(max_bytes=10)
cache.put("a", "first", size_bytes=6)
cache.put("b", "second", size_bytes=6)
cache.get("a")    # None: both do not fit
"""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class ByteLimitedCache(Generic[K, V]):
    """Holds the values used last whose sizes are at most `max_bytes` together."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._entry_by_key: OrderedDict[K, tuple[V, int]] = OrderedDict()
        self.size_bytes = 0

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def get(self, key: K) -> V | None:
        """Return the value of a key, None if it is not in the cache."""
        entry = self._entry_by_key.get(key)
        if entry is None:
            return None
        self._entry_by_key.move_to_end(key)
        return entry[0]

    def put(self, key: K, value: V, *, size_bytes: int) -> None:
        """Add or replace a value, in place of those that were used least recently."""
        self.drop(key)
        self._entry_by_key[key] = (value, size_bytes)
        self.size_bytes += size_bytes
        while self.size_bytes > self._max_bytes:
            _, (_, dropped_bytes) = self._entry_by_key.popitem(last=False)
            self.size_bytes -= dropped_bytes

    def drop(self, key: K) -> None:
        """Remove the value of a key, if there is one."""
        entry = self._entry_by_key.pop(key, None)
        if entry is not None:
            self.size_bytes -= entry[1]

    def clear(self) -> None:
        """Remove all values."""
        self._entry_by_key.clear()
        self.size_bytes = 0
