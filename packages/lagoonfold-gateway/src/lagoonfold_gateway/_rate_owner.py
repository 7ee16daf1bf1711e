"""Owner side of client accounts' rates: grants a token to each call, in the order of the programs.

Reads `config` and `live`. An account's owner is the first live instance by rendezvous hashing. An
owner that may be cut off from the other instances grants nothing, since one of them may have taken
over the account. A new owner starts from an empty bucket, and so does one that was away or has
dropped the account. See `lagoonfold.rates` for the bound.
"""

import math
from collections import OrderedDict
from collections.abc import Awaitable
from dataclasses import dataclass, field

import trio
from result import Err

from lagoonfold.rates import ProgramCall, QuotaTerms, RateLimit, TokenQueue, TokenShortage
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._board import ConfigView, GatewayBoard, LiveView
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import (
    Ack,
    Message,
    OwnerUnavailable,
    TokenGranted,
    TokenRefused,
    TokenRequest,
    TokenReturn,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

MIN_GRANT_PAUSE_S = 0.002  # timers fire late by about as much
MAX_DROPPED = 4_096  # accounts that may come back; more than there are
MAX_GRANT_PAUSE_S = 0.05  # tokens that are given back are granted without notice

_log = EventLog("rates")

_Key = tuple[str, int]


@dataclass(slots=True, eq=False)
class _WaitingCall:
    key: _Key
    granted: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True, eq=False)
class _OwnedAccount:
    """An account's queue, and when the calls of the last window got their tokens."""

    name: str
    queue: TokenQueue[_WaitingCall]
    window_s: float
    granted_s_by_key: OrderedDict[_Key, float] = field(default_factory=OrderedDict)
    is_granting: bool = False

    def record_granted(self, key: _Key, *, at_s: float) -> None:
        self.granted_s_by_key[key] = at_s
        while next(iter(self.granted_s_by_key.values())) < at_s - self.window_s:
            self.granted_s_by_key.popitem(last=False)


