"""Answers of replicas in trouble: how streams break off, and what the next try gets.

Each function takes the run that answers and returns what the replica sends in place of the rest.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from standins.scripted_replica import Answer

EVENT_BYTES = 90
ERROR_TEXT = b"upstream connect error: no room\n\n"
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\n"
)
ENCODED = (("content-encoding", "gzip"),)


@dataclass(frozen=True, slots=True)
class Part:
    """The rest of a stream: the events after `after`, up to `total`."""

    after: int
    total: int
    version: str
    stream: str
    run_id: int

    def event(self, number: int) -> bytes:
        """Return one event, padded to the usual length."""
        head = f"id: {number}\ndata: {self.version} {self.stream} {self.run_id} "
        return (head + f"{number}/{self.total}").ljust(EVENT_BYTES).encode() + b"\n\n"

    def events(self, first: int = 1, last: int | None = None) -> bytes:
        """Return events; numbers count from the first that was asked for."""
        end = self.total if last is None else min(self.after + last, self.total)
        return b"".join(self.event(number) for number in range(self.after + first, end + 1))


Make = Callable[[Part], Answer]

# Not what a gateway could pass on as a part of a numbered stream.
HEADS: dict[str, Make] = {
    "text/plain": lambda part: Answer(body=ERROR_TEXT, media_type="text/plain"),
    "text as an event": lambda part: Answer(body=b"data: no room\n\n", media_type="text/plain"),
    "HTML": lambda part: Answer(body=b"<html>\n\n</html>\n\n", media_type="text/html"),
    "JSON": lambda part: Answer(body=b'{"error": "no room"}\n\n', media_type="application/json"),
    "events as JSON": lambda part: Answer(body=part.events(), media_type="application/json"),
    "204": lambda part: Answer(status=204, media_type=None),
    "206 empty": lambda part: Answer(status=206),
    "206 with events": lambda part: Answer(status=206, body=part.events()),
    "202": lambda part: Answer(status=202, media_type=None),
    "500 as a stream": lambda part: Answer(status=500, body=part.events()),
    "500": lambda part: Answer(status=500, body=ERROR_TEXT, media_type="text/plain"),
    "503 that has run": lambda part: Answer(status=503, body=ERROR_TEXT, media_type="text/plain"),
    "404": lambda part: Answer(status=404, body=ERROR_TEXT, media_type="text/plain"),
    "302": lambda part: Answer(status=302, body=ERROR_TEXT, media_type="text/html"),
    "encoded": lambda part: Answer(body=part.events(), headers=ENCODED),
    "no head": lambda part: Answer(head_bytes=ERROR_TEXT),
    "only an event": lambda part: Answer(head_bytes=part.events(1, 1)),
    "torn head": lambda part: Answer(head_bytes=b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncont"),
    "100 before 500": lambda part: Answer(head_bytes=b"HTTP/1.1 100 Go\r\n\r\n" + ERROR_HEAD),
}
BODIES: dict[str, Callable[[Part], bytes]] = {
    "text": lambda part: ERROR_TEXT,
    "text after an event": lambda part: part.events(1, 1) + ERROR_TEXT,
    "text before an event": lambda part: b"no room\n" + part.events(),
    "text within an event": lambda part: part.events().replace(b"data", b"no room\ndata", 1),
    "a head": lambda part: ERROR_HEAD,
    "a head after an event": lambda part: part.events(1, 1) + ERROR_HEAD + b"error",
    "an event without a number after one": lambda part: part.events(1, 1) + b"data: error\n\n",
    "an event without data, a field": lambda part: part.events(1, 1) + b"error: no room\n\n",
    "a garbled number": lambda part: part.events(1, 1) + b"id: 4x\ndata: part\n\n",
    "many digits": lambda part: part.events(1, 1) + b"id: " + b"9" * 99 + b"\ndata: part\n\n",
    "two numbers": lambda part: part.events(1, 1) + b"id: 2\n" + part.events(2),
    "left out": lambda part: part.events(3) or ERROR_TEXT,
    "left out later": lambda part: part.events(1, 1) + (part.events(4) or ERROR_TEXT),
    "empty": lambda part: b"",
    "half an event": lambda part: part.events(1, 1) + b"id: 1",
    "a text without an end": lambda part: b"no room",
    "events from the beginning": lambda part: replace(part, after=0).events(),
    "the last one again": lambda part: replace(part, after=max(0, part.after - 1)).events(),
    "an event twice": lambda part: part.events(1, 1) * 2 + part.events(2),
    "backwards": lambda part: part.events(2, 2) + part.events(1, 1) + part.events(3),
}


def _make_all() -> dict[str, Make]:
    makes = dict(HEADS)
    for name, body in BODIES.items():
        makes[f"{name}, chunked"] = lambda part, body=body: Answer(body=body(part))
        makes[f"{name}, to the end"] = lambda part, body=body: Answer(
            body=body(part), is_chunked=False
        )
    return makes


MAKE_BY_NAME = _make_all()
