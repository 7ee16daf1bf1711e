"""Client side of placement, at the instance where a request arrived.

Reads `replicas`. The owner of the pool of the request's session is asked for a replica. If that
pool has no slot, the owner of another one is asked, and if none has one, the request waits at the
first. If an owner does not answer or is busy, its deputy is asked. If that one does not answer
either, this instance selects a replica itself, by what it knows of its own requests and by what
replicas have reported to it.
"""

import itertools
from dataclasses import replace

import trio
from result import Err, Ok, Result

from lagoonfold import Refusal
from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    OwnerTrust,
    PlacementRefusal,
    PlacementShortage,
    ReplicaPool,
    ReplicaSelection,
    SelectionInput,
    is_clearly_free,
)
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import Placed, PlacementRefused, PlaceRequest
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._pool_owners import PoolOwners
from lagoonfold_gateway.placing._dispatch import Dispatcher, PlacementEvidence, WaitingPlacement
from lagoonfold_gateway.placing._placement_needs import (
    Placement,
    PlacementNeed,
    is_of_version,
    pools_of,
)
from lagoonfold_gateway.placing._placement_orders import order_of
from lagoonfold_gateway.placing._placement_refusals import (
    no_replica,
    no_replica_of_version,
    queue_full,
)
from lagoonfold_gateway.placing._placement_requests import make_end, make_request
from lagoonfold_io.observe import EventLog, Metrics

CALL_TIMEOUT_S = 0.15  # some hundred times the latency to a peer
HOLD_S = 0.5  # an owner answers at least as often while a request waits there
MAX_POOLS_ASKED = 2  # at once for a slot; a third would cost more time than it is likely to save
NO_REPLICA_WAIT_S = 1.0  # a replacement is listed within a second, or it takes much longer
NO_REPLICA_POLL_S = 0.05  # while a service has no replica

_OWNER, _DEPUTY, _SELF = "owner", "deputy", "self"  # who placed a request

_log = EventLog("placement")


