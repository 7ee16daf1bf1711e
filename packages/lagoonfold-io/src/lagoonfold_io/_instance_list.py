"""The instance list port over the platform's `GET /v1/instances`.

If the platform sends entity tags, an unchanged list is not transferred again. A changed list is
transferred with gzip compression if the platform supports it.
"""

import msgspec
from result import Err, Ok, Result

from lagoonfold import ListedInstance, StoreError, StoreErrorKind, decode_json, decompress
from lagoonfold_io._http_client import HttpClient
from lagoonfold_io._http_messages import HttpRequest, HttpResponse

DEFAULT_READ_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 16_000_000
_CONTENT_CODING = "gzip"
_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304


class _Document(msgspec.Struct, kw_only=True):
    instances: tuple[ListedInstance, ...] = ()


class HttpInstanceList:
    """Reads the platform's list of live and leaving instances."""

    def __init__(
        self, client: HttpClient, address: str, *, timeout_s: float = DEFAULT_READ_TIMEOUT_S
    ) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._entity_tag: str | None = None
        self._last_read: tuple[ListedInstance, ...] = ()

    async def read(self) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Return all listed instances, or `UNAVAILABLE` if the list cannot be read."""
        condition = () if self._entity_tag is None else (("if-none-match", self._entity_tag),)
        headers = (("accept-encoding", _CONTENT_CODING), *condition)
        request = HttpRequest(method="GET", path="/v1/instances", headers=headers)
        answer = await self._client.fetch(self._address, request, timeout_s=self._timeout_s)
        if isinstance(answer, Err):
            return _unavailable(answer.err_value.detail)
        response = answer.ok_value
        if response.status == _STATUS_NOT_MODIFIED and self._entity_tag is not None:
            return Ok(self._last_read)
        if response.status != _STATUS_OK:
            return _unavailable(f"status {response.status}")
        return self._decode_list(response)

    def _decode_list(
        self, response: HttpResponse
    ) -> Result[tuple[ListedInstance, ...], StoreError]:
        body = _decompress_body(response)
        if isinstance(body, Err):
            return _unavailable(body.err_value)
        decoded = decode_json(body.ok_value, _Document)
        if isinstance(decoded, Err):
            return _unavailable(f"instance list cannot be decoded: {decoded.err_value}")
        document = decoded.ok_value
        self._last_read = document.instances
        self._entity_tag = response.header("etag")
        return Ok(document.instances)


def _decompress_body(response: HttpResponse) -> Result[bytes, str]:
    if response.header("content-encoding") != _CONTENT_CODING:
        return Ok(response.body)
    return decompress(response.body, max_bytes=MAX_LIST_BYTES)


def _unavailable(detail: str) -> Err[StoreError]:
    return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=detail))
