"""Asks a program's owner for its turns, at the instance where they arrive.

The owner is the first of the live instances by rendezvous. One that does not answer is passed over
for the next, which charges anew, so a turn that is asked for twice costs budget but never exceeds
it.
"""

from collections import OrderedDict
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.budgets import TurnTally
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._members import Members
from lagoonfold_gateway._messages import (
    BudgetSpent,
    Message,
    OwnedBy,
    TurnAsk,
    TurnCover,
    TurnCredit,
    TurnEnd,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

ASK_TIMEOUT_S = 0.8  # an owner that takes a program over needs the store once, which may be slow
COVER_TIMEOUT_S = 2.0  # a charge in a slow store
END_TIMEOUT_S = 0.5  # for each try to report a turn's end
MAX_END_TRIES = 4  # what is not reported counts at its most
RETRY_PAUSE_S = 0.1  # between asks while no owner can decide
MAX_REMEMBERED_OWNERS = 4_096  # programs under way at one instance, with room
MAX_OWNERS_ASKED = 4  # each costs a timeout; more are not lost at once

_log = EventLog("budgets")


@dataclass(slots=True, kw_only=True)
class TurnHold:
    """A turn that was admitted: its owner and what it may hand out."""

    program: str
    turn_id: str
    owner: str
    tally: TurnTally
    is_over: bool = False


class BudgetDesk:
    """The asking side of budgets."""

    def __init__(self, board: GatewayBoard, bus: PeerBus, members: Members) -> None:
        self._board = board
        self._bus = bus
        self._members = members
        self._owner_by_program: OrderedDict[str, str] = OrderedDict()

    async def start_turn(
        self,
        *,
        program: str,
        turn_id: str,
        budget: int,
        most: int,
        tokens_per_event: int,
        retention_s: float,
    ) -> Result[TurnHold, Refusal]:
        """Ask whether a turn may start; a refusal says that it has not run."""
        ask = TurnAsk(
            program=program,
            turn_id=turn_id,
            front=self._bus.own_id,
            budget=budget,
            most=most,
            retention_s=retention_s,
            live=self._board.live.read().ids,
        )
        reason = "no owner"
        owners = self._owners(program)
        for _ in range(MAX_OWNERS_ASKED):
            if not owners:
                break
            owner = owners.pop(0)
            answer = await self._bus.call(owner, ask, timeout_s=ASK_TIMEOUT_S)
            if isinstance(answer, Err):
                reason = f"{owner}: {answer.err_value.value}"
                _log.info("budget.owner_passed_over", program=program, owner=owner, reason=reason)
                continue
            message = answer.ok_value
            if isinstance(message, TurnCredit):
                self._remember(program, owner)
                tally = TurnTally(
                    most=most, credit=message.credit, tokens_per_event=tokens_per_event
                )
                hold = TurnHold(program=program, turn_id=turn_id, owner=owner, tally=tally)
                return Ok(hold)
            if isinstance(message, BudgetSpent):
                return Err(_spent(program, message))
            if isinstance(message, OwnedBy):
                owners.insert(0, message.instance)
                continue
            reason = getattr(message, "reason", type(message).__name__)
            break
        return Err(_undecided(program, reason))

    def _owners(self, program: str) -> list[str]:
        """Return whom to ask: the owner that decided last while it lives, then by rendezvous."""
        owners = self._members.owners_of(program)
        last = self._owner_by_program.get(program)
        if last in owners:
            owners.remove(last)
            owners.insert(0, last)
        return owners

    def _remember(self, program: str, owner: str) -> None:
        self._owner_by_program[program] = owner
        self._owner_by_program.move_to_end(program)
        while len(self._owner_by_program) > MAX_REMEMBERED_OWNERS:
            self._owner_by_program.popitem(last=False)

    async def cover(self, hold: TurnHold) -> None:
        """Raise the turn's credit by a step, unless the turn ends first."""
        before = hold.tally.credit
        message: Message = TurnCover(
            program=hold.program, turn_id=hold.turn_id, most=hold.tally.most
        )
        while hold.tally.credit == before and not hold.is_over:
            answer = await self._bus.call(hold.owner, message, timeout_s=COVER_TIMEOUT_S)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TurnCredit):
                hold.tally.credit = max(before, answer.ok_value.credit)
            if hold.tally.credit == before and not hold.is_over:
                _log.info("budget.not_covered", program=hold.program, owner=hold.owner)
                await trio.sleep(RETRY_PAUSE_S)

    async def end_turn(self, hold: TurnHold) -> None:
        """Tell the owner what of a turn went out."""
        message = TurnEnd(program=hold.program, turn_id=hold.turn_id, handed=hold.tally.handed)
        for _ in range(MAX_END_TRIES):
            answer = await self._bus.call(hold.owner, message, timeout_s=END_TIMEOUT_S)
            if isinstance(answer, Ok):
                return
            await trio.sleep(RETRY_PAUSE_S)
        _log.warning(
            "budget.end_not_told",
            program=hold.program,
            owner=hold.owner,
            handed=hold.tally.handed,
            most=hold.tally.most,
        )


def _spent(program: str, message: BudgetSpent) -> Refusal:
    return Refusal(
        kind=ErrorKind.BUDGET_EXHAUSTED,
        detail=f"program {program!r} has spent {message.spent} of {message.budget} tokens",
    )


def _undecided(program: str, reason: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"the budget of program {program!r} cannot be decided now: {reason}",
        retry_after_s=0.25,
    )
