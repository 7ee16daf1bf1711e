"""Chat completions: parsing engines' event streams and encoding answers to callers.

Events are parsed once, for their text and usage; their bytes are passed on unchanged. An engine in
trouble may send text, or the head of another answer, in place of events. So each line must be a
field or a comment, and no event follows the last one.
"""

import re
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
DONE_DATA = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
COMMENT_PREFIX = b":"
MAX_QUOTED_BYTES = 40

_STANDARD_FIELD = re.compile(rb"(?:data|event|id|retry)?:|(?:data|event|id|retry)$")
_OTHER_FIELD = re.compile(rb"[a-z][a-z0-9_-]*:")


class StreamError(Exception):
    """An event stream does not consist of valid completion chunks."""


class _Function(msgspec.Struct, kw_only=True, omit_defaults=True):
    name: str | None = None
    arguments: str = ""


class _ToolCall(msgspec.Struct, kw_only=True, omit_defaults=True):
    index: int = 0
    id: str | None = None
    type: str | None = None
    function: _Function | None = None


class _Delta(msgspec.Struct, kw_only=True):
    content: str | None = None
    tool_calls: list[_ToolCall] | None = None


class _Choice(msgspec.Struct, kw_only=True):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """The token counts that an engine reports."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: dict[str, Any] = {}

    def cached_tokens(self) -> int:
        """Return the number of prompt tokens that the engine found in its cache."""
        cached = self.prompt_tokens_details.get("cached_tokens", 0)
        return cached if isinstance(cached, int) else 0


class _Chunk(msgspec.Struct, kw_only=True):
    choices: list[_Choice] = []
    usage: Usage | None = None
    error: Any = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


@dataclass(slots=True, kw_only=True)
class Completion:
    """An answer assembled from events: its text, tool calls and finally its usage.

    `tokens` counts the events with text; it is the offset from which an engine can resume.
    """

    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    tool_calls_by_index: dict[int, _ToolCall] = field(default_factory=dict)
    finish_reason: str | None = None
    usage: Usage | None = None
    is_done: bool = False

    def text(self) -> str:
        """Return the text so far."""
        return "".join(self.texts)

    def resume_after(self, text: str, tokens: int) -> None:
        """Continue after text that another replica has generated."""
        self.texts.append(text)
        self.tokens += tokens

    def position(self) -> tuple[int, int]:
        """Return the current end of the text, for `truncate`."""
        return len(self.texts), self.tokens

    def truncate(self, position: tuple[int, int]) -> None:
        """Drop the text that was added since `position` was returned."""
        part_count, self.tokens = position
        del self.texts[part_count:]

    def add_events(self, events: list[bytes]) -> None:
        """Add the data of events.

        If one is an error or not a chunk, raise `StreamError` and add none of them.
        """
        chunks = [_decode_chunk(event) for event in events if event != DONE_DATA]
        for chunk in chunks:
            self._add_chunk(chunk)
        self.is_done = self.is_done or len(chunks) < len(events)

    def _add_chunk(self, chunk: _Chunk) -> None:
        if chunk.usage is not None:
            self.usage = chunk.usage
        for choice in chunk.choices:
            self._add_choice(choice)

    def _add_choice(self, choice: _Choice) -> None:
        if choice.finish_reason is not None:
            self.finish_reason = choice.finish_reason
        if choice.delta.content:
            self.texts.append(choice.delta.content)
            self.tokens += 1
        for call in choice.delta.tool_calls or ():
            self._add_tool_call(call)

    def _add_tool_call(self, call: _ToolCall) -> None:
        merged = self.tool_calls_by_index.setdefault(call.index, _ToolCall(index=call.index))
        merged.id = call.id or merged.id
        merged.type = call.type or merged.type
        if call.function is not None:
            merged.function = merged.function or _Function()
            merged.function.name = call.function.name or merged.function.name
            merged.function.arguments += call.function.arguments

    def message(self) -> dict[str, Any]:
        """Return the assistant's message for the history."""
        message: dict[str, Any] = {"role": "assistant", "content": self.text()}
        if self.tool_calls_by_index:
            calls = [self.tool_calls_by_index[index] for index in sorted(self.tool_calls_by_index)]
            message["tool_calls"] = [msgspec.to_builtins(call) for call in calls]
        return message


