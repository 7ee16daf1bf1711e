"""Which targets an instance cannot reach itself, and which peers to call them through.

An instance that is cut off from a target may still reach peers, and these the target. Everything is
decided from arguments, without I/O. A target that has just been found out of reach counts as such
for a while, and so does a peer that could not help.

An instance that has failed to reach several targets, and none since, may be cut off itself: what it
tells of targets says little. Once peers have reached several of those for it, it counts as cut off
and calls all targets through peers, until it reaches one itself.
"""

import random
from collections.abc import Iterable

MEMORY_S = 1.0  # after which a failure is no longer counted
MIN_FAILED_TARGETS = 2  # one alone may be the fault of a single path
CUT_OFF_MEMORY_S = 5.0  # without a further failure; several probes of a path fit in


class RelayPaths:
    """The paths of one instance; targets and peers are named by strings.

    paths = RelayPaths(random.Random())
    paths.record_failed("disk-1", now_s=10.0)
    paths.is_faulty("disk-1", now_s=10.5)                     # True
    paths.relays("disk-1", ["i-2"], now_s=10.5, limit=2)      # ["i-2"]
    paths.record_relayed("disk-1", "i-2", now_s=10.5)         # "i-2" comes first from now on
    """

    def __init__(self, rng: random.Random, *, memory_s: float = MEMORY_S) -> None:
        self._rng = rng
        self._memory_s = memory_s
        self._faulty_until_s_by_target: dict[str, float] = {}
        self._unrelayed_until_s_by_target: dict[str, float] = {}
        self._relay_by_target: dict[str, str] = {}
        self._bad_until_s_by_relay: dict[str, float] = {}
        self._good_until_s_by_relay: dict[str, float] = {}
        self._failed_since_reached: set[str] = set()
        self._relayed_since_reached: set[str] = set()
        self._failed_s = float("-inf")

    def record_failed(self, target: str, *, now_s: float) -> None:
        """Record that a target could not be reached directly."""
        self._faulty_until_s_by_target[target] = now_s + self._memory_s
        self._failed_since_reached.add(target)
        self._failed_s = now_s

    def record_reached(self, target: str) -> None:
        """Record that a target was reached directly."""
        self._faulty_until_s_by_target.pop(target, None)
        self._failed_since_reached.clear()
        self._relayed_since_reached.clear()

    def forget(self, target: str) -> None:
        """Forget the failures of a target that nobody reaches."""
        self._faulty_until_s_by_target.pop(target, None)
        self._failed_since_reached.discard(target)
        self._relayed_since_reached.discard(target)

    def is_faulty(self, target: str, *, now_s: float) -> bool:
        """Return whether a target could not be reached directly of late."""
        return now_s < self._faulty_until_s_by_target.get(target, 0.0)

    def is_suspect(self, *, now_s: float) -> bool:
        """Return whether this instance may be cut off from all targets."""
        is_recent = now_s - self._failed_s < CUT_OFF_MEMORY_S
        return is_recent and len(self._failed_since_reached) >= MIN_FAILED_TARGETS

    def has_path_fault(self, *, now_s: float) -> bool:
        """Return whether a peer reaches what this instance could not, and it reached none since."""
        is_recent = now_s - self._failed_s < CUT_OFF_MEMORY_S
        return is_recent and bool(self._relayed_since_reached)

    def untried(self, targets: Iterable[str], *, limit: int) -> list[str]:
        """Return targets that show whether this instance reaches any, at most `limit`.

        Those that failed may be down; the others are drawn at random.
        """
        others = [target for target in targets if target not in self._failed_since_reached]
        return self._rng.sample(others, min(limit, len(others)))

    def is_cut_off(self, *, now_s: float) -> bool:
        """Return whether this instance is cut off from targets that peers reach."""
        are_several = len(self._relayed_since_reached) >= MIN_FAILED_TARGETS
        return are_several and self.is_suspect(now_s=now_s)

    def faulty_targets(self, *, now_s: float) -> list[str]:
        """Return the targets that could not be reached directly of late."""
        return [
            target for target, until_s in self._faulty_until_s_by_target.items() if now_s < until_s
        ]

    def expire(self, *, now_s: float) -> None:
        """Drop what is no longer counted, once this instance is not cut off."""
        if self.is_cut_off(now_s=now_s):
            return
        faulty = set(self.faulty_targets(now_s=now_s))
        for by_target in (self._faulty_until_s_by_target, self._relay_by_target):
            for target in by_target.keys() - faulty:
                del by_target[target]

    def is_out_of_reach(self, target: str, *, now_s: float) -> bool:
        """Return whether a target was reached of late neither directly nor through peers."""
        is_unrelayed = now_s < self._unrelayed_until_s_by_target.get(target, 0.0)
        return is_unrelayed and self.is_faulty(target, now_s=now_s)

    def relays(self, target: str, peers: Iterable[str], *, now_s: float, limit: int) -> list[str]:
        """Return the peers to try for a target, at most `limit`.

        The one that has reached this target comes first, then those that have reached others of
        late. Peers that could not help of late come last.
        """
        known = self._relay_by_target.get(target)
        peers = list(peers)
        self._rng.shuffle(peers)

        def preference(peer: str) -> tuple[bool, bool, bool]:
            is_bad = now_s < self._bad_until_s_by_relay.get(peer, 0.0)
            is_good = now_s < self._good_until_s_by_relay.get(peer, 0.0)
            return is_bad, peer != known, not is_good

        return sorted(peers, key=preference)[:limit]

    def is_good_relay(self, relay: str, *, now_s: float) -> bool:
        """Return whether a peer has reached a target for this instance of late."""
        return now_s < self._good_until_s_by_relay.get(relay, 0.0)

    def record_relayed(self, target: str, relay: str, *, now_s: float) -> None:
        """Record that a peer has reached a target for this instance."""
        self._relay_by_target[target] = relay
        if target in self._failed_since_reached:
            self._relayed_since_reached.add(target)
        self._good_until_s_by_relay[relay] = now_s + CUT_OFF_MEMORY_S
        self._bad_until_s_by_relay.pop(relay, None)
        self._unrelayed_until_s_by_target.pop(target, None)

    def record_relay_failed(self, relay: str, *, now_s: float) -> None:
        """Record that a peer could not be reached, or is cut off from the targets itself."""
        self._bad_until_s_by_relay[relay] = now_s + self._memory_s
        self._good_until_s_by_relay.pop(relay, None)

    def record_unrelayed(self, target: str, *, now_s: float) -> None:
        """Record that no peer could reach a target for this instance."""
        self._relay_by_target.pop(target, None)
        self._unrelayed_until_s_by_target[target] = now_s + self._memory_s
