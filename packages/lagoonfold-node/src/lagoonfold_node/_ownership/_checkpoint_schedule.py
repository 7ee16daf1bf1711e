"""Decides when a shard's next checkpoint is due: after a number of commits or of bytes."""

import trio

CHECKPOINT_BYTES = 2_000_000
RETRY_S = 5.0


class CheckpointSchedule:
    """Count the commits and their bytes since the last checkpoint."""

    def __init__(self, max_commits: int) -> None:
        self._max_commits = max_commits
        self._commits = 0
        self._size_bytes = 0
        self._totals_at_start = (0, 0)
        self._not_before_s = 0.0

    def record_commit(self, size_bytes: int) -> None:
        """Count one journal entry and its bytes."""
        self._commits += 1
        self._size_bytes += size_bytes

    def is_due(self) -> bool:
        """Return whether a checkpoint should be planned now."""
        if trio.current_time() < self._not_before_s:
            return False
        return self._commits >= self._max_commits or self._size_bytes >= CHECKPOINT_BYTES

    def start(self) -> None:
        """Record that a checkpoint of all commits so far is being stored."""
        self._totals_at_start = (self._commits, self._size_bytes)
        self._not_before_s = float("inf")

    def finish(self, *, is_stored: bool) -> None:
        """Record whether the checkpoint was stored; if not, the next is due after `RETRY_S`."""
        self._not_before_s = trio.current_time()
        if is_stored:
            self._commits -= self._totals_at_start[0]
            self._size_bytes -= self._totals_at_start[1]
        else:
            self._not_before_s += RETRY_S
