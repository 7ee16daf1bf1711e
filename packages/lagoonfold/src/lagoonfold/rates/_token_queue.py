"""Grants the tokens of one account to the calls of all instances, in one order, at its owner.

Answers the load of an account whose programs need more than its quota: rate is committed to whole
programs, whose calls go first (see `ProgramTracker` and `Commitments`), and a call that would not
get a token in time is refused at once. Programs without a commitment get the tokens that committed
ones leave unused for a while, so that none is refused for as long as others are committed to.
Everything is decided from arguments, without I/O; the caller calls `grant` at the times that
`next_grant_s` tells.
"""

import copy
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from result import Err, Ok, Result

from lagoonfold._wait_queue import WaitQueue
from lagoonfold.rates._commitments import FULL_LEVEL_SHARE, MAX_COMMITMENT_S, Commitments
from lagoonfold.rates._messages import RANK_UNCOMMITTED, RateLimit
from lagoonfold.rates._program_tracker import CallPriority, ProgramCall, ProgramTracker
from lagoonfold.rates._quota import Quota, QuotaTerms

MAX_RETRY_AFTER_S = 60.0  # of an account without a rate
UNUSED_S = 1.0  # several turns; committed programs that make no call for so long need fewer tokens
MAX_COMMITMENTS_PER_GRANT = 32  # programs tried for a commitment, those due soonest first

T = TypeVar("T")


class TokenShortage(Enum):
    """Why a call gets no token now.

    `EMPTY`: no token is left. `WITHHELD`: those left are reserved for programs with a commitment.
    `WAITING`: the call waits and may still get one.
    """

    EMPTY = "empty"
    WITHHELD = "withheld"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenRefusal:
    """A refused call: why, and after how many seconds a token may be left for it."""

    shortage: TokenShortage
    retry_after_s: float


@dataclass(slots=True, eq=False)
class _Waiting(Generic[T]):
    item: T
    call: ProgramCall
    rank: int


