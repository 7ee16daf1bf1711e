"""HTTP messages and limits shared by the client and the server."""

from dataclasses import dataclass
from enum import Enum

Headers = tuple[tuple[str, str], ...]

READ_SIZE_BYTES = 65_536


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, whose name is given in lower case, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Limits of a server: sizes in bytes, times in seconds."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8_388_608
    max_connections: int = 2_000
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A whole request; header names are in lower case.

    `target` holds path and query as they were received, for a forwarder to send them unchanged.
    `lead_parts` are sent as the body's beginning, before `body`, without being joined to it:
    requests may share them.
    """

    method: str
    path: str
    query: str = ""
    target: str = ""
    headers: Headers = ()
    body: bytes = b""
    lead_parts: tuple[bytes, ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first value of the header, whose name is in lower case, or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A whole response; header names are in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of the header, whose name is in lower case, or None."""
        return find_header(self.headers, name)


class SendStatus(Enum):
    """Whether any byte of a failed request may have reached the server."""

    NOT_SENT = "nothing"
    MAYBE_SENT = "maybe"


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpError:
    """Why a request got no complete response.

    `is_timeout` is set if the connection did not break but the time ran out, and
    `is_pool_exhausted` if the client's limit of connections to the address was reached.
    """

    detail: str
    sent: SendStatus
    is_timeout: bool = False
    is_pool_exhausted: bool = False


def encode_headers(headers: Headers) -> list[tuple[str, bytes]]:
    """Return encoded headers; latin-1 keeps every byte of a value as it was received."""
    return [(name, value.encode("latin-1")) for name, value in headers]
