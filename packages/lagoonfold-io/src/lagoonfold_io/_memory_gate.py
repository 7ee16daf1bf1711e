"""Makes callers wait for memory, and evicts those that hold it for the longest.

The decisions are those of `MemoryBudget`; this adds the waiting. Each server of a process
has a gate to the budget that they share. `on_cause` is told why a request was refused or a
connection closed.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from lagoonfold_io._http_faults import FaultError, RequestFault
from lagoonfold_io._memory_budget import SMALL_BYTES, MemoryBudget, MemoryClaim

PAUSE_S = 0.25  # until others are evicted; calm requests give their memory back sooner
MAX_PAUSES = 8  # 2 s, which callers that retry can afford

BODY_EVICTED = "body-evicted"
ANSWER_EVICTED = "answer-evicted"


class MemoryGate:
    """The waiting for one process's `MemoryBudget`."""

    def __init__(self, budget: MemoryBudget, on_cause: Callable[[str], None]) -> None:
        self.budget = budget
        self.count = on_cause
        self._released = trio.Event()
        self._waiting = 0
        budget.on_release.append(self._wake)

    def open(self) -> MemoryClaim:
        """Return a new claim that holds nothing."""
        return self.budget.open(trio.current_time())

    def release(self, claim: MemoryClaim) -> None:
        """Release all that a claim holds."""
        self.budget.release(claim)

    def close(self, claim: MemoryClaim) -> None:
        """Release all that a claim holds and forget it."""
        self.budget.close(claim)

    async def hold(self, claim: MemoryClaim, size: int) -> None:
        """Raise a claim to a size before that is read; raise `FaultError` if there is no memory."""
        if self.budget.try_hold(claim, size):
            return
        if not self.budget.can_ever_hold(size):
            raise FaultError(RequestFault.MEMORY_SHORT)
        if size <= SMALL_BYTES:
            self._evict(claim, size)
        self._waiting += 1
        try:
            await self._wait_for(claim, size)
        finally:
            self._waiting -= 1

    async def _wait_for(self, claim: MemoryClaim, size: int) -> None:
        for _ in range(MAX_PAUSES):
            with trio.move_on_after(PAUSE_S):
                while True:
                    await self._released.wait()
                    if self.budget.try_hold(claim, size):
                        return
            self._evict(claim, size)
        raise FaultError(RequestFault.MEMORY_SHORT)

    @contextmanager
    def hold_answer(self, size: int, evict: Callable[[], None]) -> Iterator[None]:
        """Count an answer that the caller does not read; if memory is short, evict some."""
        claim = self.open()
        try:
            self.hold_queued(claim, size, evict)
            yield
        finally:
            self.close(claim)

    def hold_queued(self, claim: MemoryClaim, size: int, evict: Callable[[], None]) -> None:
        """Raise a claim to the size of queued answers; if memory is short, evict some.

        `evict` may be called before this returns.
        """
        if not claim.held_bytes:
            claim.progressed_s = trio.current_time()
        self.budget.hold(claim, size)

        def evict_answer() -> None:
            self.count(ANSWER_EVICTED)
            evict()

        claim.evict = evict_answer
        self._evict(claim, size)

    def shrink(self, claim: MemoryClaim, size: int) -> None:
        """Lower a claim that is not evicted to a size; what has left counts as progress."""
        claim.note_progress(claim.held_bytes - size, trio.current_time())
        evict = claim.evict
        self.budget.release(claim)
        self.budget.hold(claim, size)
        claim.evict = evict

    def _evict(self, claim: MemoryClaim, size: int) -> None:
        for victim in self.budget.pick_victims(claim, size, trio.current_time()):
            if victim.evict is not None:
                victim.evict()

    def _wake(self) -> None:
        if self._waiting:
            self._released.set()
            self._released = trio.Event()
