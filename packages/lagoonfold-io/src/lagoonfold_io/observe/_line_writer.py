"""Writes log lines to a descriptor without ever waiting for its reader.

Each event has a number of lines a second; what is beyond it is left out and counted, and so is what
a reader that has stopped does not take. The count is written with the next line of the event.
"""

import os
import select
from dataclasses import dataclass

MAX_LINES_PER_EVENT_PER_S = 100  # ten times an instance's requests on the heaviest sheet
MAX_LINE_BYTES = 4_096  # a pipe takes a write of this size whole or not at all


@dataclass(slots=True)
class _EventRate:
    second: int = 0
    written: int = 0
    left_out: int = 0


class LineWriter:
    """Bounded output of lines, by event name.

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
        """Tell whether the event has a line left in this second, and count it if not."""
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
        """Return how many lines of the event were left out since the last line, and forget it."""
        rate = self._rate_by_event.setdefault(event, _EventRate())
        count, rate.left_out = rate.left_out, 0
        return count

    def write(self, event: str, line: bytes) -> None:
        """Write a line if the reader takes it at once; count it as left out otherwise."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self._rate_by_event.setdefault(event, _EventRate()).left_out += 1
            return
        try:
            os.write(self._fileno, line[: MAX_LINE_BYTES - 1] + b"\n")
        except OSError:
            self._rate_by_event.setdefault(event, _EventRate()).left_out += 1
