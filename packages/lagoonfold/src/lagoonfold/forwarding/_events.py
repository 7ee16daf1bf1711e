"""Splits a stream into whole events and drops those that the caller already has.

An event ends with an empty line and may carry its number as `id`. A partial event is buffered
until the rest arrives, so that a broken stream ends between two events and can be resumed.

A replica in trouble may send text, or the head of another answer, in place of events or of the rest
of one. So each line must be a field or a comment, fields that the format does not name come first,
the lines of an event end alike, and a stream of numbered events has no data without a number. It
may also send small events without end. So few are returned at once, after which the caller lets
other tasks run, and a stream with more than `MAX_SURPLUS_EVENTS` that bring its caller nothing is
an error.

    events = EventFilter(last_id=12)
    events.feed(b"id: 12\\ndata: a\\n\\nid: 13\\ndata: b\\n\\nid: 14\\nda")
    # [Event(number=13, data=b"id: 13\\ndata: b\\n\\n")]
"""

import itertools
import re
from dataclasses import dataclass

from lagoonfold._numbers import parse_count
from lagoonfold.forwarding._event_numbers import EventNumbers, StreamNumbers

MAX_EVENT_BYTES = 262_144  # bounds the memory for one stream; usual events are below 1 KB

MAX_EVENTS_AT_ONCE = 32  # take less than 1 ms; then other requests get processor time
MAX_SURPLUS_EVENTS = 256  # comments that keep a stream of minutes alive; others never come
MAX_COMPARED_EVENTS = 64  # an answer that begins again is compared with the last ones returned
MAX_END_BYTES = 4  # of the empty line that ends an event

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_DATA_LINE = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
_NAME = rb"(?:data|event|id|retry)"
_STANDARD_FIELD = _NAME + rb"?(?::|\r?$)"  # an empty name is that of a comment
_OTHER_FIELD = re.compile(rb"^(?!" + _STANDARD_FIELD + rb")", re.MULTILINE)
_FIELDS = re.compile(
    rb"(?:(?!" + _NAME + rb":)[a-z][a-z0-9-]*:[^\n]*\n|(?::[^\n]*|\r?)\n)*+"
    rb"(?:" + _NAME + rb"?(?::[^\n]*|\r?)\n)*+"
)
_DATA = re.compile(rb"^data[^\r\n]*", re.MULTILINE)
_ID_LINE = re.compile(rb"^id(?:: ?([^\r\n]*))?\r?$", re.MULTILINE)


class EventError(Exception):
    """Raised for a stream that cannot be split into events."""


@dataclass(frozen=True, slots=True)
class Event:
    """A whole event as it arrived; `number` is its id, None if it has none.

    One with neither an id nor data has no content: an empty line or a comment.
    """

    number: int | None
    data: bytes
    has_content: bool = True


