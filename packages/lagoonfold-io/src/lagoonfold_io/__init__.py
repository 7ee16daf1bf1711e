"""HTTP and platform adapters shared by the daemon, the command line and the test programs."""

from lagoonfold_io._http_client import HttpClient, ResponseHead, ResponseStream, StreamError
from lagoonfold_io._http_messages import (
    Headers,
    HttpError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    Sent,
)
from lagoonfold_io._http_server import BorderFault, ClientGoneError, Exchange, HttpServer

__all__ = [
    "BorderFault",
    "ClientGoneError",
    "Exchange",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "ResponseHead",
    "ResponseStream",
    "Sent",
    "StreamError",
]
