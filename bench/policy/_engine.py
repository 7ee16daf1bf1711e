"""Simulates a model engine: batch slots, one prefill at a time, concurrent decode, a prefix cache.

Calls that find no free slot wait in the order of their priority. The cache evicts the least
recently used prefix of a program that has no running call. Cache events arrive late and some are
lost; load reports arrive late.
"""

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from bench.policy._clock import Clock

CACHE_EVENT_LAG_S = 1.0
CACHE_EVENT_LOSS = 0.1
_FLOAT_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSize:
    """Capacity of an engine.

    `import_tokens_per_s` is the rate at which a prefix that was exported is read back.
    """

    slots: int = 16
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 50.0
    import_tokens_per_s: float = 40_000.0
    cache_tokens: int = 600_000


@dataclass(slots=True, kw_only=True, eq=False)
class EngineCall:
    """A call at an engine.

    `on_end` receives the call and whether it finished. `on_moved` receives the tokens generated
    before the call was cancelled to be moved to another engine.
    """

    program_id: str
    prompt_tokens: int
    completion_tokens: int
    priority: int
    on_end: Callable[["EngineCall", bool], None]
    on_moved: Callable[[int], None] = lambda tokens: None
    imported_tokens: int = 0
    computed_tokens: int = 0
    started_s: float = 0.0
    ends_s: float = math.inf
    is_cancelled: bool = False


@dataclass(slots=True)
class EngineTotals:
    """Work of an engine, summed over a run."""

    computed_tokens: int = 0
    cached_tokens: int = 0
    busy_s: float = 0.0
    prefill_s: float = 0.0


