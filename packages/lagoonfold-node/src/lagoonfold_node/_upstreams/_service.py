"""The client of tools and plain services, whose answers are not streamed.

A non-idempotent call is sent on a new connection, since its outcome would be unknown if a reused
connection turned out to be broken.
"""

from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from result import Err, Ok, Result

from lagoonfold import Ran
from lagoonfold_io import BeforeRead, Headers, HttpClient, HttpRequest, read_at_once
from lagoonfold_node._upstreams._engine import UpstreamFailure, failure_for_error
from lagoonfold_node._upstreams._headers import RequestIdentity, upstream_headers

DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A request to a tool or plain service; `headers` are the caller's, before the allow-list."""

    address: str
    identity: RequestIdentity
    method: str
    path: str
    query: str = ""
    headers: Headers = ()
    body: bytes = b""
    is_idempotent: bool
    timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceAnswer:
    """A complete answer of a tool or plain service."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Sends calls to tools and plain services."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(
        self, call: ServiceCall, before_read: BeforeRead = read_at_once
    ) -> Result[ServiceAnswer, UpstreamFailure]:
        """Send a call and return its answer; a 5xx answer is a failure whose call may have run.

        `before_read` is awaited before each read of the answer with the bytes read so far.
        """
        request = HttpRequest(
            method=call.method,
            path=call.path,
            query=call.query,
            headers=upstream_headers(call.identity, call.headers),
            body=call.body,
        )
        fetched = await self._client.fetch(
            call.address,
            request,
            timeout_s=call.timeout_s,
            new_connection=not call.is_idempotent,
            before_read=before_read,
        )
        if isinstance(fetched, Err):
            probe = partial(self._client.can_connect, call.address)
            return Err(await failure_for_error(fetched.err_value, probe))
        response = fetched.ok_value
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            detail = f"status {response.status}"
            failure = UpstreamFailure(detail=detail, ran=Ran.UNKNOWN, status=response.status)
            return Err(failure)
        content_type = response.header("content-type") or DEFAULT_CONTENT_TYPE
        return Ok(
            ServiceAnswer(status=response.status, content_type=content_type, body=response.body)
        )
