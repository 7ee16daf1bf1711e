"""Remembers the programs that got credit before their first charge, so that none gets it twice.

Such credit has no record in the store. If a program's first owner freezes, another one may take the
program over and keep it in use long after the first one has seen its last turn. So the first owner
may forget a program only when its retention is over and the store holds no record of it: another
owner removes its record when the program's retention is over there.

    grants = FirstGrants()
    grants.record("p", retention_s=60.0, now_s=0.0)
    grants.due(now_s=61.0, at_most=16)    # ["p"], to be looked up in the store
    grants.keep("p", now_s=61.0)          # it has a record
"""

from collections.abc import Container
from dataclasses import dataclass


@dataclass(slots=True)
class _Grant:
    retention_s: float
    seen_s: float


class FirstGrants:
    """The programs of one instance; times are in seconds."""

    def __init__(self) -> None:
        self._grant_by_program: dict[str, _Grant] = {}

    def __contains__(self, program: str) -> bool:
        return program in self._grant_by_program

    def record(self, program: str, *, retention_s: float, now_s: float) -> None:
        """Record that a program has got credit without a charge."""
        self._grant_by_program[program] = _Grant(retention_s, now_s)

    def keep(self, program: str, *, now_s: float) -> None:
        """Remember a program for its retention from now on, as another owner may use it."""
        grant = self._grant_by_program.get(program)
        if grant is not None:
            grant.seen_s = now_s

    def due(self, *, now_s: float, at_most: int, in_use: Container[str] = ()) -> list[str]:
        """Return up to `at_most` programs that are not in use and whose retention is over."""
        over = (
            program
            for program, grant in self._grant_by_program.items()
            if program not in in_use and now_s - grant.seen_s > grant.retention_s
        )
        return [program for program, _ in zip(over, range(at_most), strict=False)]

    def forget(self, program: str) -> None:
        """Forget a program that no other owner has used."""
        self._grant_by_program.pop(program, None)