class PlacementClient:
    """Places the requests that arrive at this instance."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        pool_owners: PoolOwners,
        dispatcher: Dispatcher,
        failure_domain: str,
        metrics: Metrics,
    ) -> None:
        self._board = board
        self._bus = bus
        self._pool_owners = pool_owners
        self._dispatcher = dispatcher
        self._failure_domain = failure_domain
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._trust = OwnerTrust()

    async def place(self, need: PlacementNeed) -> Result[Placement, Refusal]:
        """Place a request; it counts as in flight at its replica until `end`."""
        replicas = await self._wait_for_replicas(need.service)
        if not replicas:
            return Err(no_replica(need.service))
        if not any(is_of_version(replica, need) for replica in replicas):
            return Err(no_replica_of_version(need.service, need.version))
        pools = self._pools(need, replicas)
        if len(pools) > 1:
            for pool in pools[:MAX_POOLS_ASKED]:
                placed = await self._ask(pool, need, hold_s=0.0)
                if isinstance(placed, Ok):
                    return placed
        return await self._wait_for_place(pools, need)

    async def place_hedge(self, need: PlacementNeed) -> Result[Placement, PlacementRefusal]:
        """Place a second attempt at a clearly free replica, at once or not at all."""
        replicas = [
            replica
            for replica in self._board.replicas.read().available_for(need.service)
            if replica.replica_id not in need.excluded and is_of_version(replica, need)
        ]
        if replicas:
            for pool in self._pools(need, replicas)[:MAX_POOLS_ASKED]:
                placed = await self._ask(pool, need, hold_s=0.0)
                if isinstance(placed, Ok):
                    return placed
        return Err(PlacementRefusal(shortage=PlacementShortage.FULL))

    async def _wait_for_place(
        self, pools: list[ReplicaPool], need: PlacementNeed
    ) -> Result[Placement, Refusal]:
        """Let a request wait at its first pool until it is placed or refused."""
        while True:
            placed = await self._ask(pools[0], need, hold_s=HOLD_S)
            if isinstance(placed, Ok):
                return placed
            refusal = placed.err_value
            if refusal.shortage is PlacementShortage.NO_REPLICA:
                evacuated = self._evacuated_ids(need.service)
                others = self._other_pools(need, pools)
                if not others and evacuated <= need.excluded:
                    return Err(queue_full(need, refusal.retry_after_s))
                pools = others or pools
                # The owner may not know of an evacuation yet.
                need = replace(need, excluded=need.excluded | evacuated)
            elif refusal.shortage is not PlacementShortage.WAITING:
                return Err(queue_full(need, refusal.retry_after_s))

    def _evacuated_ids(self, service: str) -> frozenset[str]:
        directory = self._board.replicas.read()
        staying = {replica.replica_id for replica in directory.staying_at(service)}
        return frozenset(each for each in staying if not directory.may_use(each))

    def _other_pools(self, need: PlacementNeed, asked: list[ReplicaPool]) -> list[ReplicaPool]:
        """Return the pools to ask once no replica of the first one gets new requests."""
        replicas = self._board.replicas.read().available_for(need.service)
        if not any(is_of_version(replica, need) for replica in replicas):
            return []
        pools = self._pools(need, replicas)
        return pools if pools[:1] != asked[:1] else []

    def _pools(self, need: PlacementNeed, replicas: list[Replica]) -> list[ReplicaPool]:
        """Return the pools that may take a request, the first one of its session first."""
        listed = len(self._board.replicas.read().staying_at(need.service))
        return pools_of(need, replicas, listed)

    def end(self, placement: Placement, evidence: PlacementEvidence) -> None:
        """Record the end of a request at its replica, and report it to the owner."""
        if placement.owner != self._bus.own_id:
            replica = placement.selection.replica
            self._dispatcher.record_end(
                placement.pool,
                replica,
                evidence,
                sender=self._bus.own_id,
                claim=placement.selection.claim,
            )
        if placement.owner is not None:
            self._report_end(placement.owner, placement.number, evidence)

    async def _ask(
        self, pool: ReplicaPool, need: PlacementNeed, *, hold_s: float
    ) -> Result[Placement, PlacementRefusal]:
        """Ask a pool's owner for a replica, then its deputy; select one here if neither answers.

        A hedge is only placed by the owner, which alone can tell that a replica is clearly free.
        """
        duty, asked = self._pool_owners.duty(pool), []
        while True:
            placing = self._trust.next_to_ask(
                duty, asked=asked, now_s=now_s(), owner_only=need.is_hedge
            )
            if placing is None:
                return self._counted(await self._place_here(need, hold_s=hold_s), _SELF)
            placed = await self._ask_instance(placing, pool, need, hold_s=hold_s)
            if placed is not None:
                return self._counted(placed, _OWNER if placing == duty.owner else _DEPUTY)
            asked.append(placing)

    async def _ask_instance(
        self, placing: str, pool: ReplicaPool, need: PlacementNeed, *, hold_s: float
    ) -> Result[Placement, PlacementRefusal] | None:
        """Ask an instance for a replica; return None if another one is to be asked."""
        number = next(self._numbers)
        request = self._make_request(number, pool, need, hold_s)
        asked_s = now_s()
        try:
            answer = await self._bus.call(placing, request, timeout_s=hold_s + CALL_TIMEOUT_S)
        except trio.Cancelled:
            self._report_end(placing, number, _unsent(need))
            raise
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Placed):
            self._trust.record_answered(placing)
            is_late = now_s() - asked_s > hold_s + CALL_TIMEOUT_S
            return self._accept(placing, number, pool, need, answer.ok_value, is_late=is_late)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, PlacementRefused):
            refused = answer.ok_value
            if refused.is_busy:
                self._trust.record_busy(placing, now_s=now_s())
                return None
            self._trust.record_answered(placing)
            shortage = PlacementShortage(refused.shortage)
            return Err(PlacementRefusal(shortage=shortage, retry_after_s=refused.retry_after_s))
        reason = answer.err_value.value if isinstance(answer, Err) else "unknown message"
        _log.info("placement.owner_silent", owner=placing, pool=pool.subject, reason=reason)
        self._trust.record_silent(placing, now_s=now_s())
        self._report_end(placing, number, _unsent(need))
        return None

    def _counted(
        self, placed: Result[Placement, PlacementRefusal], by: str
    ) -> Result[Placement, PlacementRefusal]:
        if isinstance(placed, Ok):
            self._metrics.count("placements", by)
        return placed

    def _accept(
        self,
        owner: str,
        number: int,
        pool: ReplicaPool,
        need: PlacementNeed,
        placed: Placed,
        *,
        is_late: bool,
    ) -> Result[Placement, PlacementRefusal]:
        """Accept a placement, unless this instance knows that the replica must not be used.

        A late one may have been counted in another second: an instance that was suspended would
        send all that it got meanwhile at once, which a cold replica must not get.
        """
        if is_late and self._dispatcher.is_cold(placed.replica_id):
            self._report_end(owner, number, _unsent(need))
            return Err(PlacementRefusal(shortage=PlacementShortage.WAITING))
        replica = self._board.replicas.read().get(placed.replica_id)
        may_use = self._board.replicas.read().may_use(placed.replica_id)
        is_usable = replica is not None and may_use and is_of_version(replica, need)
        # An owner of an earlier release does not know hedges.
        if need.is_hedge and replica is not None:
            is_usable = is_usable and is_clearly_free(placed.requests, replica.slots)
        if replica is None or not is_usable:
            self._report_end(owner, number, _unsent(need))
            return Err(PlacementRefusal(shortage=PlacementShortage.NO_REPLICA))
        claim = None
        if owner != self._bus.own_id:
            claim = self._dispatcher.record_sent(replica, self._selection_input(need))
        selection = ReplicaSelection(
            replica=replica,
            cost_s=0.0,
            requests=placed.requests,
            slowdown=placed.slowdown,
            uncached_tokens=placed.uncached_tokens,
            claim=claim,
        )
        return Ok(
            Placement(
                owner=owner,
                number=number,
                pool=pool,
                selection=selection,
                is_hedge=need.is_hedge,
            )
        )

    async def _place_here(
        self, need: PlacementNeed, *, hold_s: float
    ) -> Result[Placement, PlacementRefusal]:
        """Select a replica of the service by what this instance knows itself.

        That is too little to tell whether a replica is clearly free for a hedge.
        """
        if need.is_hedge:
            return Err(PlacementRefusal(shortage=PlacementShortage.FULL))
        pool = ReplicaPool(need.service)
        order = order_of(self._make_request(0, pool, need, hold_s), now_s=now_s())
        wanted = replace(self._selection_input(need), by_reports=True)
        placed = self._dispatcher.place(pool, wanted, order)
        if isinstance(placed, Ok) and isinstance(placed.ok_value, WaitingPlacement):
            placed = await self._dispatcher.wait(placed.ok_value, hold_s=hold_s)
        if isinstance(placed, Err):
            return placed
        return Ok(Placement(owner=None, number=0, pool=pool, selection=placed.ok_value))

    def _selection_input(self, need: PlacementNeed) -> SelectionInput:
        return SelectionInput(
            typical_latency_s=self._dispatcher.typical_latency_s(need.route),
            parts=need.parts,
            excluded=need.excluded,
            only=need.only,
            failure_domain=self._failure_domain,
            expected_tokens=need.expected_tokens,
            version=need.version,
            affinity=need.affinity,
            prompt_tokens=need.prompt_tokens,
            output_tokens=need.output_tokens,
        )

    def _make_request(
        self, number: int, pool: ReplicaPool, need: PlacementNeed, hold_s: float
    ) -> PlaceRequest:
        own_id, domain = self._bus.own_id, self._failure_domain
        return make_request(own_id, domain, number, pool, need, hold_s)

    def _report_end(self, owner: str, number: int, evidence: PlacementEvidence) -> None:
        self._bus.post(owner, make_end(self._bus.own_id, number, evidence))

    async def _wait_for_replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service, waiting for `NO_REPLICA_WAIT_S` if it has none.

        Evacuations last too long for waiting to be of use.
        """
        directory = self._board.replicas.read()
        until_s = now_s() + NO_REPLICA_WAIT_S
        while not directory.staying_at(service) and now_s() < until_s:
            await trio.sleep(NO_REPLICA_POLL_S)
        return directory.available_for(service)


def _unsent(need: PlacementNeed) -> PlacementEvidence:
    return PlacementEvidence(route=need.route, outcome=None)
