"""The dispatch controller: which upstream runs a call, and when.

Reads the cells `upstreams` and `members`; keeps the load, the cached prefixes and the health of
each upstream as its own state.

    async with dispatcher.place(request) as placed:
        if isinstance(placed, Ok):
            placement = placed.ok_value
            ...                                    # send the call to placement.address
            placement.succeed(usage)
"""

from lagoonfold_node._dispatch._caches import CacheFreer
from lagoonfold_node._dispatch._dispatcher import Dispatcher
from lagoonfold_node._dispatch._feeds import UpstreamFeeds
from lagoonfold_node._dispatch._handlers import HasDispatch
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._requests import Placement, PlacementRequest, ServiceUsage
from lagoonfold_node._dispatch._retries import Retries
from lagoonfold_node._dispatch._service import DispatchService
from lagoonfold_node._dispatch._table import UpstreamState, UpstreamTable
from lagoonfold_node._dispatch._telling import teller

__all__ = [
    "CacheFreer",
    "DispatchService",
    "Dispatcher",
    "HasDispatch",
    "Placement",
    "PlacementRequest",
    "PoisonNotices",
    "Retries",
    "ServiceUsage",
    "UpstreamFeeds",
    "UpstreamState",
    "UpstreamTable",
    "teller",
]