class RateOwner:
    """Grants the tokens of the accounts that this instance owns."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        members: MemberController,
        nursery: TaskStarter,
        terms: QuotaTerms,
        *,
        is_first_start: bool,
    ) -> None:
        self._board = board
        self._members = members
        self._nursery = nursery
        self._terms = terms
        self._is_first_start = is_first_start
        self._owned_by_account: dict[str, _OwnedAccount] = {}
        self._dropped_s_by_account: dict[str, float] = {}
        self._away_until_s = -math.inf
        self._scope_by_key: dict[_Key, trio.CancelScope] = {}
        bus.register_handler(TokenRequest)(self._handle_request)
        bus.register_handler(TokenReturn)(self._handle_return)
        board.config.subscribe(self._apply_limits)
        board.live.subscribe(self._drop_unowned)
        members.presence.subscribe(self._drop_all)

    def snapshot(self, account: str) -> TokenQueue[object] | None:
        """Return a copy of the queue that an account has or would get here, for an explanation.

        What it decides changes nothing here. None if the account has no limit.
        """
        owned = self._owned_by_account.get(account)
        if owned is not None:
            return owned.queue.snapshot()
        limit = _limits_by_account(self._board.config.read()).get(account)
        return self._make_queue(account, limit)[0] if limit is not None else None

    def _handle_request(self, request: Message) -> Message | Awaitable[Message]:
        assert isinstance(request, TokenRequest)
        if not self._members.owns(request.account) or self._members.is_isolated():
            self._drop(request.account)
            return OwnerUnavailable(reason="not the owner")
        owned = self._owned_account(request.account)
        if owned is None:
            return OwnerUnavailable(reason="no such account")
        call = ProgramCall(
            program_id=request.program,
            is_turn=request.is_turn,
            wait_s=request.wait_s,
            time_left_s=request.time_left_s,
        )
        waiting, now = _WaitingCall((request.instance, request.number)), now_s()
        asked = owned.queue.request(waiting, call, now_s=now)
        if isinstance(asked, Err):
            refusal = asked.err_value
            self._log_refusal(request, owned.queue, refusal.shortage)
            return TokenRefused(
                shortage=refusal.shortage.value, retry_after_s=refusal.retry_after_s
            )
        if not asked.ok_value:
            return self._wait(request, owned, waiting)
        owned.record_granted(waiting.key, at_s=now)
        return TokenGranted()

    async def _wait(
        self, request: TokenRequest, owned: _OwnedAccount, waiting: _WaitingCall
    ) -> Message:
        """Wait for a token for up to `hold_s`, and return the answer."""
        self._start_granting(owned)
        scope = self._scope_by_key[waiting.key] = trio.move_on_after(request.hold_s)
        try:
            with scope:
                await waiting.granted.wait()
        finally:
            del self._scope_by_key[waiting.key]
            owned.queue.withdraw(waiting)
        if waiting.granted.is_set():
            return TokenGranted()
        retry_after_s = owned.queue.next_grant_s(now_s=now_s())
        return TokenRefused(shortage=TokenShortage.WAITING.value, retry_after_s=retry_after_s)

    def _start_granting(self, owned: _OwnedAccount) -> None:
        if not owned.is_granting:
            owned.is_granting = True
            self._nursery.start_soon(self._grant, owned)

    async def _grant(self, owned: _OwnedAccount) -> None:
        """Grant tokens as they become available, until no call waits or the account is dropped."""
        try:
            while len(owned.queue):
                pause_s = owned.queue.next_grant_s(now_s=now_s())
                await trio.sleep(max(MIN_GRANT_PAUSE_S, min(MAX_GRANT_PAUSE_S, pause_s)))
                is_owner = self._members.owns(owned.name)
                if not is_owner or self._owned_by_account.get(owned.name) is not owned:
                    return
                now = now_s()
                for waiting in owned.queue.grant(now_s=now):
                    owned.record_granted(waiting.key, at_s=now)
                    waiting.granted.set()
        finally:
            owned.is_granting = False

    def _handle_return(self, message: Message) -> Message:
        """Take back the token of a call that is not forwarded, or end its wait.

        A call that got no token here gives none back: its request may have been refused or lost.
        """
        assert isinstance(message, TokenReturn)
        owned = self._owned_by_account.get(message.account)
        key = (message.instance, message.number)
        scope = self._scope_by_key.get(key)
        if scope is not None:
            scope.cancel()
        elif owned is not None and (taken_s := owned.granted_s_by_key.pop(key, None)) is not None:
            owned.queue.give_back(taken_s=taken_s, now_s=now_s())
        if owned is not None and message.exhausted_program is not None:
            owned.queue.mark_budget_exhausted(message.exhausted_program)
        return Ack()

    @staticmethod
    def _log_refusal(
        request: TokenRequest, queue: TokenQueue[_WaitingCall], shortage: TokenShortage
    ) -> None:
        now = now_s()
        _log.info(
            "rate.short",
            account=request.account,
            instance_asking=request.instance,
            program=request.program,
            committed=queue.is_committed(request.program),
            cause=shortage.value,
            tokens_left=round(queue.available(now_s=now), 1),
            reserved=round(queue.reserved(now_s=now), 1),
            waiting=len(queue),
            rate_per_s=queue.limit.rate_per_s,
            burst=queue.limit.burst,
        )

    def _owned_account(self, account: str) -> _OwnedAccount | None:
        owned = self._owned_by_account.get(account)
        if owned is not None:
            return owned
        limit = _limits_by_account(self._board.config.read()).get(account)
        if limit is None:
            return None
        queue, is_new = self._make_queue(account, limit)
        self._dropped_s_by_account.pop(account, None)
        owned = _OwnedAccount(account, queue, self._terms.window_s)
        self._owned_by_account[account] = owned
        _log.info(
            "rate.owned",
            account=account,
            is_new=is_new,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
        )
        return owned

    def _make_queue(self, account: str, limit: RateLimit) -> tuple[TokenQueue[_WaitingCall], bool]:
        """Return the queue of an account that begins to be owned now, and whether it is new."""
        live = self._board.live.read()
        empty_s = max(self._away_until_s, self._dropped_s_by_account.get(account, -math.inf))
        is_new = self._is_first_start and live.is_stable_since_start and empty_s == -math.inf
        owned_s = now_s() if is_new else max(empty_s, live.since_s)
        return TokenQueue(limit, self._terms, now_s=owned_s, is_new=is_new), is_new

    def _drop_unowned(self, live: LiveView) -> None:
        """Drop the accounts that another instance owns now."""
        for account in tuple(self._owned_by_account):
            if not self._members.owns(account):
                self._drop(account)
                _log.info("rate.handed_over", account=account, live=len(live.ids))

    def _drop_all(self) -> None:
        """Drop all accounts, of which others may have granted tokens while this instance was away.

        What it takes over anew starts from an empty bucket.
        """
        self._away_until_s = now_s()
        if self._owned_by_account:
            _log.info("rate.dropped", accounts=len(self._owned_by_account))
        self._owned_by_account.clear()

    def _drop(self, account: str) -> None:
        if self._owned_by_account.pop(account, None) is not None:
            self._dropped_s_by_account[account] = now_s()
            if len(self._dropped_s_by_account) > MAX_DROPPED:
                del self._dropped_s_by_account[next(iter(self._dropped_s_by_account))]

    def _apply_limits(self, view: ConfigView | None) -> None:
        limits = _limits_by_account(view)
        for account, owned in tuple(self._owned_by_account.items()):
            limit = limits.get(account)
            if limit is None:
                self._drop(account)
            elif limit != owned.queue.limit:
                owned.queue.change_limit(limit, now_s=now_s())
                _log.info(
                    "rate.limit_changed",
                    account=account,
                    rate_per_s=limit.rate_per_s,
                    burst=limit.burst,
                    config_version=view.config.version if view is not None else None,
                )


def _limits_by_account(view: ConfigView | None) -> dict[str, RateLimit]:
    accounts = (view.config.accounts_by_key or {}).values() if view is not None else ()
    return {account.name: account.limit for account in accounts if account.limit is not None}
