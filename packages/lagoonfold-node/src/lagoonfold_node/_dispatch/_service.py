"""Create the parts of the dispatch controller and run them."""

import random
from collections.abc import Callable

import trio

from lagoonfold import InstanceId, KeyValueStore, ProgramId
from lagoonfold.settings import SchedulingSettings
from lagoonfold_io import HttpClient
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._dispatch._broadcast import make_broadcast
from lagoonfold_node._dispatch._caches import CacheEvictor
from lagoonfold_node._dispatch._dispatcher import DEFAULT_POLICIES, Dispatcher
from lagoonfold_node._dispatch._engine_poller import EnginePoller
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._table import UpstreamTable
from lagoonfold_node._peers import PeerBus


class DispatchService:
    """The dispatch controller of one instance; its `dispatcher` places the calls.

    It subscribes to the cell `upstreams` and reads the cell `members`. `is_gone` returns whether a
    program that is owned here has ended.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        board: Board,
        bus: PeerBus,
        store: KeyValueStore,
        client: HttpClient,
        metrics: Metrics,
        *,
        is_gone: Callable[[ProgramId], bool] = lambda program_id: False,
        rng: random.Random | None = None,
        policies: SchedulingSettings = DEFAULT_POLICIES,
    ) -> None:
        def peers() -> list[InstanceId]:
            return [peer for peer in board.members.read() if peer != instance_id]

        table = UpstreamTable(instance_id)
        broadcast = make_broadcast(bus, peers)
        poison = PoisonNotices(store, broadcast)
        caches = CacheEvictor(table, client, is_gone=is_gone)
        self.dispatcher = Dispatcher(
            table,
            poison,
            caches,
            metrics,
            rng or random.Random(),
            policies=policies,
            broadcast=broadcast,
        )
        self._engine_poller = EnginePoller(table, client, self.dispatcher.place_waiting)
        self._upstreams = board.upstreams

    async def run(self) -> None:
        """Run until cancelled."""
        dispatcher = self.dispatcher
        dispatcher.table.update(self._upstreams.read())
        unsubscribe = self._upstreams.subscribe(dispatcher.table.update)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._engine_poller.run)
                nursery.start_soon(dispatcher.poison.run)
                nursery.start_soon(dispatcher.caches.run)
                nursery.start_soon(dispatcher.run)
        finally:
            unsubscribe()
