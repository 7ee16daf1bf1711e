"""The registry of what callers may ask for, by method and path.

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
    """An endpoint with its path's segments.

    `is_counted` says that a request counts against its account's rate; `may_be_open` that the
    endpoint decides itself whether a key is needed.
    """

    method: str
    segments: tuple[str, ...]
    perform: Endpoint
    is_counted: bool
    may_be_open: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Matched:
    """An endpoint, and the values of its path's names."""

    entry: EndpointEntry
    values_by_name: dict[str, str]


ENTRIES: list[EndpointEntry] = []


def endpoint(
    method: str, path: str, *, is_counted: bool = False, may_be_open: bool = False
) -> Callable[[Endpoint], Endpoint]:
    """Enter the decorated function; names in braces match one segment, `{rest}` all that follow."""

    def enter(perform: Endpoint) -> Endpoint:
        entry = EndpointEntry(
            method=method,
            segments=_segments(path),
            perform=perform,
            is_counted=is_counted,
            may_be_open=may_be_open,
        )
        ENTRIES.append(entry)
        return perform

    return enter


def find_endpoint(method: str, path: str) -> Result[Matched, Refusal]:
    """Return the endpoint of a request, or the refusal of one that nothing answers."""
    segments = _segments(path)
    is_known = False
    for entry in ENTRIES:
        values = _match(entry.segments, segments)
        if values is None:
            continue
        if entry.method in (method, ANY_METHOD):
            return Ok(Matched(entry=entry, values_by_name=values))
        is_known = True
    if is_known:
        detail = f"{method} is not allowed here"
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