class Engine:
    """A simulated replica."""

    def __init__(
        self,
        number: int,
        size: EngineSize,
        clock: Clock,
        rng: random.Random,
        on_cache_event: Callable[[int, int, str, str, int], None],
    ) -> None:
        self.number = number
        self.size = size
        self.slowdown = 1.0
        self.is_dead = False
        self.totals = EngineTotals()
        self.running: dict[int, EngineCall] = {}
        self._clock = clock
        self._rng = rng
        self._on_cache_event = on_cache_event
        self._waiting: list[tuple[int, int, EngineCall]] = []
        self._arrivals = count()
        self._prefill_free_at_s = 0.0
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_total = 0
        self._sequence = 0

    def load(self) -> tuple[int, int, int]:
        """Return running and waiting calls and cached tokens, as they are now."""
        return len(self.running), len(self._waiting), self._cached_total

    def cached_tokens(self, program_id: str) -> int:
        """Return the cached tokens of a program."""
        return self._cached.get(program_id, 0)

    def submit(self, call: EngineCall) -> None:
        """Start a call or queue it; a dead engine fails it at once."""
        if self.is_dead:
            call.on_end(call, False)
            return
        heapq.heappush(self._waiting, (call.priority, next(self._arrivals), call))
        self._start_waiting()

    def crash(self) -> None:
        """Fail all calls, and from now on every new one."""
        self.is_dead = True
        calls = [*self.running.values(), *(call for _, _, call in self._waiting)]
        self.running.clear()
        self._waiting.clear()
        self._cached.clear()
        self._cached_total = 0
        for call in calls:
            call.is_cancelled = True
            call.on_end(call, False)

    def set_slowdown(self, factor: float) -> None:
        """Set the factor of prefill and decode times, also for the rest of the running calls."""
        now_s, change = self._clock.now_s, factor / self.slowdown
        self.slowdown = factor
        self._prefill_free_at_s = now_s + max(0.0, self._prefill_free_at_s - now_s) * change
        for call in self.running.values():
            call.ends_s = now_s + (call.ends_s - now_s) * change
            self._clock.at(call.ends_s, self._end, call, call.ends_s)

    def generated_tokens(self, call: EngineCall) -> int:
        """Return the tokens that a call has generated so far."""
        if call.ends_s == math.inf:
            return 0
        left_s = call.ends_s - self._clock.now_s
        left = left_s * self.size.decode_tokens_per_s / self.slowdown
        return max(0, call.completion_tokens - math.ceil(left - _FLOAT_TOLERANCE))

    def cancel(self, call: EngineCall) -> None:
        """Cancel a call; its prefix is not cached."""
        call.is_cancelled = True
        if self.running.pop(id(call), None) is None:
            self._waiting = [entry for entry in self._waiting if entry[2] is not call]
            heapq.heapify(self._waiting)
        else:
            self.totals.busy_s += self._clock.now_s - call.started_s
        self._start_waiting()

    def evict(self, program_id: str) -> None:
        """Evict a program's prefix from the cache."""
        tokens = self._cached.pop(program_id, 0)
        if tokens:
            self._cached_total -= tokens
            self._publish("evicted", program_id, tokens)

    def _start_waiting(self) -> None:
        while self._waiting and len(self.running) < self.size.slots:
            _, _, call = heapq.heappop(self._waiting)
            self.running[id(call)] = call
            self._start(call)

    def _start(self, call: EngineCall) -> None:
        now_s = self._clock.now_s
        call.started_s = now_s
        cached = min(
            call.prompt_tokens, max(self.cached_tokens(call.program_id), call.imported_tokens)
        )
        if call.program_id in self._cached:
            self._cached.move_to_end(call.program_id)
        call.computed_tokens = call.prompt_tokens - cached
        self.totals.computed_tokens += call.computed_tokens
        self.totals.cached_tokens += cached
        import_s = call.imported_tokens / self.size.import_tokens_per_s
        prefill_s = call.computed_tokens / self.size.prefill_tokens_per_s * self.slowdown
        self.totals.prefill_s += prefill_s
        self._prefill_free_at_s = max(now_s + import_s, self._prefill_free_at_s) + prefill_s
        decode_s = call.completion_tokens / self.size.decode_tokens_per_s * self.slowdown
        call.ends_s = self._prefill_free_at_s + decode_s
        self._clock.at(call.ends_s, self._end, call, call.ends_s)

    def _end(self, call: EngineCall, ends_s: float) -> None:
        if call.is_cancelled or ends_s != call.ends_s:
            return
        del self.running[id(call)]
        self.totals.busy_s += self._clock.now_s - call.started_s
        self._store(call.program_id, call.prompt_tokens + call.completion_tokens)
        call.on_end(call, True)
        self._start_waiting()

    def _store(self, program_id: str, tokens: int) -> None:
        self._cached_total += tokens - self._cached.get(program_id, 0)
        self._cached[program_id] = tokens
        self._cached.move_to_end(program_id)
        self._publish("stored", program_id, tokens)
        running = {call.program_id for call in self.running.values()}
        for other in tuple(self._cached):
            if self._cached_total <= self.size.cache_tokens:
                break
            if other not in running:
                self.evict(other)

    def _publish(self, kind: str, program_id: str, tokens: int) -> None:
        self._sequence += 1
        if self._rng.random() >= CACHE_EVENT_LOSS:
            event = (self.number, self._sequence, kind, program_id, tokens)
            self._clock.after(CACHE_EVENT_LAG_S, self._on_cache_event, *event)


@dataclass(slots=True)
class LoadPublisher:
    """Publishes the load of every engine each `interval_s`; it arrives `lag_s` later."""

    lag_s: float = 1.0
    interval_s: float = 0.5
    listeners: list[Callable[[int, tuple[int, int, int]], None]] = field(default_factory=list)

    def start(self, engines: list[Engine], clock: Clock) -> None:
        """Start publishing at intervals."""
        clock.after(self.interval_s, self._publish, engines, clock)

    def _publish(self, engines: list[Engine], clock: Clock) -> None:
        for engine in engines:
            if not engine.is_dead:
                clock.after(self.lag_s, self._deliver, engine.number, engine.load())
        clock.after(self.interval_s, self._publish, engines, clock)

    def _deliver(self, number: int, load: tuple[int, int, int]) -> None:
        for listener in self.listeners:
            listener(number, load)
