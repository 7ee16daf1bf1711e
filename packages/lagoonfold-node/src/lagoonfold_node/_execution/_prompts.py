"""Build the prompt of a turn: the program's earlier model turns, then the turn's new messages."""

from typing import Any

import msgspec

from lagoonfold.records import CallOutcome, Turn
from lagoonfold_node._execution._render import COMPLETION_TYPE

PASSED_FIELDS = (
    "temperature",
    "top_p",
    "stop",
    "seed",
    "tools",
    "tool_choice",
    "response_format",
    "presence_penalty",
    "frequency_penalty",
)


class _Request(msgspec.Struct, kw_only=True):
    messages: list[msgspec.Raw]


class _Choice(msgspec.Struct, kw_only=True):
    message: msgspec.Raw


class _Completion(msgspec.Struct, kw_only=True):
    choices: list[_Choice]


_REQUEST_DECODER = msgspec.json.Decoder(_Request)
_COMPLETION_DECODER = msgspec.json.Decoder(_Completion)
_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


def history_messages(history: tuple[Turn, ...]) -> list[msgspec.Raw]:
    """Return the messages of all answered model turns, each as the original JSON."""
    messages: list[msgspec.Raw] = []
    for turn in history:
        if turn.content_type != COMPLETION_TYPE or turn.outcome is not CallOutcome.ANSWERED:
            continue
        messages.extend(_REQUEST_DECODER.decode(turn.body).messages)
        messages.append(_COMPLETION_DECODER.decode(turn.answer).choices[0].message)
    return messages


def engine_body(
    body: bytes, history: list[msgspec.Raw], *, model: str, max_tokens: int | None
) -> dict[str, Any]:
    """Return the body of the request to an engine: the whole prompt and the caller's parameters."""
    fields = _FIELDS_DECODER.decode(body)
    sent: dict[str, Any] = {
        "model": model,
        "messages": [*history, *_REQUEST_DECODER.decode(body).messages],
    }
    sent.update({name: fields[name] for name in PASSED_FIELDS if name in fields})
    if max_tokens is not None:
        sent["max_tokens"] = max_tokens
    return sent
