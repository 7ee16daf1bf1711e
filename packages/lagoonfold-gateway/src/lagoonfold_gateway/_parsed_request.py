"""Parses the headers of forwarded requests and filters the headers to pass on."""

from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold import parse_count
from lagoonfold.placement import PromptPart
from lagoonfold_gateway._dialect import HeaderNames
from lagoonfold_io import Headers, HttpRequest

MILLISECONDS_PER_S = 1_000
MAX_CALLER_TIMEOUT_S = 3_600.0  # an hour; keeps a header from holding a task forever
MAX_AFFINITY_CHARS = 256  # of a key that is sent to other instances and remembered

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramTurn:
    """The headers of a program's turn; token counts are 0 if the request does not name them."""

    program: str
    session_id: str
    time_left_s: float | None
    budget_tokens: int
    max_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedRequest:
    """A request and its parsed headers.

    `caller_timeout_s` is how long the caller waits, `expected_tokens` its estimate of the tokens
    that the answer has. `last_event` is the last event that the caller has of a stream,
    `resumed_request` the id of the request that brought the first one. `previous_turn` is the turn
    that this one continues from. Requests of the same `affinity` concern the same object.
    `prompt_tokens` is the length of the prompt and `output_tokens` the most that may be generated;
    they are 0 if the request does not tell them.
    """

    request: HttpRequest
    request_id: str
    host: str
    api_key: str | None
    caller_timeout_s: float | None
    turn: ProgramTurn | None
    parts: tuple[PromptPart, ...]
    last_event: int | None
    expected_tokens: int | None = None
    resumed_request: str | None = None
    previous_turn: str | None = None
    affinity: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0


def parse_request(request: HttpRequest, names: HeaderNames) -> Result[ParsedRequest, str]:
    """Parse the headers of a request; an error names the header that is not valid."""
    value_by_name = dict(request.headers)
    prompt_tokens, output_tokens = _token_counts(value_by_name, names) or (0, 0)
    try:
        deadline_ms = _number(value_by_name, names.deadline_ms)
        parsed = ParsedRequest(
            request=request,
            request_id=value_by_name.get(names.request_id, ""),
            host=value_by_name.get("host", ""),
            api_key=value_by_name.get(names.api_key),
            caller_timeout_s=None if deadline_ms is None else _seconds(deadline_ms),
            turn=_read_turn(value_by_name, names),
            parts=_read_parts(value_by_name.get(names.prompt_parts, ""), names.prompt_parts),
            last_event=_integer(value_by_name, names.last_event),
            expected_tokens=_integer(value_by_name, names.expected_tokens),
            resumed_request=value_by_name.get(names.resumed_request),
            previous_turn=value_by_name.get(names.previous_turn),
            affinity=_read_affinity(value_by_name.get(names.affinity)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
    except _HeaderError as error:
        return Err(str(error))
    return Ok(parsed)


class _HeaderError(Exception):
    pass


def _read_turn(value_by_name: dict[str, str], names: HeaderNames) -> ProgramTurn | None:
    program = value_by_name.get(names.program)
    if program is None:
        return None
    left_ms = _number(value_by_name, names.program_deadline_ms)
    counts = _token_counts(value_by_name, names)
    if counts is None:
        raise _HeaderError(f"header {names.token_counts!r} does not hold two counts")
    return ProgramTurn(
        program=program,
        session_id=value_by_name.get(names.session_id, ""),
        time_left_s=None if left_ms is None else left_ms / MILLISECONDS_PER_S,
        budget_tokens=_integer(value_by_name, names.budget_tokens) or 0,
        max_tokens=counts[1],
    )


def _token_counts(value_by_name: dict[str, str], names: HeaderNames) -> tuple[int, int] | None:
    """Return the tokens of the prompt and the most to generate, None if they are not two counts."""
    texts = value_by_name.get(names.token_counts, "0,0").split(",")
    counts = [count for text in texts if (count := parse_count(text.strip())) is not None]
    return (counts[0], counts[1]) if len(counts) == len(texts) == 2 else None


def _read_parts(text: str, name: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in filter(None, (entry.strip() for entry in text.split(","))):
        part_id, _, tokens = entry.rpartition(":")
        count = parse_count(tokens)
        if not part_id or count is None:
            raise _HeaderError(f"header {name!r} has {entry!r} in place of id:tokens")
        parts.append(PromptPart(part_id, count))
    return tuple(parts)


def _read_affinity(text: str | None) -> str | None:
    """Return the key of an object; one that is too long to be remembered is ignored."""
    return text if text and len(text) <= MAX_AFFINITY_CHARS else None


def _number(value_by_name: dict[str, str], name: str) -> float | None:
    text = value_by_name.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        raise _HeaderError(f"header {name!r} is not a number: {text!r}") from None
    if not 0 <= number < float("inf"):
        raise _HeaderError(f"header {name!r} is out of range: {text!r}")
    return number


def _integer(value_by_name: dict[str, str], name: str) -> int | None:
    text = value_by_name.get(name)
    if text is None:
        return None
    count = parse_count(text)
    if count is None:
        raise _HeaderError(f"header {name!r} is not a count: {text!r}")
    return count


def _seconds(milliseconds: float) -> float:
    return min(MAX_CALLER_TIMEOUT_S, milliseconds / MILLISECONDS_PER_S)


def headers_to_forward(parsed: ParsedRequest, names: HeaderNames) -> Headers:
    """Return the caller's headers without hop-by-hop headers and those set by this system."""
    dropped = HOP_BY_HOP | names.reserved | _named_by_connection(parsed.request.headers)
    dropped |= {
        names.api_key,
        names.account,
        names.deadline_ms,
        names.expected_replica,
        names.urgency,
    }
    dropped -= {"host"}
    return tuple((name, value) for name, value in parsed.request.headers if name not in dropped)


def without_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers of a request that another instance has sent for one of its callers."""
    dropped = HOP_BY_HOP | _named_by_connection(headers)
    return tuple((name, value) for name, value in headers if name not in dropped)


def headers_to_return(headers: Headers) -> Headers:
    """Return an upstream's headers without hop-by-hop headers."""
    dropped = HOP_BY_HOP | _named_by_connection(headers)
    return tuple((name, value) for name, value in headers if name not in dropped)


def _named_by_connection(headers: Headers) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    )
