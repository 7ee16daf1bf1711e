"""How many calls each program has made at this instance."""

from collections import OrderedDict

MAX_PROGRAMS = 4_096  # programs under way at one instance, with room for those that have ended


class CallCounts:
    """Calls by program, of the programs that called last."""

    def __init__(self) -> None:
        self._count_by_program: OrderedDict[str, int] = OrderedDict()

    def add(self, program: str) -> int:
        """Count a call; return how many there were before it."""
        before = self._count_by_program.pop(program, 0)
        self._count_by_program[program] = before + 1
        while len(self._count_by_program) > MAX_PROGRAMS:
            self._count_by_program.popitem(last=False)
        return before
