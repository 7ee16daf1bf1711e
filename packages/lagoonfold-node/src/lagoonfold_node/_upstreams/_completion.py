"""Chat completions: reading an engine's event stream, and writing answers to callers.

Events are parsed once, for their text and usage; the bytes pass through unchanged.
"""

import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
DONE_DATA = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"


class StreamError(Exception):
    """An engine's stream that is no stream of completion chunks."""


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
    """The engine's count of tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: dict[str, Any] = {}

    def cached_tokens(self) -> int:
        """Return how many tokens of the prompt were in the engine's cache."""
        cached = self.prompt_tokens_details.get("cached_tokens", 0)
        return cached if isinstance(cached, int) else 0


class _Chunk(msgspec.Struct, kw_only=True):
    choices: list[_Choice] = []
    usage: Usage | None = None
    error: Any = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


@dataclass(slots=True, kw_only=True)
class Completion:
    """An answer as it grows: its text, tool calls, and at the end its usage.

    `tokens` counts the events with text, which is the offset that an engine resumes from.
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
        """Start after a text that another replica has generated."""
        self.texts.append(text)
        self.tokens += tokens

    def position(self) -> tuple[int, int]:
        """Return the place that `truncate` returns to."""
        return len(self.texts), self.tokens

    def truncate(self, position: tuple[int, int]) -> None:
        """Drop the text that came since a mark."""
        text_count, self.tokens = position
        del self.texts[text_count:]

    def add(self, event: bytes) -> None:
        """Take in the data of one event; raise `StreamError` if it is no chunk."""
        if event == DONE_DATA:
            self.is_done = True
            return
        try:
            chunk = _CHUNK_DECODER.decode(event)
        except msgspec.DecodeError as error:
            raise StreamError(f"event is no completion chunk: {error}") from error
        if chunk.error is not None:
            raise StreamError(f"engine error: {chunk.error}")
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
        known = self.tool_calls_by_index.setdefault(call.index, _ToolCall(index=call.index))
        known.id = call.id or known.id
        known.type = call.type or known.type
        if call.function is not None:
            known.function = known.function or _Function()
            known.function.name = call.function.name or known.function.name
            known.function.arguments += call.function.arguments

    def message(self) -> dict[str, Any]:
        """Return the assistant's message, as it goes into the history."""
        message: dict[str, Any] = {"role": "assistant", "content": self.text()}
        if self.tool_calls_by_index:
            calls = [self.tool_calls_by_index[index] for index in sorted(self.tool_calls_by_index)]
            message["tool_calls"] = [msgspec.to_builtins(call) for call in calls]
        return message


def parse_events(buffer: bytes) -> tuple[list[bytes], int]:
    """Return the data of the whole events in a buffer, and how many bytes they take up."""
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
    """Return an event's data; lines that are no data, such as comments, are left out."""
    if event.startswith(DATA_PREFIX) and b"\n" not in event:
        return event[len(DATA_PREFIX) :].strip()
    lines = [line for line in event.splitlines() if line.startswith(DATA_PREFIX)]
    return b"\n".join(line[len(DATA_PREFIX) :].strip() for line in lines)


def encode_completion(
    message: dict[str, Any], *, call_id: str, model: str, finish_reason: str, usage: Usage
) -> bytes:
    """Return the JSON of a whole completion, as callers get it without streaming."""
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
    """Return a whole completion as events, for a caller that streams a recorded answer.

    `skipped_text` is what the caller has already; raises `StreamError` if the answer does not
    begin with it.
    """
    whole = msgspec.json.decode(completion)
    choice = whole["choices"][0]
    message = choice["message"]
    text = message.get("content") or ""
    if not text.startswith(skipped_text):
        raise StreamError("the recorded answer differs from what was sent")
    delta = {"role": "assistant", "content": text[len(skipped_text) :]}
    if "tool_calls" in message:
        delta["tool_calls"] = message["tool_calls"]
    first = _event_of(whole, {"index": 0, "delta": delta, "finish_reason": None}, None)
    last_choice = {"index": 0, "delta": {}, "finish_reason": choice["finish_reason"]}
    return first + _event_of(whole, last_choice, whole["usage"]) + DONE_EVENT


def _event_of(whole: dict[str, Any], choice: dict[str, Any], usage: Any) -> bytes:
    chunk = {
        "id": whole["id"],
        "object": "chat.completion.chunk",
        "created": whole["created"],
        "model": whole["model"],
        "choices": [choice],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + EVENT_END
