"""What the node sends to engines, tools and services, and what it knows of them."""

from lagoonfold_node._upstreams._access import UpstreamAccess
from lagoonfold_node._upstreams._completion import (
    DONE_EVENT,
    Completion,
    StreamError,
    Usage,
    completion_events,
    parse_events,
    whole_completion,
)
from lagoonfold_node._upstreams._directory import UpstreamDirectory
from lagoonfold_node._upstreams._engine import (
    SILENCE_TIMEOUT_S,
    EngineCall,
    EngineChunk,
    EngineStream,
    HttpEngine,
    UpstreamFailure,
    moved_failure,
)
from lagoonfold_node._upstreams._headers import UpstreamIdentity, upstream_headers
from lagoonfold_node._upstreams._service import HttpService, ServiceAnswer, ServiceCall

__all__ = [
    "DONE_EVENT",
    "SILENCE_TIMEOUT_S",
    "Completion",
    "EngineCall",
    "EngineChunk",
    "EngineStream",
    "HttpEngine",
    "HttpService",
    "ServiceAnswer",
    "ServiceCall",
    "StreamError",
    "UpstreamAccess",
    "UpstreamDirectory",
    "UpstreamFailure",
    "UpstreamIdentity",
    "Usage",
    "completion_events",
    "moved_failure",
    "parse_events",
    "upstream_headers",
    "whole_completion",
]