def _decode_chunk(event: bytes) -> _Chunk:
    try:
        chunk = _CHUNK_DECODER.decode(event)
    except msgspec.DecodeError as error:
        raise StreamError(f"event is not a completion chunk: {error}") from error
    if chunk.error is not None:
        raise StreamError(f"engine error: {chunk.error}")
    return chunk


def parse_events(buffer: bytes) -> tuple[list[bytes], int]:
    """Return the data of the complete events in a buffer, and the size of these events in bytes."""
    end = buffer.rfind(EVENT_END)
    if end < 0:
        return [], 0
    events = []
    for event in buffer[:end].split(EVENT_END):
        data = _event_data(event)
        if data:
            events.append(data)
    return events, end + len(EVENT_END)


def _event_data(event: bytes) -> bytes:
    """Return an event's data; other lines, such as comments, are skipped."""
    if event.startswith(DATA_PREFIX) and b"\n" not in event:
        return event[len(DATA_PREFIX) :].strip()
    lines = [line for line in event.splitlines() if line.startswith(DATA_PREFIX)]
    return b"\n".join(line[len(DATA_PREFIX) :].strip() for line in lines)


def check_events(raw: bytes) -> None:
    """Raise `StreamError` if whole events have a line that is neither a field nor a comment.

    Fields that the standard does not name are accepted in an event with data only.
    """
    for event in raw.split(EVENT_END):
        if not event.startswith(DATA_PREFIX) or b"\n" in event:
            _check_lines(event)


def _check_lines(event: bytes) -> None:
    lines = event.splitlines()
    has_data = any(line.startswith(DATA_PREFIX) for line in lines)
    for line in lines:
        is_other_field = has_data and _OTHER_FIELD.match(line) is not None
        if line and not is_other_field and _STANDARD_FIELD.match(line) is None:
            raise StreamError(f"a line is no field of an event: {line[:MAX_QUOTED_BYTES]!r}")


def check_end(events: list[bytes], rest: bytes) -> None:
    """Raise `StreamError` if an event, or a rest that is no comment, follows the last event."""
    if DONE_DATA not in events:
        return
    rest = rest.strip()
    if events.index(DONE_DATA) < len(events) - 1:
        raise StreamError("an event follows the last one")
    if rest and not rest.startswith(COMMENT_PREFIX):
        raise StreamError(f"text follows the last event: {rest[:MAX_QUOTED_BYTES]!r}")


def encode_completion(
    message: dict[str, Any], *, call_id: str, model: str, finish_reason: str, usage: Usage
) -> bytes:
    """Return the JSON of a completion for a caller that does not stream."""
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return msgspec.json.encode(
        {
            "id": call_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": model,
            "choices": [choice],
            "usage": usage,
        }
    )


def encode_completion_events(completion: bytes, skipped_text: str = "") -> bytes:
    """Return a recorded completion as events for a caller that streams.

    `skipped_text` was delivered already and is left out; raises `StreamError` if the answer does
    not begin with it.
    """
    decoded = msgspec.json.decode(completion)
    choice = decoded["choices"][0]
    message = choice["message"]
    text = message.get("content") or ""
    if not text.startswith(skipped_text):
        raise StreamError("the recorded answer differs from the text sent before")
    delta = {"role": "assistant", "content": text[len(skipped_text) :]}
    if "tool_calls" in message:
        delta["tool_calls"] = message["tool_calls"]
    first = _encode_event(decoded, {"index": 0, "delta": delta, "finish_reason": None}, None)
    last_choice = {"index": 0, "delta": {}, "finish_reason": choice["finish_reason"]}
    return first + _encode_event(decoded, last_choice, decoded["usage"]) + DONE_EVENT


def _encode_event(decoded: dict[str, Any], choice: dict[str, Any], usage: Any) -> bytes:
    chunk = {
        "id": decoded["id"],
        "object": "chat.completion.chunk",
        "created": decoded["created"],
        "model": decoded["model"],
        "choices": [choice],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + EVENT_END
