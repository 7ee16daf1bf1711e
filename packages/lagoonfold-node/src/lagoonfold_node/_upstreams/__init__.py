"""What the node sends to engines, tools and services, and what it knows of them."""

from lagoonfold_node._upstreams._completion import Completion, StreamError, parse_events
from lagoonfold_node._upstreams._directory import UpstreamDirectory
from lagoonfold_node._upstreams._engine import (
    EngineCall,
    EngineChunk,
    EngineStream,
    HttpEngine,
    UpstreamFailure,
)
from lagoonfold_node._upstreams._headers import UpstreamIdentity, upstream_headers
from lagoonfold_node._upstreams._service import HttpService, ServiceAnswer, ServiceCall

__all__ = [
    "Completion",
    "EngineCall",
    "EngineChunk",
    "EngineStream",
    "HttpEngine",
    "HttpService",
    "ServiceAnswer",
    "ServiceCall",
    "StreamError",
    "UpstreamDirectory",
    "UpstreamFailure",
    "UpstreamIdentity",
    "parse_events",
    "upstream_headers",
]
