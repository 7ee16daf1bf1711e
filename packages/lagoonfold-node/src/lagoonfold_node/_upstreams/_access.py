"""What a running call needs to reach upstreams, in one place."""

from dataclasses import dataclass

from lagoonfold_node._dispatch import Dispatcher
from lagoonfold_node._upstreams._engine import EngineClient
from lagoonfold_node._upstreams._service import ServiceClient


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamClients:
    """The adapters, and the dispatcher that places calls on upstreams."""

    engine: EngineClient
    services: ServiceClient
    dispatcher: Dispatcher
