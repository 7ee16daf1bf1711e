"""Decoding and validation of callers' request bodies and headers.

body = decode_body(request.body, ChatBody)      # Result[ChatBody, Refusal]
"""

import re
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import UNSET, Meta, UnsetType
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold_io import HttpRequest

MAX_NAME_LENGTH = 128
MAX_TURN = 1_000_000
MAX_TIMEOUT_S = 3_600.0
DEFAULT_TIMEOUT_S = 300.0
MAX_MESSAGES = 1_000

_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, le=10**12)]
Json = msgspec.Raw | UnsetType
T = TypeVar("T")


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A chat message; `content` and `tool_calls` are passed on unchanged."""

    role: Name
    content: Any = None
    name: str | None = None
    tool_call_id: str | None = None
    tool_calls: list[Any] | None = None


class ChatBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A chat completion request; this turn adds `messages` to the program's history."""

    model: Name
    messages: Annotated[list[Message], Meta(min_length=1, max_length=MAX_MESSAGES)]
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    n: Annotated[int, Meta(ge=1, le=1)] = 1
    temperature: Json = UNSET
    top_p: Json = UNSET
    stop: Json = UNSET
    seed: Json = UNSET
    tools: Json = UNSET
    tool_choice: Json = UNSET
    response_format: Json = UNSET
    presence_penalty: Json = UNSET
    frequency_penalty: Json = UNSET


class BudgetBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The limits requested for a program; each is capped by the profile's."""

    tokens: Count | None = None
    calls: Count | None = None
    cost_micros: Count | None = None
    wall_s: Annotated[float, Meta(gt=0, le=10**9)] | None = None


class ProgramBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request for a new program, or for a child program of `parent`."""

    profile: Name
    parent: Name | None = None
    budget: BudgetBody | None = None


def decode_body(body: bytes, body_type: type[T]) -> Result[T, Refusal]:
    """Decode a JSON body; the refusal names the invalid field."""
    try:
        return Ok(msgspec.json.decode(body, type=body_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return malformed_refusal(f"body: {error}")


def malformed_refusal(detail: str) -> Err[Refusal]:
    """Return the refusal of a malformed request."""
    return Err(Refusal(kind=ErrorKind.MALFORMED, detail=detail))


def read_identifier(request: HttpRequest, name: str, default: str = "") -> Result[str, Refusal]:
    """Return the identifier in a header, or `default` if absent; `name` is in lower case."""
    value = request.header(name)
    if value is None:
        return Ok(default) if default else malformed_refusal(f"header {name} is required")
    if not _IDENTIFIER.fullmatch(value):
        return malformed_refusal(f"header {name}: at most 128 letters, digits, '.', '_', ':', '-'")
    return Ok(value)


def read_turn(request: HttpRequest) -> Result[int, Refusal]:
    """Return the number of the turn, which starts at 1."""
    value = request.header("lagoonfold-turn") or ""
    if not value.isascii() or not value.isdigit() or not 1 <= int(value[:9]) <= MAX_TURN:
        return malformed_refusal(f"header lagoonfold-turn: must be from 1 to {MAX_TURN}")
    return Ok(int(value[:9]))


def read_timeout_s(request: HttpRequest) -> Result[float, Refusal]:
    """Return the caller's time limit for the call in seconds."""
    value = request.header("lagoonfold-timeout")
    if value is None:
        return Ok(DEFAULT_TIMEOUT_S)
    try:
        timeout_s = float(value)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        return malformed_refusal(
            f"header lagoonfold-timeout: must be over 0 and at most {MAX_TIMEOUT_S:g} seconds"
        )
    return Ok(timeout_s)
