"""Sends a streamed chat completion and times its tokens."""

import json

import trio
from result import Err

from bench._open_loop import Samples, record_s
from lagoonfold_io import HttpClient, HttpRequest, StreamError

_CONTENT_MARKER = b'"content":'
_DONE_MARKER = b"data: [DONE]"


def chat_request(text: str, tokens: int, headers: tuple[tuple[str, str], ...]) -> HttpRequest:
    """Return a request for a streamed answer of `tokens` tokens."""
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
    """Send a request and record its latencies from its scheduled start."""
    async with client.stream(address, request) as response_result:
        if isinstance(response_result, Err):
            samples.record_failure("no-response")
            return
        response = response_result.ok_value
        if response.head.status != 200:
            samples.record_failure(str(response.head.status))
            return
        try:
            is_complete = await _time_chunks(response, due_s, samples)
        except StreamError:
            samples.record_failure("broken")
            return
    if is_complete:
        record_s(samples.total_latency, trio.current_time() - due_s)
    else:
        samples.record_failure("cut")


async def _time_chunks(response, due_s: float, samples: Samples) -> bool:
    """Record the times of the first token and between tokens; return whether the stream ended."""
    last_s = 0.0
    tail = b""
    async for chunk in response.chunks():
        tokens = chunk.count(_CONTENT_MARKER)
        tail = (tail + chunk)[-64:]
        if not tokens:
            continue
        now = trio.current_time()
        if not last_s:
            record_s(samples.first_token_latency, now - due_s)
        else:
            record_s(samples.token_gap, now - last_s)
        last_s = now
        samples.tokens += tokens
    return _DONE_MARKER in tail
