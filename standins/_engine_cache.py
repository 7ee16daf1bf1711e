"""The prefix cache of the model engine's stand-in and its events, which are late and have gaps."""

from collections import OrderedDict, deque
from dataclasses import dataclass

MAX_EVENTS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change of the cache, visible from `visible_at_s` on."""

    seq: int
    kind: str
    cache_key: str
    tokens: int
    visible_at_s: float


class PrefixCache:
    """Cached tokens by cache key, evicted least recently used first.

    Every `drop_every`th event is dropped (none if it is 0), the others become visible after
    `event_lag_s` seconds.
    """

    def __init__(self, *, capacity_tokens: int, event_lag_s: float, drop_every: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._event_lag_s = event_lag_s
        self._drop_every = drop_every
        self._tokens_by_key: OrderedDict[str, int] = OrderedDict()
        self._total_tokens = 0
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def total_tokens(self) -> int:
        """Return the number of cached tokens."""
        return self._total_tokens

    def cached(self, cache_key: str) -> int:
        """Return the number of tokens cached for a key and mark the key as recently used."""
        if cache_key in self._tokens_by_key:
            self._tokens_by_key.move_to_end(cache_key)
        return self._tokens_by_key.get(cache_key, 0)

    def store(self, cache_key: str, tokens: int, now_s: float) -> None:
        """Cache tokens for a key and evict other keys while the cache is over its capacity."""
        self._total_tokens += tokens - self._tokens_by_key.get(cache_key, 0)
        self._tokens_by_key[cache_key] = tokens
        self._tokens_by_key.move_to_end(cache_key)
        self._record_event("stored", cache_key, tokens, now_s)
        while self._total_tokens > self.capacity_tokens and len(self._tokens_by_key) > 1:
            oldest = next(iter(self._tokens_by_key))
            self.free(oldest, now_s)

    def free(self, cache_key: str, now_s: float) -> int:
        """Remove a key and return the number of tokens freed."""
        tokens = self._tokens_by_key.pop(cache_key, 0)
        if tokens:
            self._total_tokens -= tokens
            self._record_event("evicted", cache_key, tokens, now_s)
        return tokens

    def held_by_key(self) -> dict[str, int]:
        """Return the number of cached tokens by key."""
        return dict(self._tokens_by_key)

    def events_after(self, seq: int, now_s: float) -> list[CacheEvent]:
        """Return the events after a sequence number that are visible at `now_s`."""
        return [e for e in self._events if e.seq > seq and e.visible_at_s <= now_s]

    def position(self, after: int) -> int:
        """Return the sequence number from which a reader of `after` continues.

        A number beyond the last event comes from before a restart and is replaced by the last.
        """
        return min(after, self._seq)

    def _record_event(self, kind: str, cache_key: str, tokens: int, now_s: float) -> None:
        self._seq += 1
        if self._drop_every and self._seq % self._drop_every == 0:
            return
        event = CacheEvent(
            seq=self._seq,
            kind=kind,
            cache_key=cache_key,
            tokens=tokens,
            visible_at_s=now_s + self._event_lag_s,
        )
        self._events.append(event)
