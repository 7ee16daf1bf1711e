"""The clients and the dispatcher that a running call uses to reach upstreams."""

from dataclasses import dataclass

from lagoonfold_node._dispatch import Dispatcher
from lagoonfold_node._upstreams._engine import EngineClient
from lagoonfold_node._upstreams._service import ServiceClient


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamClients:
    """The clients for each kind of upstream, and the dispatcher that places calls."""

    engine: EngineClient
    services: ServiceClient
    dispatcher: Dispatcher
