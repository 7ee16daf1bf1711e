"""Ranks requests by their expected work among those of the last seconds.

A limit that counts requests leaves a replica most of its capacity if it gets small ones. So while
another replica of the pool has no limit, the large requests should use the limited ones.
"""

from bisect import bisect_left, insort
from collections import deque

MAX_REMEMBERED = 256  # some seconds of the requests of one instance


class WorkRanking:
    """Holds the expected work of the latest requests.

    ranking = WorkRanking()
    for tokens in (10, 20, 30):
        ranking.record(tokens)
    ranking.rank(25)    # 2 of 3 are smaller: 0.67
    """

    def __init__(self) -> None:
        self._latest: deque[float] = deque()
        self._sorted: list[float] = []

    def snapshot(self) -> "WorkRanking":
        """Return a copy."""
        copied = WorkRanking()
        copied._latest, copied._sorted = self._latest.copy(), list(self._sorted)
        return copied

    def record(self, work: float) -> None:
        """Record the expected work of a request."""
        self._latest.append(work)
        insort(self._sorted, work)
        if len(self._latest) > MAX_REMEMBERED:
            del self._sorted[bisect_left(self._sorted, self._latest.popleft())]

    def rank(self, work: float) -> float:
        """Return the share of the latest requests with less work, 1 if there are none."""
        if not self._sorted:
            return 1.0
        return bisect_left(self._sorted, work) / len(self._sorted)
