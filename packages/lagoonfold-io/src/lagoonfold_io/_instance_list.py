"""The instance list port over the platform's `GET /v1/instances`.

The read is conditional: a list that has not changed since the last read costs no body, where the
platform gives entity tags.
"""

import msgspec
from result import Err, Ok, Result

from lagoonfold import ListedInstance, StoreError, StoreErrorKind
from lagoonfold_io._http_client import HttpClient
from lagoonfold_io._http_messages import HttpRequest, HttpResponse

DEFAULT_READ_TIMEOUT_S = 2.0
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
        """Return all listed instances."""
        condition = () if self._entity_tag is None else (("if-none-match", self._entity_tag),)
        request = HttpRequest(method="GET", path="/v1/instances", headers=condition)
        answer = await self._client.fetch(self._address, request, timeout_s=self._timeout_s)
        if isinstance(answer, Err):
            return _unavailable(answer.err_value.detail)
        response = answer.ok_value
        if response.status == _STATUS_NOT_MODIFIED and self._entity_tag is not None:
            return Ok(self._last_read)
        if response.status != _STATUS_OK:
            return _unavailable(f"status {response.status}")
        return self._take(response)

    def _take(self, response: HttpResponse) -> Result[tuple[ListedInstance, ...], StoreError]:
        try:
            document = msgspec.json.decode(response.body, type=_Document)
        except msgspec.DecodeError as error:
            return _unavailable(f"unreadable list: {error}")
        self._last_read = document.instances
        self._entity_tag = response.header("etag")
        return Ok(document.instances)


def _unavailable(detail: str) -> Err[StoreError]:
    return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=detail))
