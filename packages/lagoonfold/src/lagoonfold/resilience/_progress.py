"""A deadline that is extended by received data, to detect connections that stop sending."""


class ProgressDeadline:
    """The time at which a request to an upstream is aborted.

    Each receipt of data extends it to `progress_timeout_s` from then, never past the call's own
    deadline. The wait for the first byte has its own bound, `first_byte_s`, since a queued call
    is silent for longer. All times are on the monotonic clock.

        deadline = ProgressDeadline(now_s=0, deadline_s=60, first_byte_s=20, progress_timeout_s=5)
        deadline.record_progress(now_s=3.0)
        deadline.at_s()   # 8.0
    """

    __slots__ = ("_at_s", "_deadline_s", "_progress_timeout_s")

    def __init__(
        self, *, now_s: float, deadline_s: float, first_byte_s: float, progress_timeout_s: float
    ) -> None:
        self._deadline_s = deadline_s
        self._progress_timeout_s = progress_timeout_s
        self._at_s = min(deadline_s, now_s + first_byte_s)

    def record_progress(self, *, now_s: float) -> None:
        """Extend the deadline after data was received."""
        self._at_s = min(self._deadline_s, now_s + self._progress_timeout_s)

    def at_s(self) -> float:
        """Return the time of the abort, in seconds on the monotonic clock."""
        return self._at_s

    def is_over(self, *, now_s: float) -> bool:
        """Return whether the request must be aborted."""
        return now_s >= self._at_s

    def is_progress_timeout(self, *, now_s: float) -> bool:
        """Return whether the request ends through silence, not the call's deadline.

        The connection may then be broken.
        """
        return self.is_over(now_s=now_s) and now_s < self._deadline_s
