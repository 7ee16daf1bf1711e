"""Queue disciplines: the order in which waiting calls are dispatched.

A discipline ranks the waiting calls. The fair disciplines rank accounts first, by the weighted
service that each has received, then the calls within an account.

    @queue_discipline("last-come")
    class LastCome(QueueDiscipline):
        def rank(self, call, *, now_s):
            return (-call.arrived_s,)
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from lagoonfold._ids import AccountId

if TYPE_CHECKING:
    from lagoonfold.scheduling._queue import QueuedCall

_AGEING_S_PER_WAITED_S = 1.0
_ASSUMED_SERVICE_S = 0.5

QUEUE_DISCIPLINES_BY_NAME: dict[str, type[QueueDiscipline]] = {}


def queue_discipline(name: str) -> Callable[[type[QueueDiscipline]], type[QueueDiscipline]]:
    """Register a queue discipline under a name."""

    def register(cls: type[QueueDiscipline]) -> type[QueueDiscipline]:
        QUEUE_DISCIPLINES_BY_NAME[name] = cls
        return cls

    return register


class QueueDiscipline:
    """Ranks waiting calls; the call with the smallest rank is dispatched first."""

    def rank(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Return the sort key of a call."""
        raise NotImplementedError

    def ranked(self, calls: Iterable[QueuedCall], *, now_s: float) -> Iterator[QueuedCall]:
        """Yield the calls in order of rank.

        Building the heap takes linear time, and each yielded call logarithmic time.
        """
        heap = [(self.rank(call, now_s=now_s), number, call) for number, call in enumerate(calls)]
        heapq.heapify(heap)
        while heap:
            yield heapq.heappop(heap)[2]

    def count_ahead(self, calls: Iterable[QueuedCall], attained_s: float, *, now_s: float) -> int:
        """Return how many calls would precede a new one with this attained service.

        By default this is the number of all waiting calls.
        """
        return sum(1 for _ in calls)

    def on_queued(self, call: QueuedCall, *, now_s: float) -> None:
        """Update the discipline's state for a call that begins to wait."""

    def on_dispatched(self, call: QueuedCall, *, now_s: float) -> None:
        """Update the discipline's state for a call that is sent to an upstream."""

    def charge_service(self, account_id: AccountId, service_s: float, *, weight: float) -> None:
        """Charge an account for service received, in upstream seconds."""


@queue_discipline("first-come")
class FirstCome(QueueDiscipline):
    """First come, first served, across all accounts."""

    def rank(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Rank by arrival."""
        return (call.arrived_s,)


@queue_discipline("least-attained")
class LeastAttained(QueueDiscipline):
    """Least attained service by program, minus the call's waiting time, across all accounts.

    Ageing ranks a call that has waited for w seconds like one whose program has received w
    seconds less service, so no call starves.
    """

    def rank(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Rank by aged attained service."""
        return (_aged_s(call, now_s), call.arrived_s)

    def count_ahead(self, calls: Iterable[QueuedCall], attained_s: float, *, now_s: float) -> int:
        """Return how many waiting calls have less aged attained service."""
        return sum(_aged_s(call, now_s) <= attained_s for call in calls)


class _FairAccounts(QueueDiscipline):
    """Start-time weighted fair queueing between accounts; subclasses order each account's calls.

    Each account has a virtual time: the weighted service it has received. An account that was
    idle restarts at the virtual time of the busy accounts, so it can't save up service.
    """

    def __init__(self) -> None:
        self._virtual_s_by_account: dict[AccountId, float] = {}
        self._virtual_now_s = 0.0

    def rank(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Rank by the account's virtual time, then within the account."""
        virtual_s = self._virtual_s_by_account.get(call.account_id, 0.0)
        return (virtual_s, *self.rank_within(call, now_s=now_s))

    def rank_within(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Return the sort key of a call among those of its account."""
        raise NotImplementedError

    def on_queued(self, call: QueuedCall, *, now_s: float) -> None:
        """Advance an account that was idle to the virtual time of the busy accounts."""
        account_id = call.account_id
        virtual_s = self._virtual_s_by_account.get(account_id, 0.0)
        self._virtual_s_by_account[account_id] = max(virtual_s, self._virtual_now_s)

    def on_dispatched(self, call: QueuedCall, *, now_s: float) -> None:
        """Advance the virtual clock and charge an assumed service until the actual is known."""
        account_id = call.account_id
        virtual_s = self._virtual_s_by_account.get(account_id, 0.0)
        self._virtual_now_s = max(self._virtual_now_s, virtual_s)
        self._virtual_s_by_account[account_id] = virtual_s + _ASSUMED_SERVICE_S / call.weight

    def charge_service(self, account_id: AccountId, service_s: float, *, weight: float) -> None:
        """Replace the assumed service by the measured one."""
        virtual_s = self._virtual_s_by_account.get(account_id, 0.0)
        correction_s = (service_s - _ASSUMED_SERVICE_S) / weight
        self._virtual_s_by_account[account_id] = virtual_s + correction_s


@queue_discipline("fair-first-come")
class FairFirstCome(_FairAccounts):
    """Fair between accounts, first come, first served within each."""

    def rank_within(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Rank by arrival."""
        return (call.arrived_s,)


@queue_discipline("fair-least-attained")
class FairLeastAttained(_FairAccounts):
    """Fair between accounts, least attained service by program with ageing within each."""

    def rank_within(self, call: QueuedCall, *, now_s: float) -> tuple[float, ...]:
        """Rank by aged attained service."""
        return (_aged_s(call, now_s), call.arrived_s)


def _aged_s(call: QueuedCall, now_s: float) -> float:
    return call.attained_s - _AGEING_S_PER_WAITED_S * (now_s - call.arrived_s)


DEFAULT_QUEUE_DISCIPLINE = "fair-least-attained"
