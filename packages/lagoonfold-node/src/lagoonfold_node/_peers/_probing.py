"""Detects a broken connection from the called to the calling instance while the other one works.

Each of the two instances sends over a connection of its own. If only the called instance's
connection is broken, probes arrive but their answers do not. The probing instance reports the
number of unanswered probes in each probe, and the called instance then reconnects.
"""

MIN_UNANSWERED = 2
ANSWER_LOST_S = 0.4


class ProbeTracker:
    """The probing end: tracks timed-out requests and unanswered probes by peer."""

    def __init__(self) -> None:
        self._unanswered_by_peer: dict[str, int] = {}
        self._silent_since_by_peer: dict[str, float] = {}

    def record_timeout(self, peer: str, since_s: float) -> None:
        """Record a request that timed out, maybe before a probe, so that its peer is probed."""
        self._silent_since_by_peer.setdefault(peer, since_s)

    def timed_out_peers(self) -> tuple[tuple[str, float], ...]:
        """Return the peers that sent nothing since a request to them timed out, and since when."""
        return tuple(self._silent_since_by_peer.items())

    def record_probe(self, peer: str) -> int:
        """Count a probe; return how many consecutive probes before it got no answer."""
        count = self._unanswered_by_peer.get(peer, 0)
        self._unanswered_by_peer[peer] = count + 1
        return count

    def reset(self, peer: str) -> None:
        """Reset a peer that has sent a message or whose calls were failed."""
        self._unanswered_by_peer.pop(peer, None)
        self._silent_since_by_peer.pop(peer, None)


class LostAnswerDetector:
    """The called end: detects that its answers to a peer's probes do not arrive."""

    def __init__(self) -> None:
        self._answered_at_by_peer: dict[str, float] = {}

    def is_silent(self, peer: str, unanswered: int, now_s: float) -> bool:
        """Return whether a peer has got no answer to its probes for `ANSWER_LOST_S` seconds.

        Probes that were received together prove nothing: their answers had no time to arrive.
        """
        answered_at_s = self._answered_at_by_peer.get(peer)
        if unanswered == 0 or answered_at_s is None:
            self._answered_at_by_peer[peer] = now_s
            return False
        if unanswered < MIN_UNANSWERED or now_s - answered_at_s < ANSWER_LOST_S:
            return False
        del self._answered_at_by_peer[peer]
        return True
