"""One streamed chat completion, timed token by token."""

import json

import trio
from result import Err

from bench._open_loop import Samples, record_s
from lagoonfold_io import HttpClient, HttpRequest, StreamError

_CONTENT_MARK = b'"content":'
_DONE_MARK = b"data: [DONE]"


def chat_request(text: str, tokens: int, headers: tuple[tuple[str, str], ...]) -> HttpRequest:
    """Return a request for a streamed answer of a number of tokens."""
    body = {
        "model": "small",
        "messages": [{"role": "user", "content": text}],
        "stream": True,
        "max_tokens": tokens,
    }
    fields = (("content-type", "application/json"), *headers)
    data = json.dumps(body).encode()
    return HttpRequest(method="POST", path="/v1/chat/completions", headers=fields, body=data)


async def time_stream(
    client: HttpClient, address: str, request: HttpRequest, due_s: float, samples: Samples
) -> None:
    """Send a request and record its times, counted from when it was due."""
    async with client.stream(address, request) as opened:
        if isinstance(opened, Err):
            samples.note_failure("no-response")
            return
        response = opened.ok_value
        if response.head.status != 200:
            samples.note_failure(str(response.head.status))
            return
        try:
            whole = await _time_chunks(response, due_s, samples)
        except StreamError:
            samples.note_failure("broken")
            return
    if whole:
        record_s(samples.whole, trio.current_time() - due_s)
    else:
        samples.note_failure("cut")


async def _time_chunks(response, due_s: float, samples: Samples) -> bool:
    """Record the first token and the gaps; return whether the stream reached its end."""
    last_s = 0.0
    tail = b""
    async for chunk in response.chunks():
        tokens = chunk.count(_CONTENT_MARK)
        tail = (tail + chunk)[-64:]
        if not tokens:
            continue
        now = trio.current_time()
        if not last_s:
            record_s(samples.first, now - due_s)
        else:
            record_s(samples.gap, now - last_s)
        last_s = now
        samples.tokens += tokens
    return _DONE_MARK in tail
