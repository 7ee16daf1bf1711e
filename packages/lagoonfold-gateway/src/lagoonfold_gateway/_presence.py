"""Notices when this instance was away, so that others may have taken over what it owns.

An instance is away while it does not run, is cut off, or counts as lost. Whoever owns state that
another instance may have changed meanwhile subscribes, and is told before the next decision: each
look-up of an owner checks first (`MemberController.owner`).
"""

from collections.abc import Callable

from lagoonfold_gateway._clock import now_s
from lagoonfold_io.observe import EventLog

ABSENCE_S = 0.5  # the earliest after which others tell that a silent instance is lost

_log = EventLog("members")


class Presence:
    """Tells its subscribers that this instance was away; `on_resumed` that it did not run."""

    def __init__(self) -> None:
        self._ran_s: float | None = None
        self._subscribers: list[Callable[[], None]] = []
        self.on_resumed: Callable[[], None] = lambda: None

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call this whenever the instance was away."""
        self._subscribers.append(subscriber)

    def check(self) -> None:
        """Find out whether the instance has run since the last check, which is some ms ago."""
        now = now_s()
        gap_s = now - self._ran_s if self._ran_s is not None else 0.0
        self._ran_s = now
        if gap_s > ABSENCE_S:
            _log.warning("member.did_not_run", gap_s=round(gap_s, 3))
            self.end_absence()
            self.on_resumed()

    def end_absence(self) -> None:
        """Tell the subscribers that the instance was away until now."""
        for subscriber in self._subscribers:
            subscriber()
