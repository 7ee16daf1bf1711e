"""Asks a program's owner for its turns, at the instance where they arrive.

The owner is the first of the live instances by rendezvous. One that does not answer is passed over
for the next, which charges anew, so a turn that is asked for twice costs budget but never exceeds
it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.budgets import TurnCreditMeter
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._members import Members
from lagoonfold_gateway._messages import (
    BudgetSpent,
    Message,
    NotNow,
    OwnedBy,
    TurnAsk,
    TurnCover,
    TurnCredit,
    TurnEnd,
)
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

ASK_TIMEOUT_S = 0.8  # an owner that takes a program over needs the store once, which may be slow
COVER_TIMEOUT_S = 2.0  # a charge in a slow store
END_TIMEOUT_S = 0.5  # for each try to report a turn's end
MAX_END_TRIES = 4  # what is not reported counts at its most
RETRY_AFTER_S = 0.25  # a new owner is known by then
OUTAGE_RETRY_AFTER_S = 1.2  # outages of the store last seconds; callers repeat a turn a few times
RETRY_PAUSE_S = 0.1  # between asks while no owner can decide
MAX_REMEMBERED_OWNERS = 4_096  # programs under way at one instance, with room
MAX_OWNERS_ASKED = 4  # each costs a timeout; more are not lost at once

_log = EventLog("budgets")


@dataclass(slots=True, kw_only=True)
class TurnHold:
    """A turn that was admitted: the ask, its owner, and what it may hand out.

    `former` are earlier owners with the credit that each gave.
    """

    ask: TurnAsk
    owner: str
    tally: TurnCreditMeter
    former: list[tuple[str, int]] = field(default_factory=list)
    is_over: bool = False

    @property
    def former_credit(self) -> int:
        """The tokens that former owners have lent."""
        return sum(credit for _, credit in self.former)


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
        max_tokens: int,
        tokens_per_event: int,
        retention_s: float,
    ) -> Result[TurnHold, Refusal]:
        """Ask whether a turn may start; a refusal says that it has not run."""
        ask = TurnAsk(
            program=program,
            turn_id=turn_id,
            instance_id=self._bus.own_id,
            budget=budget,
            max_tokens=max_tokens,
            retention_s=retention_s,
            live=self._board.live.read().ids,
            unable=self._members.without_store(),
        )
        granted = await self._ask(ask, self._owners(program))
        if isinstance(granted, Err):
            return granted
        owner, credit = granted.ok_value
        tally = TurnCreditMeter(
            max_tokens=max_tokens, credit=credit, tokens_per_event=tokens_per_event
        )
        return Ok(TurnHold(ask=ask, owner=owner, tally=tally))

    async def _ask(self, ask: TurnAsk, owners: list[str]) -> Result[tuple[str, int], Refusal]:
        """Ask owners in turn; return who admitted the turn, and its credit."""
        reason = "no owner"
        retry_after_s = OUTAGE_RETRY_AFTER_S
        for _ in range(MAX_OWNERS_ASKED):
            if not owners:
                break
            owner = owners.pop(0)
            answer = await self._bus.call(owner, ask, timeout_s=ASK_TIMEOUT_S)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TurnCredit):
                self._remember(ask.program, owner)
                return Ok((owner, answer.ok_value.credit))
            if isinstance(answer, Ok) and isinstance(answer.ok_value, BudgetSpent):
                return Err(_spent(ask.program, answer.ok_value))
            if isinstance(answer, Ok) and isinstance(answer.ok_value, OwnedBy):
                if answer.ok_value.instance not in ask.unable:
                    owners.insert(0, answer.ok_value.instance)
                continue
            if not _is_unable(answer):
                retry_after_s = RETRY_AFTER_S
            reason = f"{owner}: {_reason(answer)}"
            _log.info("budget.owner_passed_over", program=ask.program, reason=reason)
        return Err(_undecided(ask.program, reason, retry_after_s))

    def _owners(self, program: str) -> list[str]:
        """Return whom to ask: the owner that decided last while it can, then by rendezvous."""
        owners = self._members.charging_owners_of(program)
        last = self._owner_by_program.get(program)
        if last in owners:
            owners.remove(last)
            owners.insert(0, last)
        unable = self._members.without_store()
        return sorted(owners, key=lambda name: name in unable)

    def _remember(self, program: str, owner: str) -> None:
        self._owner_by_program[program] = owner
        self._owner_by_program.move_to_end(program)
        while len(self._owner_by_program) > MAX_REMEMBERED_OWNERS:
            self._owner_by_program.popitem(last=False)

    async def cover(self, hold: TurnHold) -> None:
        """Raise the turn's credit by a step, unless the turn ends first."""
        before = hold.tally.credit
        message: Message = TurnCover(
            program=hold.ask.program, turn_id=hold.ask.turn_id, max_tokens=hold.ask.max_tokens
        )
        while hold.tally.credit == before and not hold.is_over:
            answer = await self._bus.call(hold.owner, message, timeout_s=COVER_TIMEOUT_S)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TurnCredit):
                credit = hold.former_credit + answer.ok_value.credit
                hold.tally.credit = max(before, credit)
            if hold.tally.credit == before and not hold.is_over:
                await self._move(hold, _reason(answer))

    async def _move(self, hold: TurnHold, reason: str) -> None:
        """Ask another owner for the rest of a turn that its owner cannot cover."""
        _log.info("budget.not_covered", program=hold.ask.program, owner=hold.owner, reason=reason)
        known = {hold.owner, *(owner for owner, _ in hold.former)}
        others = [owner for owner in self._owners(hold.ask.program) if owner not in known]
        rest = msgspec.structs.replace(
            hold.ask,
            max_tokens=hold.tally.max_tokens - hold.tally.credit,
            unable=tuple(sorted(known)),
        )
        moved = await self._ask(rest, others)
        if isinstance(moved, Err) or moved.ok_value[0] in known:
            await trio.sleep(RETRY_PAUSE_S)
            return
        hold.former.append((hold.owner, hold.tally.credit - hold.former_credit))
        hold.owner, credit = moved.ok_value
        hold.ask = rest
        hold.tally.credit += credit

    async def end_turn(self, hold: TurnHold) -> None:
        """Tell each owner what of the turn went out under its credit."""
        delivered_tokens = hold.tally.delivered_tokens
        for owner, credit in hold.former:
            await self._end_at(owner, hold, min(delivered_tokens, credit))
            delivered_tokens -= min(delivered_tokens, credit)
        await self._end_at(hold.owner, hold, delivered_tokens)

    async def _end_at(self, owner: str, hold: TurnHold, delivered_tokens: int) -> None:
        message = TurnEnd(
            program=hold.ask.program, turn_id=hold.ask.turn_id, delivered_tokens=delivered_tokens
        )
        for _ in range(MAX_END_TRIES):
            answer = await self._bus.call(owner, message, timeout_s=END_TIMEOUT_S)
            if isinstance(answer, Ok):
                return
            await trio.sleep(RETRY_PAUSE_S)
        _log.warning(
            "budget.end_not_told", program=hold.ask.program, owner=owner, handed=delivered_tokens
        )


def _reason(answer: Result[Message, PeerFault]) -> str:
    if isinstance(answer, Err):
        return answer.err_value.value
    return getattr(answer.ok_value, "reason", type(answer.ok_value).__name__)


def _is_unable(answer: Result[Message, PeerFault]) -> bool:
    """Tell whether an owner answered that it cannot decide, as it does without the store."""
    return isinstance(answer, Ok) and isinstance(answer.ok_value, NotNow)


def _spent(program: str, message: BudgetSpent) -> Refusal:
    return Refusal(
        kind=ErrorKind.BUDGET_EXHAUSTED,
        detail=f"program {program!r} has spent {message.spent} of {message.budget} tokens",
    )


def _undecided(program: str, reason: str, retry_after_s: float) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"the budget of program {program!r} cannot be decided now: {reason}",
        retry_after_s=retry_after_s,
    )
