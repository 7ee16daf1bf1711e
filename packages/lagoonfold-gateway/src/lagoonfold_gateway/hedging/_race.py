"""Runs attempts of a request side by side until one of them has a valid head.

That one goes on alone and answers the caller; the others are cancelled, which closes their
connections.
"""

from collections.abc import Awaitable, Callable, Iterator
from typing import Generic, TypeVar

import trio

from lagoonfold_io.observe import EventLog

T = TypeVar("T")

_log = EventLog("hedging")


class Claim:
    """An attempt's claim to answer the request; of several attempts only one can be accepted.

    `is_overtaken` is set for an attempt that was cancelled since another one is accepted;
    `on_accepted` is called once it is accepted itself.

    claim = Claim()           # of the only attempt
    await claim.accept()      # before anything is sent to the caller
    """

    def __init__(self, race: "AttemptRace | None" = None) -> None:
        self._race = race
        self.scope = trio.CancelScope()
        self.is_accepted = False
        self.is_overtaken = False
        self.on_accepted: Callable[[], None] = lambda: None

    async def accept(self) -> None:
        """Accept the attempt and cancel all others; this one is cancelled if it comes too late."""
        if self.is_overtaken:
            await trio.lowlevel.checkpoint()
        self.is_accepted = True
        if self._race is not None:
            self._race.cancel_others(self)
        self.on_accepted()


class AttemptRace(Generic[T]):
    """One race; an attempt gets its claim and returns how it ended, None if it was not made.

    `results` are those of the attempts that were not cancelled; that of the accepted one is last.

    race = AttemptRace()
    await race.run(first, second, after_s=0.08)
    """

    def __init__(self) -> None:
        self.results: list[T] = []
        self._claims: list[Claim] = []
        self._is_decided = trio.Event()

    async def run(
        self,
        first: Callable[[Claim], Awaitable[T | None]],
        second: Callable[[Claim], Awaitable[T | None]],
        *,
        after_s: float,
    ) -> None:
        """Run an attempt, and another if the first is neither accepted nor over in time."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_one, first)
                with trio.move_on_after(after_s):
                    await self._is_decided.wait()
                if not self._is_decided.is_set():
                    await self._run_one(second)
        except BaseExceptionGroup as group:
            raise _main_error(group) from None

    def cancel_others(self, accepted: Claim) -> None:
        """Cancel all attempts but the accepted one."""
        self._is_decided.set()
        for claim in self._claims:
            if claim is not accepted:
                claim.is_overtaken = True
                claim.scope.cancel()

    async def _run_one(self, attempt: Callable[[Claim], Awaitable[T | None]]) -> None:
        claim = Claim(self)
        self._claims.append(claim)
        with claim.scope:
            ended = await attempt(claim)
            if ended is not None:
                at = len(self.results) if claim.is_accepted or not self._has_accepted() else 0
                self.results.insert(at, ended)
        self._is_decided.set()

    def _has_accepted(self) -> bool:
        return any(claim.is_accepted for claim in self._claims)


def _main_error(group: BaseExceptionGroup) -> BaseException:
    """Return the error that the nursery has wrapped, as if the attempt had run without one."""
    errors = list(_leaves(group))
    failed = [error for error in errors if not isinstance(error, trio.Cancelled)]
    for error in failed[1:]:
        _log.error("hedging.second_error", error)
    return failed[0] if failed else errors[0]


def _leaves(group: BaseExceptionGroup) -> Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error
