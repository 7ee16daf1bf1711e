"""A deadline that moves with progress, for connections that fall silent."""


class ProgressDeadline:
    """The moment at which an exchange is given up.

    Each received byte moves it by `progress_timeout_s`; it never passes the call's own deadline.
    The wait for the first byte has its own bound, since a queued call is silent for longer.

        deadline = ProgressDeadline(now_s=0, deadline_s=60, first_byte_s=20, progress_timeout_s=5)
        deadline.note_progress(now_s=3.0)
        deadline.at_s()   # 8.0
    """

    __slots__ = ("_at_s", "_deadline_s", "_progress_timeout_s")

    def __init__(
        self, *, now_s: float, deadline_s: float, first_byte_s: float, progress_timeout_s: float
    ) -> None:
        self._deadline_s = deadline_s
        self._progress_timeout_s = progress_timeout_s
        self._at_s = min(deadline_s, now_s + first_byte_s)

    def note_progress(self, *, now_s: float) -> None:
        """Move the deadline after something was received."""
        self._at_s = min(self._deadline_s, now_s + self._progress_timeout_s)

    def at_s(self) -> float:
        """Return the moment of giving up, in seconds on the monotonic clock."""
        return self._at_s

    def is_over(self, *, now_s: float) -> bool:
        """Tell whether the exchange is to be given up."""
        return now_s >= self._at_s

    def is_progress_timeout(self, *, now_s: float) -> bool:
        """Tell whether silence, not the call's deadline, ends it; the connection is suspect."""
        return self.is_over(now_s=now_s) and now_s < self._deadline_s
