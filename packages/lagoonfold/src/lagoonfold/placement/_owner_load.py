"""Whether an instance is too busy to answer requests for a place in time.

An instance handles messages in turns of its event loop: what arrives during a turn waits for its
end and then for its place in the next one. So an answer takes up to twice the time of a turn. That
time is measured by a timer: how much later than it was due it is run. While a turn runs, the timer
that is overdue shows how long the messages that are left have waited.
"""

BUSY_S = 0.1  # an answer that takes longer comes too late for some of those that ask
LATE_TURN_S = BUSY_S / 2
TIMER_S = 0.05  # 0.02 s took 1.5% of a core on the busy build machine
SAMPLE_WEIGHT = 0.3  # of a new lag; three long turns in a row show that an instance falls behind
MAX_SAMPLE_S = 0.2  # an instance that was suspended once is not busy for longer than two timers


class OwnerLoad:
    """Measures by how much the event loop is late. Times are in seconds on one clock.

    load = OwnerLoad()
    load.expect(0.02)            # the timer is due then
    load.is_busy(now_s=0.15)     # True: it has not run, so the turn takes too long
    load.record_ran(now_s=0.16)
    """

    def __init__(self) -> None:
        self._due_s: float | None = None
        self._lag_s = 0.0

    def expect(self, due_s: float) -> None:
        """Note when the timer is due."""
        self._due_s = due_s

    def record_ran(self, *, now_s: float) -> None:
        """Record that the timer has run."""
        if self._due_s is not None:
            sample_s = min(MAX_SAMPLE_S, max(0.0, now_s - self._due_s))
            self._lag_s += SAMPLE_WEIGHT * (sample_s - self._lag_s)
        self._due_s = None

    def stop(self) -> None:
        """Forget the lag, as the timer does not run any more."""
        self._due_s, self._lag_s = None, 0.0

    def is_busy(self, *, now_s: float) -> bool:
        """Return whether an answer would probably come later than `BUSY_S` after the request."""
        overdue_s = now_s - self._due_s if self._due_s is not None else 0.0
        return overdue_s > BUSY_S or self._lag_s > LATE_TURN_S
