"""HTTP and platform adapters shared by the daemon, the command line and the test programs."""

from lagoonfold_io._call_rate import CallRate
from lagoonfold_io._config_log import ConfigLog, LogState
from lagoonfold_io._dialing import end_silence, open_stream
from lagoonfold_io._etcd_store import EtcdStore
from lagoonfold_io._http_client import HttpClient
from lagoonfold_io._http_connection import ResponseHead, ResponseStream, StreamError
from lagoonfold_io._http_exchange import ClientGoneError, Exchange
from lagoonfold_io._http_faults import BorderFault
from lagoonfold_io._http_messages import (
    Headers,
    HttpError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    Sent,
    find_header,
)
from lagoonfold_io._http_server import HttpServer
from lagoonfold_io._instance_list import HttpInstanceList

__all__ = [
    "BorderFault",
    "CallRate",
    "ClientGoneError",
    "ConfigLog",
    "EtcdStore",
    "Exchange",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpInstanceList",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "LogState",
    "ResponseHead",
    "ResponseStream",
    "Sent",
    "StreamError",
    "end_silence",
    "find_header",
    "open_stream",
]
