"""The node's rate limiter, over a bus that calls the handlers directly."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from result import Err, Ok, Result

from lagoonfold import AccountId, ErrorKind, InstanceId, Refusal
from lagoonfold.config import Account
from lagoonfold_node._peers import HANDLERS_BY_TYPE, PeerMessage, peer_unavailable_refusal
from lagoonfold_node._rates import Lenders, LendingRight, RateLimiter
from tests._suite import load_functions

_ACCOUNT = AccountId("a")
_OWNER = InstanceId("i-0")


class _Call:
    def __init__(self, sender: InstanceId) -> None:
        self.sender = sender
        self.answer: PeerMessage | None = None

    def reply(self, message: PeerMessage) -> None:
        self.answer = message


class _Bus:
    def __init__(self, fleet: "_Fleet", instance_id: InstanceId) -> None:
        self._fleet = fleet
        self._instance_id = instance_id

    async def request(
        self, peer: InstanceId, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, Refusal]:
        if self._fleet.is_network_down:
            await trio.sleep(timeout_s)
            self._fleet.on_unanswered()
            return Err(peer_unavailable_refusal(peer, "cut off"))
        await trio.sleep(self._fleet.delay_s)
        self._fleet.requests += 1
        call = _Call(self._instance_id)
        await HANDLERS_BY_TYPE[type(message)](self._fleet.nodes[peer], call, message)
        return Ok(call.answer)

    def send(self, peer: InstanceId, message: PeerMessage) -> None:
        if not self._fleet.is_network_down:
            handler = HANDLERS_BY_TYPE[type(message)](
                self._fleet.nodes[peer], _Call(self._instance_id), message
            )
            self._fleet.nursery.start_soon(lambda: handler)


class _Owners:
    def __init__(self, fleet: "_Fleet", instance_id: InstanceId) -> None:
        self._fleet = fleet
        self._instance_id = instance_id

    def owner_of(self, account_id: AccountId) -> InstanceId | None:
        return _OWNER

    def owner_lookup_refusal(self) -> Refusal | None:
        return self._fleet.cut_off

    def lending_right(self, account_id: AccountId) -> LendingRight | None:
        if self._instance_id != _OWNER:
            return None
        return LendingRight(epoch=1, since_s=self._fleet.owned_since_s)


class _Node:
    def __init__(self, rates: RateLimiter) -> None:
        self.rates = rates


class _Fleet:
    """Three instances, one of which owns the account."""

    def __init__(self, nursery: trio.Nursery, account: Account, owned_for_s: float) -> None:
        self.nursery = nursery
        self.requests = 0
        self.is_network_down = False
        self.cut_off: Refusal | None = None
        self.delay_s = 0.001
        self.on_unanswered: Callable[[], None] = lambda: None
        self.owned_since_s = trio.current_time() - owned_for_s
        self.nodes: dict[InstanceId, Any] = {}
        for number in range(3):
            instance_id = InstanceId(f"i-{number}")
            owners = _Owners(self, instance_id)
            lenders = Lenders(owners, {_ACCOUNT: account}.get)
            limiter = RateLimiter(instance_id, _Bus(self, instance_id), owners, lenders)
            self.nodes[instance_id] = _Node(limiter)
            nursery.start_soon(limiter.run)

    async def admit(self, number: int) -> Result[None, Refusal]:
        return await self.nodes[InstanceId(f"i-{number}")].rates.admit(_ACCOUNT)


def _with_fleet(
    check: Callable[[_Fleet], Awaitable[None]],
    *,
    rate_per_s: float = 100.0,
    burst: int = 50,
    owned_for_s: float = 100.0,
) -> None:
    account = Account(account_id=_ACCOUNT, rate_per_s=rate_per_s, burst=burst)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            await check(_Fleet(nursery, account, owned_for_s))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_single_busy_instance_uses_the_whole_rate() -> None:
    """One instance admits all calls at the rate, with far fewer loan requests than calls."""

    async def check(fleet: _Fleet) -> None:
        for _ in range(500):
            assert (await fleet.admit(1)).is_ok()
            await trio.sleep(0.0105)
        assert fleet.requests < 150

    _with_fleet(check)


def test_unused_tokens_move_to_where_they_are_needed() -> None:
    """A burst at one instance can use the tokens that a burst at another just left."""

    async def check(fleet: _Fleet) -> None:
        for _ in range(20):
            assert (await fleet.admit(1)).is_ok()
        for _ in range(25):
            assert (await fleet.admit(2)).is_ok()

    _with_fleet(check, rate_per_s=1.0)


def test_slow_owner_refuses_nobody_within_the_rate() -> None:
    """Calls that share a loan too small for all of them request another and are admitted."""

    async def check(fleet: _Fleet) -> None:
        fleet.delay_s = 0.12
        outcomes = []

        async def admit() -> None:
            outcomes.append(await fleet.admit(1))

        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(admit)
                await trio.sleep(0.002)
        assert [outcome.is_ok() for outcome in outcomes] == [True] * 40

    _with_fleet(check)


def test_over_the_burst_is_refused_with_the_wait() -> None:
    """A call beyond rate and burst is refused as not run, with the time to retry after."""

    async def check(fleet: _Fleet) -> None:
        outcomes = [await fleet.admit(1) for _ in range(20)]
        refusals = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]
        assert len(refusals) == 10
        assert refusals[0].kind is ErrorKind.RATE_EXCEEDED
        assert 0.1 < refusals[0].retry_after_s <= 1.0

    _with_fleet(check, rate_per_s=1.0, burst=10)


def test_missing_owner_is_never_reported_as_rate_exceeded() -> None:
    """Without a lender, calls that arrive as a shared loan request ends don't change a refusal."""

    async def check(fleet: _Fleet) -> None:
        fleet.is_network_down = True
        outcomes = []

        async def admit() -> None:
            outcomes.append(await fleet.admit(1))

        async with trio.open_nursery() as nursery:
            arrivals_left = 60

            def arrive() -> None:
                nonlocal arrivals_left
                if arrivals_left:
                    arrivals_left -= 1
                    nursery.start_soon(admit)

            fleet.on_unanswered = arrive
            for _ in range(3):
                nursery.start_soon(admit)
        kinds = {outcome.err_value.kind for outcome in outcomes}
        assert kinds == {ErrorKind.OWNER_UNAVAILABLE}

    _with_fleet(check)


