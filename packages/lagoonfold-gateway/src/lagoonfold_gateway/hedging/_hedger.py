"""Gives a request a second attempt while its first one is late.

Only requests that may be repeated, at two replicas or more, have one, and none that is answered by
a stream. The replica is chosen by the owner of a pool, at once or not at all.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

import trio
from result import Ok

from lagoonfold.forwarding import HedgePolicy, OverdueHeads, RouteKind
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.hedging._race import AttemptRace, Claim
from lagoonfold_gateway.placing import Placement, PlacementNeed

T = TypeVar("T")

MIN_UPSTREAMS = 2  # at which a request may run


class Hedger:
    """Makes the attempts of the requests of one instance, with a second one where it is due.

    `overdue` has the budget of all repeated requests.
    """

    def __init__(self, context: ForwardContext, overdue: OverdueHeads) -> None:
        self._context = context
        self._policy = HedgePolicy(context.hedge_share, overdue)

    def record_no_room(self, service: str) -> None:
        """Record that a request was refused, not run, since a service had no room."""
        self._policy.record_refusal(service, now_s=now_s())

    async def attempt(
        self,
        request_state: RequestState,
        need: PlacementNeed,
        placement: Placement,
        make: Callable[[Placement, Claim], Awaitable[T]],
    ) -> list[T]:
        """Make an attempt, and a second one if it is due; return how they ended.

        The result that counts is the last one; cancelled attempts have none.
        """
        if not self._may_hedge(request_state):
            return [await make(placement, Claim())]
        self._policy.record_request()
        return await _HedgedAttempt(self._context, self._policy, request_state, need).run(
            placement, make
        )

    def _may_hedge(self, request_state: RequestState) -> bool:
        """Return whether a request that is about to be sent may run at a second replica."""
        route, attempts = request_state.route, request_state.attempts
        is_kind = route.may_repeat and route.kind is not RouteKind.STREAM
        is_first = attempts.has_not_run and attempts.losses == 0
        return (
            self._policy.share > 0
            and is_kind
            and is_first
            and attempts.max_upstreams >= MIN_UPSTREAMS
        )


class _HedgedAttempt:
    """The first attempt of one request, and its hedge."""

    def __init__(
        self,
        context: ForwardContext,
        policy: HedgePolicy,
        request_state: RequestState,
        need: PlacementNeed,
    ) -> None:
        self._context = context
        self._policy = policy
        self._request_state = request_state
        self._need = need
        self._was_due = False

    async def run(
        self, placement: Placement, make: Callable[[Placement, Claim], Awaitable[T]]
    ) -> list[T]:
        delay_s = self._policy.delay_s(self._need.route)
        race: AttemptRace[T] = AttemptRace()
        first_id = placement.selection.replica.replica_id

        async def first(claim: Claim) -> T:
            return await self._make_timed(placement, claim, make, delay_s)

        async def second(claim: Claim) -> T | None:
            hedge = await self._place_hedge(first_id)
            return None if hedge is None else await self._make_counted(hedge, claim, make)

        if delay_s is None:
            return [await first(Claim())]
        await race.run(first, second, after_s=delay_s)
        return race.results

    async def _make_timed(
        self,
        placement: Placement,
        claim: Claim,
        make: Callable[[Placement, Claim], Awaitable[T]],
        delay_s: float | None,
    ) -> T:
        """Make the first attempt and record how long its head took, or for how long it was late."""
        began_s = now_s()
        claim.on_accepted = lambda: self._record_head(now_s() - began_s)
        try:
            return await make(placement, claim)
        finally:
            took_s = now_s() - began_s
            if not claim.is_accepted and took_s >= (math.inf if delay_s is None else delay_s):
                self._record_head(took_s)

    def _record_head(self, head_s: float) -> None:
        need = self._need
        self._policy.record_head(need.route, need.service, head_s, was_due=self._was_due)

    async def _place_hedge(self, first_id: str) -> Placement | None:
        """Return a place for the hedge, None if there is to be none."""
        context, state = self._context, self._request_state
        is_suspect = context.poison_tracker.is_poisonous(state.digest)
        if is_suspect or context.replica_caller.is_cut_off:
            return None
        self._was_due = True
        withheld = self._policy.try_hedge(self._need.service, now_s=now_s())
        if withheld is not None:
            context.metrics.count("hedges_withheld", withheld.value)
            return None
        excluded = self._need.excluded | {first_id}
        need = replace(self._need, excluded=excluded, only=None, is_hedge=True)
        try:
            placed = await context.placement_client.place_hedge(need)
        except trio.Cancelled:
            self._policy.give_back()
            raise
        if isinstance(placed, Ok):
            return placed.ok_value
        self._policy.give_back()
        context.metrics.count("hedges", "no-room")
        return None

    async def _make_counted(
        self, hedge: Placement, claim: Claim, make: Callable[[Placement, Claim], Awaitable[T]]
    ) -> T:
        self._request_state.is_hedged = True
        try:
            return await make(hedge, claim)
        finally:
            self._context.metrics.count("hedges", "won" if claim.is_accepted else "lost")
