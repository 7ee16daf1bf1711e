"""Splits a stream into whole events and drops those that the caller already has.

An event ends with an empty line and may carry its number as `id`. A partial event is buffered
until the rest arrives, so that a broken stream ends between two events and can be resumed.

    events = EventFilter(last_id=12)
    events.feed(b"id: 12\\ndata: a\\n\\nid: 13\\ndata: b\\n\\nid: 14\\nda")
    # [Event(number=13, data=b"id: 13\\ndata: b\\n\\n")]
"""

import re
from dataclasses import dataclass

from lagoonfold._numbers import parse_count

MAX_EVENT_BYTES = 262_144  # bounds the memory for one stream; usual events are below 1 KB

MAX_END_BYTES = 4  # of the empty line that ends an event

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventError(Exception):
    """Raised for a stream that cannot be split into events."""


@dataclass(frozen=True, slots=True)
class Event:
    """A whole event as it arrived; `number` is its id, None if it has none."""

    number: int | None
    data: bytes


class EventFilter:
    """Splits and filters the events of one response, across all upstreams that produce it.

    `last_id` is the number of the last event that the caller has, `passed_count` the number of
    events returned so far.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.passed_count = 0
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the whole events that are new to the caller.

        Raises `EventError` if `data` and the partial event exceed `MAX_EVENT_BYTES` together, or an
        id has too many digits.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(f"event of more than {MAX_EVENT_BYTES} bytes")
        events: list[Event] = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, self._searched):
            event = self._accept(bytes(self._buffer[start : end.end()]))
            start = end.end()
            if event is not None:
                events.append(event)
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        self.passed_count += len(events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Return whether a partial event is buffered."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Discard the partial event; another upstream resumes after the last whole event."""
        self._buffer.clear()
        self._searched = 0

    def _accept(self, data: bytes) -> Event | None:
        """Return the event, or None if the caller already has it."""
        match = _ID_LINE.search(data)
        if match is None:
            return Event(None, data)
        number = parse_count(match[1].decode())
        if number is None:
            raise EventError(f"event id of {len(match[1])} digits")
        if self.last_id is not None and number <= self.last_id:
            return None
        self.last_id = number
        return Event(number, data)