class EventFilter:
    """Splits and filters the events of one response, across all upstreams that produce it.

    `last_id` is the number of the last event that was returned, or that the caller had before;
    `passed_count` is the number of events with content returned so far. Before another upstream
    goes on with the response, `rewind` says which of them the caller has. `numbers` is what is
    known of the service's.
    """

    def __init__(self, last_id: int | None = None, numbers: EventNumbers | None = None) -> None:
        self.last_id = last_id
        self._numbering = StreamNumbers(numbers if numbers is not None else EventNumbers())
        self.passed_count = 0
        self.has_more = False
        self._has_unnumbered = False
        self._answer_id: int | None = None
        self._hash_by_number: dict[int, int] = {}
        self._first_id = last_id or 0
        self._numbered = 0
        self._surplus = 0
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data: bytes = b"") -> list[Event]:
        """Return whole events that are new to the caller, of `MAX_EVENTS_AT_ONCE` at most.

        While `has_more` is set, call it again without data for those that follow. Raises
        `EventError` if `data` and the partial event exceed `MAX_EVENT_BYTES` together, an id has
        too many digits, a line is no field, events with and without numbers follow each other, a
        number is missing or goes back, an event comes again with other data, or too many events
        have no content or are known to the caller.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(f"event of more than {MAX_EVENT_BYTES} bytes")
        events: list[Event] = []
        found = _EVENT_END.finditer(self._buffer, self._searched)
        ends = [match.end() for match in itertools.islice(found, MAX_EVENTS_AT_ONCE + 1)]
        del found  # a buffer that is being searched cannot be shortened
        self.has_more = len(ends) > MAX_EVENTS_AT_ONCE
        start = 0
        for end in ends[:MAX_EVENTS_AT_ONCE]:
            event = self._accept(bytes(self._buffer[start:end]))
            start = end
            if event is not None:
                events.append(event)
        del self._buffer[:start]
        self._searched = 0 if self.has_more else max(0, len(self._buffer) - MAX_END_BYTES + 1)
        self.passed_count += sum(event.has_content for event in events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Return whether a partial event is buffered."""
        return bool(self._buffer)

    def rewind(self, last_id: int | None) -> None:
        """Expect the events after `last_id` from another upstream; discard a partial event."""
        self.last_id = last_id
        self._answer_id = None
        self._has_unnumbered = False
        self._buffer.clear()
        self._searched = 0
        self._surplus = 0
        self.has_more = False

    def _accept(self, data: bytes) -> Event | None:
        """Return the event, or None if the caller already has it."""
        event_id = _read_id(data)
        if event_id is None or not event_id.isdigit():
            return self._accept_unnumbered(data, has_id=event_id is not None)
        number = parse_count(event_id.decode())
        if number is None:
            raise EventError(f"event id of {len(event_id)} digits")
        if self._has_unnumbered:
            raise EventError(f"event {number} after one without a number")
        data_hash = hash(tuple(_DATA.findall(data)))
        if self._answer_id is not None and number < self._answer_id:
            raise EventError(f"event {number} after event {self._answer_id}")
        self._answer_id = number
        if self.last_id is not None and number <= self.last_id:
            self._check_known(number, data_hash)
            return None
        if not self._numbering.follows(number, self.last_id):
            raise EventError(f"event {number} after event {self.last_id}")
        self.last_id = number
        self._numbered += 1
        self._remember(number, data_hash)
        return Event(number, data)

    def _check_known(self, number: int, data_hash: int) -> None:
        if self._hash_by_number.get(number, data_hash) != data_hash:
            raise EventError(f"event {number} with other data than before")
        self._count_surplus()

    def _remember(self, number: int, data_hash: int) -> None:
        """Remember the data of an event; it may have been returned before, and not delivered."""
        self._hash_by_number.pop(number, None)
        self._hash_by_number[number] = data_hash
        if len(self._hash_by_number) > MAX_COMPARED_EVENTS:
            del self._hash_by_number[next(iter(self._hash_by_number))]

    def _accept_unnumbered(self, data: bytes, *, has_id: bool) -> Event:
        has_content = has_id or _DATA_LINE.search(data) is not None
        if has_content and self.last_id is not None:
            raise EventError(f"event without a number after event {self.last_id}")
        if has_content and not self._numbering.may_begin_without():
            raise EventError("event without a number of a service that numbers its events")
        if not has_content and _OTHER_FIELD.search(data) is not None:
            raise EventError("event of unknown fields without data")
        if not has_content:
            self._count_surplus()
        self._has_unnumbered |= has_content
        return Event(None, data, has_content)

    def _count_surplus(self) -> None:
        """Count an event without use; a replica may send all again that the caller has."""
        self._surplus += 1
        most = MAX_SURPLUS_EVENTS + self._first_id + self._numbered
        if self._surplus > most:
            raise EventError(f"more than {most} events without content or known before")


def _read_id(data: bytes) -> bytes | None:
    """Return the id of an event, None if it has none; raise `EventError` if it is no event."""
    if _FIELDS.fullmatch(data) is None:
        raise EventError("event with a line that is no field, or no field of its place")
    if not _ends_lines_alike(data):
        raise EventError("event with line ends of several kinds")
    ids = _ID_LINE.findall(data)
    if len(ids) > 1:
        raise EventError("event with several ids")
    return ids[0] if ids else None


def _ends_lines_alike(data: bytes) -> bool:
    """Return whether all lines end with LF, or all with CRLF."""
    if b"\r" not in data:
        return True
    return data.count(b"\r") == data.count(b"\r\n") == data.count(b"\n")
