"""The placements of a pool by client account, within a sliding window.

While requests wait, the places of the window are divided by max-min fairness: accounts that ask for
less than an equal share get all that they ask for, and the others divide the rest equally. What an
account asks for is what it got within the window and what it has waiting. For example, of 100
places, accounts that ask for 10, 30 and 400 get 10, 30 and 60; the level is 60.
"""

import copy
from collections import Counter, deque
from collections.abc import Iterable

WINDOW_S = 5.0  # spans a burst of some seconds; a new owner has learned the shares by then
MAX_PLACEMENTS = 8_192  # within the window; a pool of 100 slots serves fewer than 1,600 a second
MAX_LEVEL_AGE_S = 0.05  # bounds the work; a pool places a small part of the window in this time


class FairShares:
    """Counts placements by client account; those without an account are not counted."""

    def __init__(self) -> None:
        self._placements: deque[tuple[float, str]] = deque()
        self._count_by_account: Counter[str] = Counter()
        self._level = 0.0
        self._level_until_s = 0.0

    def snapshot(self) -> "FairShares":
        """Return a copy that can be updated without any effect here."""
        copied = copy.copy(self)
        copied._placements = self._placements.copy()
        copied._count_by_account = self._count_by_account.copy()
        return copied

    def record(self, account: str, *, now_s: float) -> None:
        """Count a placement of an account."""
        self._placements.append((now_s, account))
        self._count_by_account[account] += 1
        while len(self._placements) > MAX_PLACEMENTS:
            self._drop_first()
        self._drop_old(now_s)

    def placed(self, account: str) -> int:
        """Return how many placements an account has had within the window."""
        return self._count_by_account[account] if account in self._count_by_account else 0

    def is_over(self, account: str) -> bool:
        """Return whether an account has had its share, by the level of the latest `update`."""
        return self.placed(account) >= self._level

    def update(self, waiting_accounts: Iterable[str], *, now_s: float) -> None:
        """Compute the level anew from the accounts of the waiting requests if it is out of date."""
        if now_s < self._level_until_s:
            return
        self._drop_old(now_s)
        self._level_until_s = now_s + MAX_LEVEL_AGE_S
        demands = Counter(waiting_accounts)
        demands.update(self._count_by_account)
        self._level = _fair_level(demands.values(), len(self._placements))

    def _drop_old(self, now_s: float) -> None:
        while self._placements and self._placements[0][0] <= now_s - WINDOW_S:
            self._drop_first()

    def _drop_first(self) -> None:
        _, account = self._placements.popleft()
        self._count_by_account[account] -= 1
        if not self._count_by_account[account]:
            del self._count_by_account[account]


def _fair_level(demands: Iterable[int], places: int) -> float:
    """Return the number of places beyond which no account's demand is served."""
    ascending = sorted(demands)
    left = float(places)
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand >= level:
            return level
        left -= demand
    return float("inf")
