"""Gets a token of its client account for each call that arrives at this instance.

The account's owner (`_rate_owner`) grants it, at once or after a wait in the order of all calls of
the account.
"""

import itertools
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.forwarding import ClientAccount
from lagoonfold.rates import ProgramCall, TokenShortage
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import (
    Message,
    TokenGranted,
    TokenRefused,
    TokenRequest,
    TokenReturn,
)
from lagoonfold_gateway._peers import PeerBus

CALL_TIMEOUT_S = 0.15  # some hundred times the latency to a peer
HOLD_S = 0.2  # an owner answers at least as often while a call waits there
RETRY_PAUSE_S = 0.02  # while no owner answers
MIN_RETRY_AFTER_S = 0.05  # a caller's round trip takes as long anyway
OWNER_RETRY_AFTER_S = 0.2  # a lost owner is known by then
MAX_WAIT_SHARE = 0.4  # of a call's time, to wait for a token; the upstream needs the rest


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenReceipt:
    """A token that an owner has granted under a number of this instance."""

    account: str
    owner: str
    number: int


class RateLimiter:
    """Gets and returns the tokens of this instance's calls."""

    def __init__(self, bus: PeerBus, members: MemberController) -> None:
        self._bus = bus
        self._members = members
        self._numbers = itertools.count(1)

    async def acquire_token(
        self, account: ClientAccount, call: ProgramCall
    ) -> Result[TokenReceipt | None, Refusal]:
        """Acquire a token for a call before it is forwarded, waiting for it if necessary.

        An account without a limit needs none.
        """
        if account.limit is None:
            return Ok(None)
        began_s = now_s()
        while True:
            owner, number = self._members.owner(account.name), next(self._numbers)
            answer = await self._ask(owner, number, account.name, call, now_s() - began_s)
            if isinstance(answer, TokenGranted):
                return Ok(TokenReceipt(account=account.name, owner=owner, number=number))
            is_over = now_s() - began_s >= call.wait_s
            if isinstance(answer, TokenRefused):
                if is_over or answer.shortage != TokenShortage.WAITING.value:
                    return Err(_rate_exceeded(account.name, answer.retry_after_s))
            elif is_over:
                return Err(_owner_unavailable(account.name))
            else:
                await trio.sleep(RETRY_PAUSE_S)

    def give_back(self, receipt: TokenReceipt, *, exhausted_program: str | None = None) -> None:
        """Return the token of a call that was refused before it was forwarded.

        `exhausted_program` is the call's program if its budget could not hold the call.
        """
        self._return(receipt.owner, receipt.account, receipt.number, exhausted_program)

    async def _ask(
        self, owner: str, number: int, account: str, call: ProgramCall, waited_s: float
    ) -> Message | None:
        """Ask the owner for a token, after a call has waited; return None without an answer."""
        left_s = max(0.0, call.wait_s - waited_s)
        request = TokenRequest(
            instance=self._bus.own_id,
            number=number,
            account=account,
            program=call.program_id,
            is_turn=call.is_turn,
            wait_s=left_s,
            time_left_s=None if call.time_left_s is None else call.time_left_s - waited_s,
            hold_s=min(HOLD_S, left_s),
        )
        try:
            answer = await self._bus.call(owner, request, timeout_s=HOLD_S + CALL_TIMEOUT_S)
        except trio.Cancelled:
            self._return(owner, account, number)
            raise
        if isinstance(answer, Err):
            self._return(owner, account, number)
            return None
        return answer.ok_value

    def _return(
        self, owner: str, account: str, number: int, exhausted_program: str | None = None
    ) -> None:
        message = TokenReturn(
            instance=self._bus.own_id,
            number=number,
            account=account,
            exhausted_program=exhausted_program,
        )
        self._bus.post(owner, message)


def _rate_exceeded(account: str, retry_after_s: float) -> Refusal:
    return Refusal(
        kind=ErrorKind.RATE_EXCEEDED,
        detail=f"client account {account!r} is over its rate",
        retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s),
    )


def _owner_unavailable(account: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"no instance can grant tokens of client account {account!r} now",
        retry_after_s=OWNER_RETRY_AFTER_S,
    )
