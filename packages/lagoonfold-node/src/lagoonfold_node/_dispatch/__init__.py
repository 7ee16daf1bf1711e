"""The dispatch controller: decides when a call runs and on which upstream.

It reads the cells `upstreams` and `members`, and keeps the load, the cached prefixes and the
health of each upstream as its own state.

    async with dispatcher.place(request) as placed:
        if isinstance(placed, Ok):
            placement = placed.ok_value
            ...                                    # send the call to placement.address
            placement.succeed(usage)
"""

from lagoonfold_node._dispatch._broadcast import make_broadcast
from lagoonfold_node._dispatch._caches import CacheEvictor
from lagoonfold_node._dispatch._dispatcher import Dispatcher
from lagoonfold_node._dispatch._engine_poller import EnginePoller
from lagoonfold_node._dispatch._handlers import HasDispatch
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._requests import CallUsage, Placement, PlacementRequest
from lagoonfold_node._dispatch._retries import Retries
from lagoonfold_node._dispatch._service import DispatchService
from lagoonfold_node._dispatch._table import UpstreamState, UpstreamTable

__all__ = [
    "CacheEvictor",
    "DispatchService",
    "Dispatcher",
    "HasDispatch",
    "Placement",
    "PlacementRequest",
    "PoisonNotices",
    "Retries",
    "CallUsage",
    "EnginePoller",
    "UpstreamState",
    "UpstreamTable",
    "make_broadcast",
]
