"""Decides when a request gets a second attempt while its first one is in progress (a hedge).

Answers the load of a service a few of whose answers take many times the usual. A hedge is due once
the first attempt has taken longer than almost all of its route have lately. Hedges are limited to a
share of the requests that may be hedged. None is made while heads of the service are late in
general, as more requests would slow it further, nor shortly after the service had no room.

Everything is decided from arguments, without I/O.
"""

from bisect import bisect_left, insort
from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum

from lagoonfold.forwarding._overdue_heads import OverdueHeads

MIN_SAMPLES = 30  # of a route, before their quantiles say much
WINDOW_SAMPLES = 256  # of a route; 8 of them lie beyond a quantile of 0.97
MIN_QUANTILE = 0.95  # of the heads of a route; a smaller share of hedges takes a higher one
MAX_QUANTILE = 0.99  # a higher one is not known from the window
BODY_QUANTILE = 0.9
MAX_BODY_MULTIPLE = 2.0  # of it: a high quantile may lie among the answers that hedges are for
MIN_DELAY_S = 0.005  # shorter differences are those of scheduling
MAX_SAVED_HEDGES = 3.0  # after a calm time
LATE_WEIGHT = 1 / 16  # of the latest head in the share of late ones
MAX_LATE_SHARE = 0.3  # a tenth is late by definition where `MAX_BODY_MULTIPLE` decides
LATE_SAMPLE_STEP = 32  # one head in so many is learned while a service is slow as a whole
REFUSAL_PAUSE_S = 1.0  # after a request was refused since the service had no room


class HedgeWithheld(Enum):
    """Why a hedge that is due is not made.

    `BUDGET`: the share of hedged or of repeated requests is used up. `SLOW`: the service is slow as
    a whole. `REFUSALS`: it had no room lately.
    """

    BUDGET = "budget"
    SLOW = "slow-service"
    REFUSALS = "refusals"


@dataclass(slots=True)
class _RouteTimes:
    """The latest times of heads of a route, in order of arrival and of size."""

    latest: deque[float] = field(default_factory=deque)
    sorted_s: list[float] = field(default_factory=list)

    def add(self, head_s: float) -> None:
        self.latest.append(head_s)
        insort(self.sorted_s, head_s)
        if len(self.latest) > WINDOW_SAMPLES:
            del self.sorted_s[bisect_left(self.sorted_s, self.latest.popleft())]

    def quantile_s(self, quantile: float) -> float:
        return self.sorted_s[int(quantile * len(self.sorted_s))]


@dataclass(slots=True)
class _ServiceState:
    late_share: float = 0.0
    skipped: int = 0
    refused_at_s: float = float("-inf")

    def record(self, *, is_late: bool) -> None:
        self.late_share += LATE_WEIGHT * (is_late - self.late_share)

    @property
    def is_slow(self) -> bool:
        return self.late_share > MAX_LATE_SHARE


class HedgePolicy:
    """Learns the times of heads by route; limits hedges to `share` of the recorded requests.

    `overdue` has the budget of all repeated requests, which hedges draw on as well.

    policy = HedgePolicy(0.03, OverdueHeads())
    policy.record_request()
    delay_s = policy.delay_s("lookup")          # None until enough is known
    ...                                         # the first attempt has no head after `delay_s`
    policy.try_hedge("models", now_s=12.5)      # None: make the second attempt
    policy.record_head("lookup", "models", 0.02, was_due=True)
    """

    def __init__(self, share: float, overdue: OverdueHeads) -> None:
        self.share = share
        self._overdue = overdue
        self._quantile = min(MAX_QUANTILE, max(MIN_QUANTILE, 1.0 - share))
        self._saved = 0.0
        self._times_by_route: defaultdict[str, _RouteTimes] = defaultdict(_RouteTimes)
        self._state_by_service: defaultdict[str, _ServiceState] = defaultdict(_ServiceState)

    def record_request(self) -> None:
        """Record a request that may be hedged."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + self.share)

    def delay_s(self, route: str) -> float | None:
        """Return after how long without a head a hedge is due; None if none can be.

        It is never later than when the head is overdue.
        """
        overdue_s, learned_s = self._overdue.limit_s(route), self._learned_s(route)
        if overdue_s is None or learned_s is None:
            return None
        return min(overdue_s, learned_s)

    def try_hedge(self, service: str, *, now_s: float) -> HedgeWithheld | None:
        """Record that a hedge is due; take it from the budget, or return why it is not made."""
        state = self._state_by_service[service]
        state.record(is_late=True)
        if state.is_slow:
            return HedgeWithheld.SLOW
        if now_s - state.refused_at_s < REFUSAL_PAUSE_S:
            return HedgeWithheld.REFUSALS
        if self._saved < 1.0 or not self._overdue.has_budget:
            return HedgeWithheld.BUDGET
        self._saved -= 1.0
        self._overdue.record_overdue()
        return None

    def give_back(self) -> None:
        """Return a hedge that was taken from the budget and not sent."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + 1.0)
        self._overdue.give_back()

    def record_head(self, route: str, service: str, head_s: float, *, was_due: bool) -> None:
        """Record how long the head of a first attempt took, or for how long it did not come.

        `was_due` says that the attempt was recorded by `try_hedge` before.
        """
        state, learned_s = self._state_by_service[service], self._learned_s(route)
        if learned_s is not None and not was_due:
            state.record(is_late=head_s > learned_s)
        if state.is_slow:
            state.skipped = (state.skipped + 1) % LATE_SAMPLE_STEP
            if state.skipped:
                return
        self._times_by_route[route].add(head_s)

    def record_refusal(self, service: str, *, now_s: float) -> None:
        """Record that a request was refused since a service had no room."""
        self._state_by_service[service].refused_at_s = now_s

    def _learned_s(self, route: str) -> float | None:
        times = self._times_by_route[route]
        if len(times.latest) < MIN_SAMPLES:
            return None
        high_s = times.quantile_s(self._quantile)
        body_s = MAX_BODY_MULTIPLE * times.quantile_s(BODY_QUANTILE)
        return max(MIN_DELAY_S, min(high_s, body_s))
