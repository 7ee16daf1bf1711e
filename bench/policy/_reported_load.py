"""A replica's load as it is reported alone, to see what counting the calls sent since is worth."""

from lagoonfold.scheduling import ReplicaLoad


class ReportedLoad(ReplicaLoad):
    """Counts nothing that is sent from here: the estimate is the last report."""

    def record_sent(self, *, now_s: float, added_tokens: int = 0) -> None:
        """Count nothing."""

    def record_ended(self, *, now_s: float) -> None:
        """Count nothing."""
