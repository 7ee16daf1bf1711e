"""Finds events that are missing from a numbered stream.

The numbers of a stream begin at 0 or 1 and grow by one. A service may number its events in another
way, by tokens for example, so each of the two habits binds until several answers of the service
have departed from it and none has followed it.

    numbers = EventNumbers()
    numbers.follows(3, 2), numbers.follows(5, 3)
    # (True, False)
"""

from dataclasses import dataclass, field

DEPARTURES_OF_A_HABIT = 3  # answers, as many as one request may have
FIRST_NUMBERS = (0, 1)


@dataclass(slots=True)
class _Habit:
    """What answers of a service usually do."""

    is_followed: bool = False
    departures: int = 0

    def allows(self, *, is_usual: bool) -> bool:
        """Return whether an answer may do so, and count it."""
        if is_usual:
            self.is_followed = True
            return True
        self.departures += 1
        return not self.is_followed and self.departures >= DEPARTURES_OF_A_HABIT


@dataclass(slots=True)
class EventNumbers:
    """How one service numbers the events of its streams."""

    _first: _Habit = field(default_factory=_Habit)
    _step: _Habit = field(default_factory=_Habit)

    def follows(self, number: int, last: int | None) -> bool:
        """Return whether no event is missing between `last`, None at a beginning, and `number`."""
        if last is None:
            return self._first.allows(is_usual=number in FIRST_NUMBERS)
        return self._step.allows(is_usual=number == last + 1)
