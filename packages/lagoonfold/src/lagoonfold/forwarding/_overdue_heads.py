"""Decides when the head of an answer is overdue, so that its request is sent once more.

A replica may run a request and lose the answer: the connection stays open and silent. A caller that
may be answered by another attempt should not wait for its deadline. The head of an answer counts as
overdue after several times what heads of its route take, their variation included. The share of
requests that are sent once more is limited, so that a service that turns slow as a whole does not
get more requests for it.

Answers the load of replicas that lose one answer in twenty, and that of a service that turns slow.
Everything is decided from arguments, without I/O.
"""

from dataclasses import dataclass

MIN_HEADS = 20  # of a route, before their times say much
MEAN_WEIGHT = 0.125  # of the latest head, as for the round trips of a connection (RFC 6298)
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4
MARGIN = 2.0  # times what almost all heads take
MIN_OVERDUE_S = 0.25  # shorter silences are more often a busy replica than a lost answer
REPEATED_SHARE = 0.1  # of the requests, at most, are sent once more
MAX_SAVED = 10.0  # requests that may be sent once more at once after a calm time


@dataclass(slots=True)
class _HeadTimes:
    heads: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0


class OverdueHeads:
    """Learns the times of heads by route.

    overdue = OverdueHeads()
    for _ in range(30):
        overdue.record_head("lookup", 0.03)
    overdue.limit_s("lookup")    # 0.25
    """

    def __init__(self) -> None:
        self._times_by_route: dict[str, _HeadTimes] = {}
        self._saved = MAX_SAVED

    def record_head(self, route: str, head_s: float) -> None:
        """Record how long the head of an answer took."""
        times = self._times_by_route.setdefault(route, _HeadTimes())
        if times.heads == 0:
            times.mean_s, times.deviation_s = head_s, head_s / 2
        else:
            error_s = head_s - times.mean_s
            times.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - times.deviation_s)
            times.mean_s += MEAN_WEIGHT * error_s
        times.heads += 1
        self._saved = min(MAX_SAVED, self._saved + REPEATED_SHARE)

    def limit_s(self, route: str) -> float | None:
        """Return after how long a head is overdue; None if no request may be sent once more."""
        times = self._times_by_route.get(route)
        if times is None or times.heads < MIN_HEADS or not self.has_budget:
            return None
        usual_s = times.mean_s + DEVIATIONS * times.deviation_s
        return max(MIN_OVERDUE_S, MARGIN * usual_s)

    @property
    def has_budget(self) -> bool:
        """Return whether a request may be sent once more, for any reason."""
        return self._saved >= 1.0

    def record_overdue(self) -> None:
        """Record that a head was overdue, or late, and that its request is sent once more."""
        self._saved = max(0.0, self._saved - 1.0)

    def give_back(self) -> None:
        """Record that a request was not sent once more after all."""
        self._saved = min(MAX_SAVED, self._saved + 1.0)
