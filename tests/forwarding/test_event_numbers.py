"""Events that are missing, and services that number theirs in another way."""

from lagoonfold.forwarding import EventError, EventFilter, EventNumbers
from tests._suite import load_functions


def _is_accepted(numbers: EventNumbers, *ids: int, last_id: int | None = None) -> bool:
    """Return whether an answer with these event numbers goes through."""
    events = EventFilter(last_id, numbers)
    try:
        for event_id in ids:
            events.feed(b"id: %d\ndata: x\n\n" % event_id)
    except EventError:
        return False
    return True


def test_missing_events_are_found() -> None:
    """At the beginning, in the middle, and where a stream goes on."""
    numbers = EventNumbers()
    assert _is_accepted(numbers, 1, 2, 3)
    assert _is_accepted(numbers, 0, 1, 2)
    for _ in range(5):
        assert not _is_accepted(numbers, 3, 4)
        assert not _is_accepted(numbers, 1, 2, 4)
        assert not _is_accepted(numbers, 5, last_id=3)
    assert _is_accepted(numbers, 2, 3, 4, last_id=3)


def test_service_that_numbers_its_events_by_tokens_is_served() -> None:
    """Its first answers are broken off, as many as a request may have."""
    numbers = EventNumbers()
    assert [_is_accepted(numbers, 12, 24, 36) for _ in range(6)] == [False] * 4 + [True] * 2
    assert _is_accepted(numbers, 36, 48, last_id=24)


def test_service_whose_numbers_begin_elsewhere_has_its_gaps_found() -> None:
    """Where the numbers begin says nothing of how they go on."""
    numbers = EventNumbers()
    assert _is_accepted(numbers, 1001, 1002, last_id=1000)
    accepted = [_is_accepted(numbers, 500, 501) for _ in range(4)]
    assert accepted == [False, False, True, True]
    assert not _is_accepted(numbers, 500, 502)


load_tests = load_functions(globals())
