"""Events that are missing, and services that number theirs in another way."""

from lagoonfold.forwarding import EventError, EventFilter, EventNumbers
from tests._suite import load_functions


def _is_accepted(numbers: EventNumbers, *ids: int, last_id: int | None = None) -> bool:
    """Return whether a stream of these event numbers goes through."""
    return _attempt(EventFilter(last_id, numbers), *ids)


def _attempt(events: EventFilter, *ids: int) -> bool:
    """Return whether an answer with these event numbers goes through, as part of a stream."""
    try:
        for event_id in ids:
            events.feed(b"id: %d\ndata: x\n\n" % event_id)
    except EventError:
        events.rewind(events.last_id)
        return False
    return True


def test_missing_events_are_found() -> None:
    """At the beginning, in the middle, and where a stream goes on."""
    numbers = EventNumbers()
    for _ in range(5):
        assert _is_accepted(numbers, 1, 2, 3)
        assert _is_accepted(numbers, 0, 1, 2)
        assert not _is_accepted(numbers, 3, 4)
        assert not _is_accepted(numbers, 1, 2, 4)
        assert _is_accepted(numbers, 2, 3, 4, last_id=1)
        assert not _is_accepted(numbers, 5, last_id=3)
        assert _is_accepted(numbers, 2, 3, 4, last_id=1)


def test_attempts_of_one_request_do_not_make_missing_events_usual() -> None:
    """An instance that has just started knows nothing else of the service."""
    events = EventFilter(None, EventNumbers())
    assert _attempt(events, 1)
    for _ in range(10):
        assert not _attempt(events, 4, 5)


def test_streams_that_another_replica_repairs_do_not_make_missing_events_usual() -> None:
    """One of two replicas leaves events out of each stream that it begins."""
    numbers = EventNumbers()
    for _ in range(10):
        events = EventFilter(None, numbers)
        assert not _attempt(events, 1, 4)
        assert _attempt(events, 2, 3, 4)
        events = EventFilter(None, numbers)
        assert not _attempt(events, 3, 4)
        assert _attempt(events, 1, 2, 3)


def test_service_that_numbers_its_events_by_tokens_is_served() -> None:
    """Its first streams are broken off, and a single other one changes nothing."""
    numbers = EventNumbers()
    accepted = [_is_accepted(numbers, 12, 24, 36) for _ in range(10)]
    assert accepted == [False] * 4 + [True] * 6, accepted
    assert _is_accepted(numbers, 36, 48, last_id=24)
    assert _is_accepted(numbers, 1, 2)
    assert _is_accepted(numbers, 12, 24)


def test_service_whose_events_hold_several_tokens_at_times_is_served() -> None:
    """Most of its streams leave numbers out, and some follow one by one."""
    numbers = EventNumbers()
    assert _is_accepted(numbers, 1, 2)
    accepted = [_is_accepted(numbers, 1, 2, 5, 9, 10) for _ in range(8)]
    assert accepted == [False] * 2 + [True] * 6, accepted


def test_service_whose_numbers_begin_elsewhere_has_its_gaps_found() -> None:
    """Where the numbers begin says nothing of how they go on."""
    numbers = EventNumbers()
    accepted = [_is_accepted(numbers, 500, 501) for _ in range(5)]
    assert accepted == [False, False, True, True, True]
    assert not _is_accepted(numbers, 500, 502)


def test_event_without_a_number_is_no_stream_of_a_service_that_numbers_its_events() -> None:
    """An error in the form of an event was taken for a whole stream."""

    def is_accepted(answer: bytes, numbers: EventNumbers) -> bool:
        try:
            EventFilter(numbers=numbers).feed(answer)
        except EventError:
            return False
        return True

    error, numbered = b"event: error\ndata: no room\n\n", b"id: 1\ndata: a\n\n"
    numbers, others = EventNumbers(), EventNumbers()
    for _ in range(5):
        assert is_accepted(b": comment\n\n" + numbered, numbers)
        assert not is_accepted(error, numbers) and not is_accepted(b"id: x\n\n", numbers)
        assert is_accepted(b": comment\n\n" + numbered, numbers)
        assert is_accepted(error, others)
    assert is_accepted(b": comment\n\n", numbers)


load_tests = load_functions(globals())
