"""Client side of program budgets, at the instance where a program's turns arrive.

A program's owner is its first initial member while that one lives, otherwise the first live
instance by rendezvous hashing. If it does not answer, the next one takes over and charges the turn
again. A turn that is requested twice may therefore be charged
twice, but it never exceeds the budget.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.budgets import TurnCreditMeter
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import (
    BudgetExhausted,
    Message,
    OwnerRedirect,
    OwnerUnavailable,
    TurnCredit,
    TurnCreditRequest,
    TurnEnd,
    TurnRequest,
    type_name,
)
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

REQUEST_TIMEOUT_S = 0.8  # a takeover needs one call to the store, which may be slow
CREDIT_TIMEOUT_S = 2.0  # the owner may need a charge in a slow store
END_TIMEOUT_S = 0.5  # per attempt to report a turn's end
MAX_END_ATTEMPTS = 4  # a turn whose end is not reported counts with its max_tokens
RETRY_AFTER_S = 0.25  # a new owner is known by then
OUTAGE_RETRY_AFTER_S = 1.2  # outages last seconds, and callers repeat a turn only a few times
RETRY_PAUSE_S = 0.1  # between requests while no owner is available; doubles for a running turn
MAX_RETRY_PAUSE_S = 0.4  # a part of a turn's time
MANY_WITHOUT_STORE = 2  # one owner may be cut off alone; two hardly are at once
PATIENCE_S = 0.5  # with so many known, a turn that was held longer is refused
MAX_REMEMBERED_OWNERS = 4_096  # more than the running programs of one instance
MAX_OWNERS_PER_REQUEST = 4  # each lost one costs a timeout; more are not lost at once

_log = EventLog("budgets")


@dataclass(slots=True, kw_only=True)
class AdmittedTurn:
    """An admitted turn: its request, its owner and its credit.

    `former_owners` are the earlier owners, each with the credit that it granted.
    """

    request: TurnRequest
    owner: str
    credit_meter: TurnCreditMeter
    former_owners: list[tuple[str, int]] = field(default_factory=list)
    has_ended: bool = False

    @property
    def former_credit(self) -> int:
        """Return the credit granted by former owners, in tokens."""
        return sum(credit for _, credit in self.former_owners)


class BudgetClient:
    """Requests admission and credit for turns from the owners of their programs."""

    def __init__(self, bus: PeerBus, members: MemberController) -> None:
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
        retention_s: float,
    ) -> Result[AdmittedTurn, Refusal]:
        """Request admission of a turn; if it is refused, it has not run.

        Its events count as one token each until the service that serves it is known.
        """
        request = TurnRequest(
            program=program,
            turn_id=turn_id,
            instance_id=self._bus.own_id,
            budget=budget,
            max_tokens=max_tokens,
            retention_s=retention_s,
            initial_members=(self._members.initial_members.digest,),
            unavailable_owners=self._members.instances_without_store(),
        )
        granted = await self._request_turn(request, self._ranked_owners(program))
        if isinstance(granted, Err):
            return granted
        owner, credit = granted.ok_value
        credit_meter = TurnCreditMeter(max_tokens=max_tokens, credit=credit, tokens_per_event=1)
        return Ok(AdmittedTurn(request=request, owner=owner, credit_meter=credit_meter))

    async def _request_turn(
        self, request: TurnRequest, owners: list[str]
    ) -> Result[tuple[str, int], Refusal]:
        """Request admission from the owners in order; return the admitting owner and its credit."""
        reason = "no owner"
        began_s = now_s()
        retry_after_s = OUTAGE_RETRY_AFTER_S
        for _ in range(MAX_OWNERS_PER_REQUEST):
            if not owners:
                break
            owner = owners.pop(0)
            answer = await self._bus.call(owner, request, timeout_s=REQUEST_TIMEOUT_S)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TurnCredit):
                self._remember(request.program, owner)
                return Ok((owner, answer.ok_value.credit))
            if isinstance(answer, Ok) and isinstance(answer.ok_value, BudgetExhausted):
                return Err(_budget_exhausted(request.program, answer.ok_value))
            if isinstance(answer, Ok) and isinstance(answer.ok_value, OwnerRedirect):
                if answer.ok_value.instance not in request.unavailable_owners:
                    owners.insert(0, answer.ok_value.instance)
                continue
            if _is_unavailable(answer):
                self._members.record_without_store(owner)
            else:
                retry_after_s = RETRY_AFTER_S
            reason = f"{owner}: {_reason(answer)}"
            _log.info("budget.owner_passed_over", program=request.program, reason=reason)
            if now_s() - began_s > PATIENCE_S and self._is_store_probably_away():
                break
        return Err(_owner_unavailable(request.program, reason, retry_after_s))

    def _ranked_owners(self, program: str) -> list[str]:
        """Return the owners to ask, in order.

        The owner that decided last comes first, then the initial owner, which may need no charge.
        Both may have credit left while they don't reach the store; other owners that don't reach it
        come last.
        """
        without_store = self._members.instances_without_store()
        owners = self._members.ranked_owners(program)
        owners.sort(key=lambda owner: owner in without_store)
        for first in (self._members.initial_owner(program), self._owner_by_program.get(program)):
            if first in owners:
                owners.remove(first)
                owners.insert(0, first)
        return owners

    def _is_store_probably_away(self) -> bool:
        """Return whether other owners would not reach the store either."""
        return len(self._members.instances_without_store()) >= MANY_WITHOUT_STORE

    def _remember(self, program: str, owner: str) -> None:
        self._owner_by_program[program] = owner
        self._owner_by_program.move_to_end(program)
        while len(self._owner_by_program) > MAX_REMEMBERED_OWNERS:
            self._owner_by_program.popitem(last=False)

    async def request_more_credit(self, turn: AdmittedTurn) -> None:
        """Raise the turn's credit by a step, at another owner if necessary.

        Return when the credit has been raised or the turn has ended.
        """
        before = turn.credit_meter.credit
        pause_s = RETRY_PAUSE_S
        message: Message = TurnCreditRequest(
            program=turn.request.program,
            turn_id=turn.request.turn_id,
            max_tokens=turn.request.max_tokens,
        )
        while turn.credit_meter.credit == before and not turn.has_ended:
            answer = await self._bus.call(turn.owner, message, timeout_s=CREDIT_TIMEOUT_S)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TurnCredit):
                credit = turn.former_credit + answer.ok_value.credit
                turn.credit_meter.credit = max(before, credit)
            if turn.credit_meter.credit == before and not turn.has_ended:
                if not await self._switch_owner(turn, _reason(answer)):
                    await trio.sleep(pause_s)
                    pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)

    async def _switch_owner(self, turn: AdmittedTurn, reason: str) -> bool:
        """Request the rest of a turn from another owner, as its owner did not raise the credit.

        Return whether another owner has admitted it.
        """
        _log.info(
            "budget.not_covered", program=turn.request.program, owner=turn.owner, reason=reason
        )
        known = {turn.owner, *(owner for owner, _ in turn.former_owners)}
        others = [
            owner for owner in self._ranked_owners(turn.request.program) if owner not in known
        ]
        rest = msgspec.structs.replace(
            turn.request,
            max_tokens=turn.credit_meter.max_tokens - turn.credit_meter.credit,
            unavailable_owners=tuple(sorted(known)),
        )
        moved = await self._request_turn(rest, others)
        if isinstance(moved, Err) or moved.ok_value[0] in known:
            return False
        turn.former_owners.append((turn.owner, turn.credit_meter.credit - turn.former_credit))
        turn.owner, credit = moved.ok_value
        turn.request = rest
        turn.credit_meter.credit += credit
        return True

    async def end_turn(self, turn: AdmittedTurn) -> None:
        """Report to each owner the tokens that were delivered under its credit."""
        delivered_tokens = turn.credit_meter.delivered_tokens
        for owner, credit in turn.former_owners:
            await self._send_end(owner, turn, min(delivered_tokens, credit))
            delivered_tokens -= min(delivered_tokens, credit)
        await self._send_end(turn.owner, turn, delivered_tokens)

    async def _send_end(self, owner: str, turn: AdmittedTurn, delivered_tokens: int) -> None:
        message = TurnEnd(
            program=turn.request.program,
            turn_id=turn.request.turn_id,
            delivered_tokens=delivered_tokens,
        )
        for _ in range(MAX_END_ATTEMPTS):
            answer = await self._bus.call(owner, message, timeout_s=END_TIMEOUT_S)
            if isinstance(answer, Ok):
                return
            await trio.sleep(RETRY_PAUSE_S)
        _log.warning(
            "budget.end_not_told",
            program=turn.request.program,
            owner=owner,
            handed=delivered_tokens,
        )


def _reason(answer: Result[Message, PeerFault]) -> str:
    if isinstance(answer, Err):
        return answer.err_value.value
    return getattr(answer.ok_value, "reason", type_name(answer.ok_value))


def _is_unavailable(answer: Result[Message, PeerFault]) -> bool:
    """Return whether an owner answered that it cannot decide, as it does without the store."""
    return isinstance(answer, Ok) and isinstance(answer.ok_value, OwnerUnavailable)


def _budget_exhausted(program: str, message: BudgetExhausted) -> Refusal:
    return Refusal(
        kind=ErrorKind.BUDGET_EXHAUSTED,
        detail=f"program {program!r} has spent {message.spent} of {message.budget} tokens",
    )


def _owner_unavailable(program: str, reason: str, retry_after_s: float) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"the budget of program {program!r} cannot be decided now: {reason}",
        retry_after_s=retry_after_s,
    )
