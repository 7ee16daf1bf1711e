"""Finds a connection that carries nothing any more while its other direction works.

Both ends of a call have a connection of their own. Where only the called end's has gone silent,
probes arrive and their answers do not; the probing end says so, and the called end dials anew.
"""

MIN_UNANSWERED = 2
ANSWER_LOST_S = 0.4


class ProbeTracker:
    """The probing end: which peers were not heard, since when, and how often they were probed."""

    def __init__(self) -> None:
        self._unanswered_by_peer: dict[str, int] = {}
        self._silent_since_by_peer: dict[str, float] = {}

    def record_timeout(self, peer: str, since_s: float) -> None:
        """Note a request that ended without an answer; it may have been too short for a probe."""
        self._silent_since_by_peer.setdefault(peer, since_s)

    def timed_out_peers(self) -> tuple[tuple[str, float], ...]:
        """Return the peers that have not been heard since a request to them, with its time."""
        return tuple(self._silent_since_by_peer.items())

    def record_probe(self, peer: str) -> int:
        """Return how many probes in a row had no answer before this one."""
        count = self._unanswered_by_peer.get(peer, 0)
        self._unanswered_by_peer[peer] = count + 1
        return count

    def reset(self, peer: str) -> None:
        """Start anew, since the peer was heard or given up."""
        self._unanswered_by_peer.pop(peer, None)
        self._silent_since_by_peer.pop(peer, None)


class LostAnswerDetector:
    """The called end: tells whether its answers to probes arrive."""

    def __init__(self) -> None:
        self._answered_at_by_peer: dict[str, float] = {}

    def is_silent(self, peer: str, unanswered: int, now_s: float) -> bool:
        """Tell whether a peer has heard nothing since it was answered `ANSWER_LOST_S` ago.

        Probes that were received together tell nothing: their answers had no time to arrive.
        """
        answered_at_s = self._answered_at_by_peer.get(peer)
        if unanswered == 0 or answered_at_s is None:
            self._answered_at_by_peer[peer] = now_s
            return False
        if unanswered < MIN_UNANSWERED or now_s - answered_at_s < ANSWER_LOST_S:
            return False
        del self._answered_at_by_peer[peer]
        return True
