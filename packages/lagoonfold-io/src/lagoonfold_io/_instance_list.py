"""The instance list port over the platform's `GET /v1/instances`."""

import msgspec
from result import Err, Ok, Result

from lagoonfold import ListedInstance, StoreError, StoreErrorKind
from lagoonfold_io._http_client import HttpClient
from lagoonfold_io._http_messages import HttpRequest

DEFAULT_READ_TIMEOUT_S = 2.0
_STATUS_OK = 200


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

    async def read(self) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Return all listed instances."""
        request = HttpRequest(method="GET", path="/v1/instances")
        answer = await self._client.fetch(self._address, request, timeout_s=self._timeout_s)
        if isinstance(answer, Err):
            return _unavailable(answer.err_value.detail)
        if answer.ok_value.status != _STATUS_OK:
            return _unavailable(f"status {answer.ok_value.status}")
        try:
            document = msgspec.json.decode(answer.ok_value.body, type=_Document)
        except msgspec.DecodeError as error:
            return _unavailable(f"unreadable list: {error}")
        return Ok(document.instances)


def _unavailable(detail: str) -> Err[StoreError]:
    return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=detail))
