"""The registry of the caller API's endpoints, by method and path.

@endpoint("POST", "/v1/programs/{program_id}/end")
async def end(caller_api: CallerApi, call: CallerRequest) -> Refusal | None: ...
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal

ANY_METHOD = "*"
REST = "{rest}"

Endpoint = Callable[[Any, Any], Awaitable[Refusal | None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEntry:
    """An endpoint and the segments of its path.

    `is_rate_limited` means that requests count against their account's rate, `may_be_open` that a
    request needs no key if its route is open.
    """

    method: str
    segments: tuple[str, ...]
    perform: Endpoint
    is_rate_limited: bool
    may_be_open: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointMatch:
    """An endpoint and the values of its path parameters."""

    entry: EndpointEntry
    values_by_name: dict[str, str]


ENTRIES: list[EndpointEntry] = []


def endpoint(
    method: str, path: str, *, is_rate_limited: bool = False, may_be_open: bool = False
) -> Callable[[Endpoint], Endpoint]:
    """Register the decorated function; `{name}` matches one segment, `{rest}` all that follow."""

    def register(perform: Endpoint) -> Endpoint:
        entry = EndpointEntry(
            method=method,
            segments=_segments(path),
            perform=perform,
            is_rate_limited=is_rate_limited,
            may_be_open=may_be_open,
        )
        ENTRIES.append(entry)
        return perform

    return register


def find_endpoint(method: str, path: str) -> Result[EndpointMatch, Refusal]:
    """Return the endpoint of a request, or a refusal if none matches."""
    segments = _segments(path)
    path_matched = False
    for entry in ENTRIES:
        values = _match(entry.segments, segments)
        if values is None:
            continue
        if entry.method in (method, ANY_METHOD):
            return Ok(EndpointMatch(entry=entry, values_by_name=values))
        path_matched = True
    if path_matched:
        detail = f"{method} is not allowed on this path"
        return Err(Refusal(kind=ErrorKind.METHOD_NOT_ALLOWED, detail=detail))
    return Err(Refusal(kind=ErrorKind.NOT_FOUND, detail="no such path"))


def _segments(path: str) -> tuple[str, ...]:
    return tuple(path.strip("/").split("/"))


def _match(pattern: tuple[str, ...], segments: tuple[str, ...]) -> dict[str, str] | None:
    values: dict[str, str] = {}
    for index, part in enumerate(pattern):
        if part == REST:
            values["rest"] = "/".join(segments[index:])
            return values
        if index >= len(segments):
            return None
        if part.startswith("{"):
            values[part.strip("{}")] = segments[index]
        elif part != segments[index]:
            return None
    return values if len(segments) == len(pattern) else None
