"""HTTP and platform adapters shared by the daemons, the command line and the test programs.

The adapters of the daemon's key-value service and the file of kept turns are imported on first use.
The gateway does not use them, and after a power failure callers wait until it has started: a tenth
of a second matters.
"""

import importlib
from typing import TYPE_CHECKING

from lagoonfold_io._http_client import HttpClient
from lagoonfold_io._http_connection import (
    BeforeRead,
    ResponseHead,
    ResponseStream,
    StreamError,
    read_at_once,
)
from lagoonfold_io._http_exchange import ClientGoneError, Exchange
from lagoonfold_io._http_faults import FaultError, RequestFault, plain_fault_response
from lagoonfold_io._http_messages import (
    Headers,
    HttpError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    SendStatus,
    find_header,
)
from lagoonfold_io._http_server import HttpServer
from lagoonfold_io._memory_budget import SMALL_BYTES, MemoryBudget, MemoryClaim
from lagoonfold_io._memory_gate import ANSWER_EVICTED, MemoryGate
from lagoonfold_io._open_connections import WaitingConnections
from lagoonfold_io._signals import receive_signals
from lagoonfold_io._tcp import open_tcp_stream, set_tcp_timeout

if TYPE_CHECKING:
    from lagoonfold_io._call_rate import CallRateLimiter
    from lagoonfold_io._config_log import ConfigLog, ConfigLogState
    from lagoonfold_io._etcd_store import EtcdStore
    from lagoonfold_io._instance_list import HttpInstanceList
    from lagoonfold_io._turn_file import TurnFile, TurnFileError, WriteBatch

_MODULE_BY_LAZY_NAME = {
    "CallRateLimiter": "_call_rate",
    "ConfigLog": "_config_log",
    "ConfigLogState": "_config_log",
    "EtcdStore": "_etcd_store",
    "HttpInstanceList": "_instance_list",
    "TurnFile": "_turn_file",
    "TurnFileError": "_turn_file",
    "WriteBatch": "_turn_file",
}

__all__ = [
    "ANSWER_EVICTED",
    "BeforeRead",
    "CallRateLimiter",
    "ClientGoneError",
    "ConfigLog",
    "ConfigLogState",
    "EtcdStore",
    "Exchange",
    "FaultError",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpInstanceList",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "MemoryBudget",
    "MemoryClaim",
    "MemoryGate",
    "RequestFault",
    "ResponseHead",
    "ResponseStream",
    "SMALL_BYTES",
    "SendStatus",
    "StreamError",
    "TurnFile",
    "TurnFileError",
    "WaitingConnections",
    "WriteBatch",
    "find_header",
    "open_tcp_stream",
    "plain_fault_response",
    "receive_signals",
    "set_tcp_timeout",
    "read_at_once",
]


def __getattr__(name: str) -> object:
    """Import what not every process uses."""
    module = _MODULE_BY_LAZY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
