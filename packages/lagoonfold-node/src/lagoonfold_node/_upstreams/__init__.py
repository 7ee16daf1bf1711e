"""Clients of engines, tools and services, and the directory of listed upstreams."""

from lagoonfold_node._upstreams._completion import (
    DONE_EVENT,
    Completion,
    StreamError,
    Usage,
    encode_completion,
    encode_completion_events,
    parse_events,
)
from lagoonfold_node._upstreams._directory import UpstreamDirectory
from lagoonfold_node._upstreams._engine import (
    SILENCE_TIMEOUT_S,
    EngineCall,
    EngineChunk,
    EngineClient,
    EngineStream,
    UpstreamFailure,
    moved_failure,
)
from lagoonfold_node._upstreams._headers import RequestIdentity, upstream_headers
from lagoonfold_node._upstreams._service import ServiceAnswer, ServiceCall, ServiceClient
from lagoonfold_node._upstreams._upstream_clients import UpstreamClients

__all__ = [
    "DONE_EVENT",
    "SILENCE_TIMEOUT_S",
    "Completion",
    "EngineCall",
    "EngineChunk",
    "EngineStream",
    "EngineClient",
    "ServiceClient",
    "ServiceAnswer",
    "ServiceCall",
    "StreamError",
    "UpstreamClients",
    "UpstreamDirectory",
    "UpstreamFailure",
    "RequestIdentity",
    "Usage",
    "encode_completion_events",
    "moved_failure",
    "parse_events",
    "upstream_headers",
    "encode_completion",
]
