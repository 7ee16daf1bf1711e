"""When refused callers should come back, and which callers have come back as told.

Each refused caller is told when the queue expects room for it. Callers that have been told to
return count as waiting before those refused later, so that no more return at a time than are
served, and a random part keeps them from returning together.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass

MAX_CALLERS = 4_096  # beyond it, the callers that were refused first are forgotten
MIN_RETRY_AFTER_S = 0.1  # about a short turn's time; earlier, nothing has changed
SPREAD_S = 0.2  # at least; some tens of callers are served in this time
SPREAD_SHARE = 0.5  # of the expected time
MAX_SHARE_OF_TIME_LEFT = 1 / 3  # callers ignore a longer time
KEPT_S = 5.0  # after the time told; a caller that comes later counts as new
EARLY_S = 0.02  # clocks and latencies differ by some ms


@dataclass(slots=True)
class _Told:
    due_s: float
    is_outstanding: bool = True


class ReturnTimes:
    """The callers that were refused lately, by the id of their program or session."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._told_by_caller: OrderedDict[str, _Told] = OrderedDict()

    def snapshot(self, rng: random.Random) -> "ReturnTimes":
        """Return a copy that draws from another source of random numbers."""
        copied = ReturnTimes(rng)
        for caller, told in self._told_by_caller.items():
            copied._told_by_caller[caller] = _Told(told.due_s, told.is_outstanding)
        return copied

    def tell(
        self, caller: str | None, *, expected_s: float, time_left_s: float, now_s: float
    ) -> float:
        """Return after how many seconds a refused caller should come back, and remember it."""
        longest_s = MAX_SHARE_OF_TIME_LEFT * max(0.0, time_left_s)
        earliest_s = max(MIN_RETRY_AFTER_S, expected_s)
        latest_s = min(longest_s, earliest_s + max(SPREAD_S, SPREAD_SHARE * expected_s))
        # A caller whose time is short returns within the later half of what it has.
        earliest_s = min(earliest_s, latest_s / 2 if latest_s == longest_s else latest_s)
        retry_after_s = self._rng.uniform(earliest_s, latest_s)
        if caller is not None:
            self._told_by_caller[caller] = _Told(now_s + retry_after_s)
            self._told_by_caller.move_to_end(caller)
            while len(self._told_by_caller) > MAX_CALLERS:
                self._told_by_caller.popitem(last=False)
        return retry_after_s

    def has_returned(self, caller: str | None, *, now_s: float) -> bool:
        """Return whether a caller was refused and has come back no earlier than it was told."""
        told = self._told_by_caller.get(caller) if caller is not None else None
        if told is None or now_s > told.due_s + KEPT_S:
            return False
        told.is_outstanding = False
        return now_s >= told.due_s - EARLY_S

    def forget(self, caller: str | None) -> None:
        """Forget a caller that has been placed."""
        if caller is not None:
            self._told_by_caller.pop(caller, None)

    def count_outstanding(self, *, now_s: float) -> int:
        """Return how many callers have been told to return later than now and have not yet."""
        while self._told_by_caller:
            caller, told = next(iter(self._told_by_caller.items()))
            if now_s <= told.due_s + KEPT_S:
                break
            del self._told_by_caller[caller]
        return sum(
            told.is_outstanding and told.due_s >= now_s for told in self._told_by_caller.values()
        )