class TokenQueue(Generic[T]):
    """One account's quota, its programs and the calls that wait for a token."""

    def __init__(
        self, limit: RateLimit, terms: QuotaTerms, *, now_s: float, is_new: bool = False
    ) -> None:
        self._quota = Quota(limit, terms, now_s=now_s, is_new=is_new)
        self._programs = ProgramTracker()
        self._commitments = Commitments()
        self._queue: WaitQueue[_Waiting[T]] = WaitQueue()
        self._used_s = now_s

    def __len__(self) -> int:
        return len(self._queue)

    def snapshot(self) -> "TokenQueue[T]":
        """Return a copy for calls without a program, which can be asked without any effect here."""
        copied = copy.copy(self)
        copied._quota = self._quota.snapshot()
        copied._programs = ProgramTracker()
        copied._queue = self._queue.snapshot()
        return copied

    @property
    def limit(self) -> RateLimit:
        """Return the rate and burst in force."""
        return self._quota.limit

    def change_limit(self, limit: RateLimit, *, now_s: float) -> None:
        """Apply a new rate and burst from now on."""
        self._quota.change_limit(limit, now_s=now_s)

    def available(self, *, now_s: float) -> float:
        """Return how many tokens can be taken now."""
        return self._quota.available(now_s=now_s)

    def reserved(self, *, now_s: float) -> float:
        """Return the tokens that are withheld from programs without a commitment.

        These are all calls that committed programs will make: what others take before is missing
        at the end of these, and then neither is finished.
        """
        return self._commitments.expected_calls(MAX_COMMITMENT_S, now_s=now_s)

    def request(self, item: T, call: ProgramCall, *, now_s: float) -> Result[bool, TokenRefusal]:
        """Grant a token to a call that arrives, or let it wait: then `grant` will return it.

        Return True if it got a token and False if it waits.
        """
        self._programs.prioritize(call, now_s=now_s)
        self._try_commit(call.program_id, now_s)
        priority = self._programs.prioritize(call, now_s=now_s)
        is_behind = self._queue.is_behind(priority.rank, priority.tie_break)
        if not is_behind and self._take(call, priority.rank, now_s):
            return Ok(True)
        wait_s = self._expected_wait_s(priority, now_s)
        is_queued = now_s + wait_s <= priority.wait_until_s and self._queue.enqueue(
            _Waiting(item, call, priority.rank),
            rank=priority.rank,
            tie_break=priority.tie_break,
            wait_until_s=priority.wait_until_s,
            now_s=now_s,
        )
        if is_queued:
            return Ok(False)
        self._programs.mark_refused(call.program_id)
        return Err(self._refusal(priority.rank, wait_s, now_s))

    def grant(self, *, now_s: float) -> Iterator[T]:
        """Grant the available tokens to waiting calls in their order; yield these calls."""
        self._commit_waiting(now_s)
        while (waiting := self._queue.head()) is not None:
            if not self._take(waiting.call, waiting.rank, now_s):
                return
            self._queue.remove(waiting)
            yield waiting.item

    def expected_wait_s(self, call: ProgramCall, *, now_s: float) -> float:
        """Return how long a call that arrives would wait for its token; ask a snapshot only."""
        return self._expected_wait_s(self._programs.prioritize(call, now_s=now_s), now_s)

    def next_grant_s(self, *, now_s: float) -> float:
        """Return the seconds after which the next waiting call may get a token."""
        waiting = self._queue.head()
        if waiting is None:
            return MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, self._token_wait_s(waiting.rank, 0, now_s))

    def withdraw(self, item: T) -> None:
        """Remove a call that no longer waits."""
        for waiting in self._queue.items():
            if waiting.item is item:
                self._queue.remove(waiting)

    def give_back(self, *, taken_s: float, now_s: float) -> None:
        """Return the token, granted at `taken_s`, of a call that was not forwarded."""
        self._quota.give_back(taken_s=taken_s, now_s=now_s)

    def mark_budget_exhausted(self, program_id: str) -> None:
        """Record that a program's budget could not hold one of its turns."""
        self._programs.mark_budget_exhausted(program_id)

    def is_committed(self, program_id: str) -> bool:
        """Return whether rate is committed to a program."""
        return self._programs.is_committed(program_id)

    def _take(self, call: ProgramCall, rank: int, now_s: float) -> bool:
        if not self._quota.try_take(now_s=now_s, reserved=self._reserved_from(rank, now_s)):
            return False
        if self.available(now_s=now_s) < self._full_level:
            self._used_s = now_s
        self._programs.record_call(call.program_id)
        return True

    def _reserved_from(self, rank: int, now_s: float) -> float:
        if rank < RANK_UNCOMMITTED:
            return 0.0
        reserved = self.reserved(now_s=now_s)
        is_unused = now_s - self._used_s >= UNUSED_S
        return min(reserved, self._full_level) if is_unused else reserved

    @property
    def _full_level(self) -> float:
        """Return the number of tokens above which committed programs leave some unused."""
        most = self._quota.most_available
        return max(0.0, min(FULL_LEVEL_SHARE * most, most - 1))

    def _expected_wait_s(self, priority: CallPriority, now_s: float) -> float:
        """Return how long a call would wait if those before it take their tokens."""
        before = self._queue.count_before(priority.rank, priority.tie_break)
        return self._token_wait_s(priority.rank, before, now_s)

    def _token_wait_s(self, rank: int, before: int, now_s: float) -> float:
        return self._quota.wait_s(1 + before + self._reserved_from(rank, now_s), now_s=now_s)

    def _refusal(self, rank: int, wait_s: float, now_s: float) -> TokenRefusal:
        is_withheld = rank >= RANK_UNCOMMITTED and self.available(now_s=now_s) >= 1
        return TokenRefusal(
            shortage=TokenShortage.WITHHELD if is_withheld else TokenShortage.EMPTY,
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    def _try_commit(self, program_id: str, now_s: float) -> bool:
        """Commit rate to a program that needs it, if enough is free; return whether it was."""
        need = self._programs.need(program_id, now_s=now_s)
        if need is None:
            return False
        is_committed = self._commitments.try_commit(
            need,
            self.limit,
            level=self.available(now_s=now_s),
            now_s=now_s,
            most=self._quota.most_available,
        )
        if not is_committed:
            return False
        self._programs.mark_committed(program_id)
        return True

    def _commit_waiting(self, now_s: float) -> None:
        """Try to commit rate to the programs of waiting calls, and rank these calls anew."""
        uncommitted = [
            waiting for waiting in self._queue.in_order() if waiting.rank >= RANK_UNCOMMITTED
        ]
        for waiting in uncommitted[:MAX_COMMITMENTS_PER_GRANT]:
            if self._try_commit(waiting.call.program_id, now_s):
                waiting.rank = self._programs.prioritize(waiting.call, now_s=now_s).rank
                self._queue.change_rank(waiting, rank=waiting.rank)
