"""How long the watched instances have been silent, on one clock of the watcher."""

from collections.abc import Iterable


class SilenceTracker:
    """Holds when each watched instance was last heard.

    A watcher that did not run itself for a while, such as a suspended one, has not listened either:
    `observe` then counts all silences anew.
    """

    def __init__(self, *, max_gap_s: float) -> None:
        self._max_gap_s = max_gap_s
        self._heard_s_by_id: dict[str, float] = {}
        self._observed_s: float | None = None

    def watch(self, instance_ids: Iterable[str], *, now_s: float) -> None:
        """Watch exactly these instances; the silence of a new one begins now."""
        self._heard_s_by_id = {
            instance_id: self._heard_s_by_id.get(instance_id, now_s) for instance_id in instance_ids
        }

    def record_heard(self, instance_id: str, *, now_s: float) -> None:
        """Record a sign of life; one of an instance that is not watched is ignored."""
        if instance_id in self._heard_s_by_id:
            self._heard_s_by_id[instance_id] = now_s

    def observe(self, *, now_s: float) -> None:
        """Note that the watcher runs; call this at intervals well below `max_gap_s`."""
        if self._observed_s is not None and now_s - self._observed_s > self._max_gap_s:
            self._heard_s_by_id = dict.fromkeys(self._heard_s_by_id, now_s)
        self._observed_s = now_s

    def silent_for(self, limit_s: float, *, now_s: float) -> list[str]:
        """Return the watched instances that have been silent for `limit_s` or longer."""
        return [
            instance_id
            for instance_id, heard_s in self._heard_s_by_id.items()
            if now_s - heard_s >= limit_s
        ]
