"""An account's quota at its owner: one token for each call.

A quota of a rate and a burst allows rate x t + burst calls in a window of t seconds. The calls of a
program come in bursts that a bucket of that burst would delay, though the window holds them. So
tokens are counted over the window itself, and a bucket that is deeper by `slack_calls` only bounds
how much of the window can be used at once.

An owner that takes an account over does not know what the owner before it has granted, and starts
from an empty bucket. The calls of a window in which the owner changed exceed the quota by no more
than `slack_calls`.
"""

import copy
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonfold.rates._messages import RateLimit

_ROUNDING_TOLERANCE = 1e-6  # tokens; keeps float rounding from losing a whole token


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTerms:
    """How quotas are counted: over `window_s` seconds, with `slack_calls` more after a takeover.

    Of the calls that were granted under a higher limit, those of the last `carried_s` seconds count
    against a lower one. `tolerance` is the share by which a window with such calls may exceed what
    the rate allows; without them, the bucket keeps it to that.
    """

    window_s: float = 5.0
    slack_calls: float = 0.0
    carried_s: float = 0.0
    tolerance: float = 0.0


class Quota:
    """Counts the tokens that one account's owner grants.

    `taken_at_s` are the times of calls before the quota was known that count against it.

    quota = Quota(RateLimit(rate_per_s=5.0, burst=5), QuotaTerms(), now_s=0.0, is_new=True)
    quota.try_take(now_s=0.0)    # True
    """

    def __init__(
        self,
        limit: RateLimit,
        terms: QuotaTerms,
        *,
        now_s: float,
        is_new: bool = False,
        taken_at_s: Iterable[float] = (),
    ) -> None:
        self._limit = limit
        self._terms = terms
        self._taken_at_s: deque[float] = deque(taken_at_s)
        self._level = self._depth if is_new else 0.0
        self._refilled_s = now_s

    @property
    def limit(self) -> RateLimit:
        """Return the rate and burst in force."""
        return self._limit

    @property
    def most_available(self) -> float:
        """Return how many tokens can be taken at once when none was taken before."""
        return min(self._depth, self._window_size)

    def snapshot(self) -> "Quota":
        """Return a copy that can be asked and drawn on without any effect here."""
        copied = copy.copy(self)
        copied._taken_at_s = self._taken_at_s.copy()
        return copied

    def change_limit(self, limit: RateLimit, *, now_s: float) -> None:
        """Apply a new rate and burst to the calls from now on.

        What was granted under a higher limit more than `carried_s` seconds ago does not count
        against a lower one.
        """
        self._advance(now_s)
        if limit.rate_per_s < self._limit.rate_per_s or limit.burst < self._limit.burst:
            self._forget_until(now_s - self._terms.carried_s)
        self._limit = limit
        self._level = min(self._level, self._depth)

    def available(self, *, now_s: float) -> float:
        """Return how many tokens can be taken now."""
        self._advance(now_s)
        return max(0.0, min(self._level, self._window_size - len(self._taken_at_s)))

    def try_take(self, *, now_s: float, reserved: float = 0.0) -> bool:
        """Take a token if more than `reserved` are available; return whether it was taken."""
        if self.available(now_s=now_s) - reserved < 1 - _ROUNDING_TOLERANCE:
            return False
        self._level -= 1
        self._taken_at_s.append(now_s)
        return True

    def give_back(self, *, taken_s: float, now_s: float) -> None:
        """Return the token, taken at `taken_s`, of a call that was not forwarded."""
        self._advance(now_s)
        if taken_s in self._taken_at_s:
            self._taken_at_s.remove(taken_s)
            self._level = min(self._level + 1, self._depth)

    def wait_s(self, tokens: float, *, now_s: float) -> float:
        """Return the seconds until that many tokens can be taken, if nobody else takes any."""
        self._advance(now_s)
        missing = max(0.0, tokens - self._level)
        rate_per_s = self._limit.rate_per_s
        refill_s = missing / rate_per_s if rate_per_s > 0 else float("inf") if missing else 0.0
        return max(refill_s, self._window_wait_s(tokens, now_s))

    def _window_wait_s(self, tokens: float, now_s: float) -> float:
        """Return when enough calls have left the window; a larger number waits for all of them."""
        excess = int(len(self._taken_at_s) + tokens - self._window_size + _ROUNDING_TOLERANCE)
        if excess <= 0 or not self._taken_at_s:
            return 0.0
        last_to_leave = self._taken_at_s[min(excess, len(self._taken_at_s)) - 1]
        return max(0.0, last_to_leave + self._terms.window_s - now_s)

    @property
    def _depth(self) -> float:
        span = self._limit.rate_per_s * self._terms.window_s
        return self._limit.burst + min(self._terms.slack_calls, span)

    @property
    def _window_size(self) -> int:
        span = self._limit.rate_per_s * self._terms.window_s * (1 + self._terms.tolerance)
        return int(span + self._limit.burst + _ROUNDING_TOLERANCE)

    def _advance(self, now_s: float) -> None:
        if now_s > self._refilled_s:
            refill = (now_s - self._refilled_s) * self._limit.rate_per_s
            self._level = min(self._level + refill, self._depth)
            self._refilled_s = now_s
        while self._taken_at_s and self._taken_at_s[0] < now_s - self._terms.window_s:
            self._taken_at_s.popleft()

    def _forget_until(self, until_s: float) -> None:
        while self._taken_at_s and self._taken_at_s[0] <= until_s:
            self._taken_at_s.popleft()
