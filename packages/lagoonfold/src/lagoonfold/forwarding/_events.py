"""Splits a stream into whole events and drops those that the caller already has.

An event ends with an empty line and may carry its number as `id`. A part of an event is held back
until the rest arrives, so that a stream that breaks off ends between two events and can be resumed.

    events = EventFilter(last_id=12)
    events.feed(b"id: 12\\ndata: a\\n\\nid: 13\\ndata: b\\n\\nid: 14\\nda")
    # [Event(number=13, data=b"id: 13\\ndata: b\\n\\n")]
"""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576  # bound on memory for one stream; events here are below 1 KB

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventError(Exception):
    """A stream whose events cannot be told apart."""


@dataclass(frozen=True, slots=True)
class Event:
    """A whole event as it arrived; `number` is None where it carries no id."""

    number: int | None
    data: bytes


class EventFilter:
    """The events of one response, over all upstreams that have produced it."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.passed_count = 0
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the whole events that are new to the caller.

        Raises `EventError` if one is too large.
        """
        self._rest += data
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError(f"event of more than {MAX_EVENT_BYTES} bytes")
        events: list[Event] = []
        start = 0
        for end in _END.finditer(self._rest):
            event = self._take(self._rest[start : end.end()])
            start = end.end()
            if event is not None:
                events.append(event)
        self._rest = self._rest[start:]
        self.passed_count += len(events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Tell whether a part of an event is held back."""
        return bool(self._rest)

    def discard_partial_event(self) -> None:
        """Forget a held part: another upstream goes on after the last whole event."""
        self._rest = b""

    def _take(self, data: bytes) -> Event | None:
        found = _ID.search(data)
        if found is None:
            return Event(None, data)
        number = int(found[1])
        if self.last_id is not None and number <= self.last_id:
            return None
        self.last_id = number
        return Event(number, data)