def test_first_token_after_a_takeover_is_waited_for() -> None:
    """The wait for a former owner's loans does not use up the time to wait for the first token."""

    async def check(fleet: _Fleet) -> None:
        assert (await fleet.admit(1)).is_ok()

    _with_fleet(check, rate_per_s=8.0, owned_for_s=0.0)


def test_call_after_retry_after_is_admitted() -> None:
    """A caller that retries after `retry_after_s` is admitted."""

    async def check(fleet: _Fleet) -> None:
        outcome: Result[None, Refusal] = Ok(None)
        while isinstance(outcome, Ok):
            outcome = await fleet.admit(1)
        await trio.sleep(outcome.err_value.retry_after_s)
        assert (await fleet.admit(1)).is_ok()

    _with_fleet(check, rate_per_s=1.0, burst=10)


def test_first_call_after_a_takeover_waits() -> None:
    """Until the former owner's loans have expired, calls wait instead of being refused."""

    async def check(fleet: _Fleet) -> None:
        assert (await fleet.admit(1)).is_ok()
        assert trio.current_time() - fleet.owned_since_s > 0.5

    _with_fleet(check, owned_for_s=0.0)


def test_unreachable_owner_is_reported_as_unavailable() -> None:
    """Without the owner, no call is admitted beyond the tokens already lent."""

    async def check(fleet: _Fleet) -> None:
        fleet.is_network_down = True
        outcome = await fleet.admit(1)
        assert outcome.unwrap_err().kind is ErrorKind.OWNER_UNAVAILABLE

    _with_fleet(check)


def test_call_does_not_wait_for_an_owner_that_cannot_be_looked_up() -> None:
    """An instance cut off from the ownership table requests a loan once, then refuses the call."""

    async def check(fleet: _Fleet) -> None:
        fleet.is_network_down = True
        requests = []
        fleet.on_unanswered = lambda: requests.append(1)
        fleet.cut_off = Refusal(
            kind=ErrorKind.PLATFORM_UNAVAILABLE, detail="cut off", retry_after_s=5.0
        )
        outcome = await fleet.admit(1)
        assert outcome.unwrap_err() == fleet.cut_off and len(requests) == 1

    _with_fleet(check)


load_tests = load_functions(globals())
