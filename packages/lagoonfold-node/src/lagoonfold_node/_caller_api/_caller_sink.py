"""Sends an answer to a caller's connection.

An event stream is passed on as it arrives, and its parts are kept so that it can be resumed after
its owner is lost. Any other answer is buffered and sent whole, so that a call whose answer was
interrupted can be repeated.
"""

import msgspec

from lagoonfold import Refusal
from lagoonfold_io import Exchange, HttpResponse
from lagoonfold_node._execution import EVENT_STREAM_TYPE
from lagoonfold_node._problems import (
    REQUEST_ID_HEADER,
    problem_of,
    problem_response,
)
from lagoonfold_node._upstreams import Completion, parse_events


class CallerSink:
    """The sink for the answer to one caller's request."""

    def __init__(self, exchange: Exchange, request_id: str) -> None:
        self._exchange = exchange
        self._request_id = request_id
        self._status = 0
        self._content_type = ""
        self._parts: list[bytes] = []

    @property
    def has_streamed(self) -> bool:
        """Return whether the head of a stream has been sent."""
        return self._exchange.started

    def delivered(self) -> Completion:
        """Return the completion parsed from the events delivered so far."""
        completion = Completion()
        events, _ = parse_events(b"".join(self._parts))
        completion.add_events(events)
        return completion

    async def start(self, status: int, content_type: str) -> None:
        """Start the answer; send the head of a stream unless it is being resumed."""
        self._status = status
        self._content_type = content_type
        if content_type != EVENT_STREAM_TYPE:
            self._parts = []
        elif not self._exchange.started:
            headers = (
                ("content-type", content_type),
                ("cache-control", "no-store"),
                (REQUEST_ID_HEADER, self._request_id),
            )
            await self._exchange.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send or buffer a part, and wait while the connection is congested."""
        if not self.write(data):
            await self.drain()

    def write(self, data: bytes) -> bool:
        """Send or buffer a part without waiting; False if `drain` must precede the next one."""
        self._parts.append(data)
        return self._content_type != EVENT_STREAM_TYPE or self._exchange.write(data)

    async def drain(self) -> None:
        """Wait until the written parts have been sent."""
        await self._exchange.drain()

    async def finish(self) -> None:
        """End a stream, or send a buffered answer whole."""
        if self._content_type == EVENT_STREAM_TYPE:
            await self._exchange.finish()
            return
        headers = (("content-type", self._content_type), (REQUEST_ID_HEADER, self._request_id))
        body = b"".join(self._parts)
        await self._exchange.respond(HttpResponse(status=self._status, headers=headers, body=body))

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; in a started stream, as the last event before aborting the connection."""
        if not self._exchange.started:
            await self._exchange.respond(problem_response(refusal, self._request_id))
            return
        error = msgspec.json.encode({"error": problem_of(refusal, self._request_id)})
        await self._exchange.send(b"data: " + error + b"\n\n")
        self._exchange.abort()
