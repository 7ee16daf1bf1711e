"""Writes log lines to a file descriptor without ever waiting for its reader.

The number of lines a second is limited for each event. Lines beyond the limit, and lines that a
stalled reader leaves no space for, are dropped and counted; `pop_dropped_count` returns the count
for the event's next line.
"""

import os
import select
from dataclasses import dataclass

MAX_LINES_PER_EVENT_PER_S = 100  # ten times an instance's requests under the heaviest workload
MAX_LINE_BYTES = 4_096  # PIPE_BUF on Linux: a pipe accepts such a write whole or not at all


@dataclass(slots=True)
class _EventRate:
    second: int = 0
    written: int = 0
    left_out: int = 0


class LineWriter:
    """Writes lines, with a rate limit for each event name.

    writer = LineWriter(1)
    if writer.reserve_line("request.done", now_s=time.monotonic()):
        writer.write("request.done", line)
    """

    def __init__(self, fileno: int, *, max_per_s: int = MAX_LINES_PER_EVENT_PER_S) -> None:
        self._fileno = fileno
        self._max_per_s = max_per_s
        self._rate_by_event: dict[str, _EventRate] = {}
        self._poll = select.poll()
        self._poll.register(fileno, select.POLLOUT)

    def reserve_line(self, event: str, *, now_s: float) -> bool:
        """Return whether the event may write a line in this second; if not, count it as dropped."""
        rate = self._rate_by_event.setdefault(event, _EventRate())
        if int(now_s) != rate.second:
            rate.second = int(now_s)
            rate.written = 0
        if rate.written >= self._max_per_s:
            rate.left_out += 1
            return False
        rate.written += 1
        return True

    def pop_dropped_count(self, event: str) -> int:
        """Return how many lines of the event were dropped since the last call."""
        rate = self._rate_by_event.setdefault(event, _EventRate())
        count, rate.left_out = rate.left_out, 0
        return count

    def write(self, event: str, line: bytes) -> None:
        """Write a line, cut to `MAX_LINE_BYTES`; if it would block, drop and count it."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self._rate_by_event.setdefault(event, _EventRate()).left_out += 1
            return
        try:
            os.write(self._fileno, line[: MAX_LINE_BYTES - 1] + b"\n")
        except OSError:
            self._rate_by_event.setdefault(event, _EventRate()).left_out += 1
