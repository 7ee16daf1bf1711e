"""Finds events that are missing from a numbered stream.

The numbers of a stream usually begin at 0 or 1 and grow by one. A service may number its events in
another way, by tokens for example. So what its recent streams have shown decides whether a number
that is left out is missing: it is not if most of them left numbers out, in several requests. A
stream that begins without numbers is none of a service whose recent streams began with one.

    stream = StreamNumbers(EventNumbers())
    stream.follows(3, 2), stream.follows(5, 3)
    # (True, False)
"""

from collections import deque
from dataclasses import dataclass, field

FIRST_NUMBERS = (0, 1)
MAX_JUDGED = 16  # recent streams of a service
DEPARTURES_OF_A_HABIT = 3  # streams, so that the attempts of one request are not enough


@dataclass(slots=True, eq=False)
class _Judged:
    """What one stream has shown of a habit of its service.

    It `departs` unless another attempt brought what was left out after the event `departed_after`.
    """

    departs: bool = False
    departed_after: int | None = None

    def record(self, last: int | None, *, is_usual: bool) -> None:
        if not is_usual:
            self.departs, self.departed_after = True, last
        elif last == self.departed_after:
            self.departs = False


class _Habit:
    """What the recent streams of a service have done, the latest last."""

    def __init__(self) -> None:
        self._judged: deque[_Judged] = deque(maxlen=MAX_JUDGED)

    def new_judged(self) -> _Judged:
        """Return the record of a stream that is judged for the first time."""
        judged = _Judged()
        self._judged.append(judged)
        return judged

    def is_followed(self) -> bool:
        """Return whether any recent stream has followed the habit."""
        return any(not judged.departs for judged in self._judged)

    def is_departure_usual(self) -> bool:
        """Return whether most of the recent streams have departed from the habit."""
        departures = sum(judged.departs for judged in self._judged)
        return departures >= DEPARTURES_OF_A_HABIT and 2 * departures > len(self._judged)


@dataclass(slots=True)
class EventNumbers:
    """How one service numbers the events of its streams."""

    begin: _Habit = field(default_factory=_Habit)
    first: _Habit = field(default_factory=_Habit)
    step: _Habit = field(default_factory=_Habit)


class StreamNumbers:
    """Judges the numbers of one stream, over all upstreams that produce it."""

    def __init__(self, numbers: EventNumbers) -> None:
        self._numbers = numbers
        self._begin: _Judged | None = None
        self._first: _Judged | None = None
        self._step: _Judged | None = None

    def may_begin_without(self) -> bool:
        """Return whether the first event of a stream may have no number, and count it."""
        habit = self._numbers.begin
        self._begin = self._begin or habit.new_judged()
        self._begin.record(None, is_usual=False)
        return not habit.is_followed()

    def follows(self, number: int, last: int | None) -> bool:
        """Return whether no event is missing between `last`, None at a beginning, and `number`."""
        if last is None:
            self._begin = self._begin or self._numbers.begin.new_judged()
            self._begin.record(None, is_usual=True)
            habit, is_usual = self._numbers.first, number in FIRST_NUMBERS
            judged = self._first = self._first or habit.new_judged()
        else:
            habit, is_usual = self._numbers.step, number == last + 1
            judged = self._step = self._step or habit.new_judged()
        judged.record(last, is_usual=is_usual)
        return is_usual or habit.is_departure_usual()
