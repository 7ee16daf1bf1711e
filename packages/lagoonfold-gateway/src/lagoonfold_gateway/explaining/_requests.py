"""The request that an operator wants explained, validated as it arrives."""

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

MAX_TOKENS = 10**9
MAX_DEADLINE_MS = 3_600_000  # an hour, as for callers

Name = Annotated[str, Meta(min_length=1, max_length=256, description="1 to 256 characters")]
Path = Annotated[str, Meta(pattern="^/", max_length=4_096, description="a path from /")]
Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS, description="a count")]
DeadlineMs = Annotated[float, Meta(gt=0, le=MAX_DEADLINE_MS, description="milliseconds above 0")]


class PartInput(msgspec.Struct, frozen=True, kw_only=True):
    """A part of the prompt: its id and its length in tokens."""

    id: Name
    tokens: Tokens


class ExplainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its caller would send it; the fields stand for the headers of a real one.

    `request_id` decides between the pools for a request without a session, so that instances which
    are asked with the same id agree. Without an `account`, neither key nor rate are looked at.
    Unknown fields are ignored, as a later release may send them.
    """

    host: Name
    path: Path
    request_id: Name
    account: Name | None = None
    parts: Annotated[tuple[PartInput, ...], Meta(max_length=256)] = ()
    prompt_tokens: Tokens = 0
    output_tokens: Tokens = 0
    deadline_ms: DeadlineMs | None = None


def parse_explain_request(body: bytes) -> Result[ExplainRequest, list[str]]:
    """Return the request of a body, or all that is wrong with it.

    parse_explain_request(b'{"host": "a.example"}')  # Err(["path: is missing", ...])
    """
    try:
        values = msgspec.json.decode(body, type=dict[str, object])
    except msgspec.DecodeError as error:
        return Err([f"body: {error}"])
    value_by_name: dict[str, object] = {}
    errors: list[str] = []
    for field in msgspec.structs.fields(ExplainRequest):
        if field.name not in values:
            if field.required:
                errors.append(f"{field.name}: is missing")
            continue
        try:
            value_by_name[field.name] = msgspec.convert(values[field.name], field.type)
        except msgspec.ValidationError as error:
            errors.append(f"{field.name}: {error}")
    return Err(errors) if errors else Ok(ExplainRequest(**value_by_name))
