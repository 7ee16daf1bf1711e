"""The ring on which each instance is watched by its successors.

The order is that of the hashes of the ids, so neighbours on the ring seldom share a failure domain.
"""

from bisect import bisect_left, insort

from lagoonfold._rendezvous import rendezvous_weight

WATCHERS = 3  # two may be lost together with the instance that they watch


class Ring:
    """The live instances in the order of the ring.

    ring = Ring()
    for instance_id in ("i-1", "i-2", "i-3"):
        ring.add(instance_id)
    ring.watchers_of("i-1")    # ("i-3", "i-2") or ("i-2", "i-3")
    """

    def __init__(self) -> None:
        self._order: list[tuple[int, str]] = []

    def add(self, instance_id: str) -> None:
        """Add an instance that is not on the ring."""
        insort(self._order, _position(instance_id))

    def remove(self, instance_id: str) -> None:
        """Remove an instance that is on the ring."""
        self._order.remove(_position(instance_id))

    def watchers_of(self, instance_id: str) -> tuple[str, ...]:
        """Return the next `WATCHERS` instances after one, which need not be on the ring itself."""
        return self._neighbours(instance_id, 1)

    def watched_by(self, instance_id: str) -> tuple[str, ...]:
        """Return the last `WATCHERS` instances before one, which it watches."""
        return self._neighbours(instance_id, -1)

    def _neighbours(self, instance_id: str, step: int) -> tuple[str, ...]:
        position = _position(instance_id)
        index = bisect_left(self._order, position)
        is_on_ring = index < len(self._order) and self._order[index] == position
        others = len(self._order) - is_on_ring
        # The first one after a gap stands at `index`, after an instance on the ring beside it.
        start = index if step == 1 and not is_on_ring else index + step
        return tuple(
            self._order[(start + step * offset) % len(self._order)][1]
            for offset in range(min(WATCHERS, others))
        )


def _position(instance_id: str) -> tuple[int, str]:
    return rendezvous_weight("ring", instance_id), instance_id
