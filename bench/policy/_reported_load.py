"""Load estimate that ignores the calls sent since the last report, for comparison."""

from lagoonfold.scheduling import ReplicaLoad


class ReportedLoad(ReplicaLoad):
    """The load in the last report, without the calls that this instance sent or saw end since."""

    def record_sent(self, *, now_s: float, added_tokens: int = 0) -> None:
        """Ignore the call."""

    def record_ended(self, *, now_s: float) -> None:
        """Ignore the call."""
