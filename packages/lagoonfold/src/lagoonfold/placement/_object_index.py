"""Remembers which replica has handled an object last."""

from collections import OrderedDict

from lagoonfold.forwarding import Replica

MAX_OBJECTS = 8_192  # about a minute of the requests of one pool of replicas
RECENT_S = 60.0  # a replica is taken to have dropped what it did not use for longer


class ObjectIndex:
    """Maps the keys of objects to the replicas at which this instance placed them last.

    index = ObjectIndex()
    index.record("cart-7", replica, now_s=0.0)
    index.is_recent("cart-7", replica, now_s=1.0)    # True
    """

    def __init__(self) -> None:
        self._latest_by_key: OrderedDict[str, tuple[str, int, float]] = OrderedDict()

    def snapshot(self) -> "ObjectIndex":
        """Return a copy."""
        copied = ObjectIndex()
        copied._latest_by_key = self._latest_by_key.copy()
        return copied

    def record(self, key: str, replica: Replica, *, now_s: float) -> None:
        """Record that a request for an object is placed at a replica."""
        self._latest_by_key[key] = (replica.replica_id, replica.started, now_s)
        self._latest_by_key.move_to_end(key)
        while len(self._latest_by_key) > MAX_OBJECTS:
            self._latest_by_key.popitem(last=False)

    def is_recent(self, key: str, replica: Replica, *, now_s: float) -> bool:
        """Return whether this start of a replica has handled an object last, and lately."""
        latest = self._latest_by_key.get(key)
        if latest is None or latest[:2] != (replica.replica_id, replica.started):
            return False
        return now_s - latest[2] <= RECENT_S
