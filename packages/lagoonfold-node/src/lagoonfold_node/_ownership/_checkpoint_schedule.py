"""When a shard's next checkpoint is due: after many commits, or many bytes of them."""

import trio

CHECKPOINT_BYTES = 2_000_000
RETRY_S = 5.0


class CheckpointSchedule:
    """Counts what was committed since the last checkpoint."""

    def __init__(self, max_commits: int) -> None:
        self._max_commits = max_commits
        self._commits = 0
        self._size_bytes = 0
        self._started = (0, 0)
        self._not_before_s = 0.0

    def note_commit(self, size_bytes: int) -> None:
        """Count one journal entry."""
        self._commits += 1
        self._size_bytes += size_bytes

    def is_due(self) -> bool:
        """Tell whether a checkpoint should be planned now."""
        if trio.current_time() < self._not_before_s:
            return False
        return self._commits >= self._max_commits or self._size_bytes >= CHECKPOINT_BYTES

    def start(self) -> None:
        """Note that a checkpoint of all that was committed is being stored."""
        self._started = (self._commits, self._size_bytes)
        self._not_before_s = float("inf")

    def finish(self, *, is_stored: bool) -> None:
        """Note that the checkpoint was stored, or that it must be tried again later."""
        self._not_before_s = trio.current_time()
        if is_stored:
            self._commits -= self._started[0]
            self._size_bytes -= self._started[1]
        else:
            self._not_before_s += RETRY_S
