"""Explains the pools that a request may be placed in.

Reads `replicas`. Each pool is explained by what this instance knows, also one that it does not own.
"""

from dataclasses import replace

from lagoonfold.explanations import Decision, Outcome, PoolExplanation
from lagoonfold.forwarding import Replica
from lagoonfold.placement import PlacementOrder, ReplicaPool, SelectionInput
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._pool_owners import PoolOwners
from lagoonfold_gateway.explaining._replicas import decide, explain_replicas
from lagoonfold_gateway.placing import Dispatcher, PlacementNeed
from lagoonfold_gateway.placing._placement_needs import pools_of
from lagoonfold_gateway.placing._placement_refusals import queue_full

MAX_POOLS = 4  # explained in full: more than a request asks; each costs copies of what is known


class PoolExplainer:
    """Explains the pools of a service in the order in which a request asks them."""

    def __init__(
        self,
        board: GatewayBoard,
        instance_id: str,
        pool_owners: PoolOwners,
        dispatcher: Dispatcher,
        failure_domain: str,
    ) -> None:
        self._board = board
        self._instance_id = instance_id
        self._pool_owners = pool_owners
        self._dispatcher = dispatcher
        self._failure_domain = failure_domain

    def explain(self, need: PlacementNeed, *, now_s: float) -> tuple[PoolExplanation, ...]:
        """Return the pools that may take a request; those after `MAX_POOLS` are only named."""
        directory = self._board.replicas.read()
        staying = directory.staying_at(need.service)
        pools = pools_of(need, directory.available_for(need.service) or staying, len(staying))
        evacuated = [each for each in staying if not directory.may_use(each.replica_id)]
        return tuple(
            self._explain(pool, need, evacuated, now_s) if index < MAX_POOLS else self._name(pool)
            for index, pool in enumerate(pools)
        )

    def _name(self, pool: ReplicaPool) -> PoolExplanation:
        owner = self._pool_owners.duty(pool).owner
        is_owned = owner == self._instance_id
        return PoolExplanation(subject=pool.subject, owner=owner, is_owned=is_owned)

    def _explain(
        self, pool: ReplicaPool, need: PlacementNeed, evacuated: list[Replica], now_s: float
    ) -> PoolExplanation:
        dispatcher, request, order = self._dispatcher, self._input(need), _order(need, now_s)
        selector, queue = dispatcher.snapshot(pool)
        replicas = explain_replicas(
            selector, dispatcher.replicas_of(pool), pool.select(evacuated), request, now_s=now_s
        )
        at_once_order = replace(order, may_wait=False)
        at_once = decide(dispatcher, pool, request, at_once_order, now_s=now_s)
        decision = decide(dispatcher, pool, request, order, now_s=now_s)
        return replace(
            self._name(pool),
            waiting=len(queue),
            at_once=_for_caller(at_once, need),
            decision=_for_caller(decision, need),
            replicas=replicas,
        )

    def _input(self, need: PlacementNeed) -> SelectionInput:
        return SelectionInput(
            typical_latency_s=self._dispatcher.typical_latency_s(need.route),
            parts=need.parts,
            failure_domain=self._failure_domain,
            prompt_tokens=need.prompt_tokens,
            output_tokens=need.output_tokens,
        )


def _order(need: PlacementNeed, now_s: float) -> PlacementOrder:
    """Return the order of a request that arrives now and has not waited before."""
    return PlacementOrder(
        rank=need.rank,
        tie_break=need.soft_deadline_s,
        wait_until_s=max(now_s, need.place_until_s),
        is_begun=need.is_begun,
        account=need.account,
        waited_s=None if need.waiting_since_s is None else 0.0,
        answer_until_s=need.answer_deadline_s,
    )


def _for_caller(decision: Decision, need: PlacementNeed) -> Decision:
    """Return a decision with the time that a rejected caller is told."""
    if decision.outcome is not Outcome.REJECTED:
        return decision
    refusal = queue_full(need, decision.retry_after_s or 0.0)
    return replace(decision, retry_after_s=refusal.retry_after_s)
