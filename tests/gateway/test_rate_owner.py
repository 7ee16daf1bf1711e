"""An owner of an account's rate that was away, dropped the account, or gets tokens back."""

from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import trio

from lagoonfold import Cell
from lagoonfold.forwarding import ForwardConfig, RouteTable
from lagoonfold.rates import QuotaTerms, RateLimit
from lagoonfold_gateway._board import ConfigView, GatewayBoard, LiveView
from lagoonfold_gateway._messages import Message, TokenGranted, TokenRequest, TokenReturn
from lagoonfold_gateway._presence import Presence
from lagoonfold_gateway._rate_owner import RateOwner
from tests._suite import load_functions
from tests.gateway._fleet import make_config
from tests.gateway._simulated_fleet import SimulatedFleet, run_on_virtual_clock, run_simulated

ACCOUNT = "acme"
RATE_PER_S = 12.0
BURST = 12
TERMS = QuotaTerms(window_s=5.0, slack_calls=20)
MOST_AT_ONCE = BURST + 20  # of a new owner that nobody was before


class _Owner:
    """A rate owner whose handlers are called like those of a peer."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.presence = Presence()
        self._handler_by_type: dict[type, Callable] = {}
        self._numbers = 0
        self.board = GatewayBoard(live=Cell("live", LiveView(("me",), 0.0)))
        members = SimpleNamespace(
            presence=self.presence, owns=self._owns, is_isolated=lambda: False
        )
        self.owner = RateOwner(self.board, self, members, nursery, TERMS, is_first_start=True)
        limit = RateLimit(rate_per_s=RATE_PER_S, burst=BURST)
        self.configure(make_config(limit=limit))

    def configure(self, config: ForwardConfig) -> None:
        """Put a configuration in force."""
        self.board.config.write(ConfigView(config, RouteTable(config.routes), 0.0))

    def register_handler(self, message_type: type) -> Callable:
        """Return a decorator that registers a handler, as `PeerBus` does."""

        def register(handler: Callable) -> Callable:
            self._handler_by_type[message_type] = handler
            return handler

        return register

    async def ask(self, count: int, *, hold_s: float = 0.0) -> int:
        """Request tokens; return how many were granted."""
        granted = 0
        for _ in range(count):
            self._numbers += 1
            request = TokenRequest(
                instance="i2",
                number=self._numbers,
                account=ACCOUNT,
                program="",
                is_turn=False,
                wait_s=hold_s,
                time_left_s=None,
                hold_s=hold_s,
            )
            answer: Message | Awaitable[Message] = self._handler_by_type[TokenRequest](request)
            if isinstance(answer, Awaitable):
                answer = await answer
            granted += isinstance(answer, TokenGranted)
        return granted

    def give_back(self, number: int) -> None:
        """Return the token of a call."""
        message = TokenReturn(instance="i2", number=number, account=ACCOUNT, exhausted_program=None)
        self._handler_by_type[TokenReturn](message)

    def _owns(self, account: str) -> bool:
        self.presence.check()
        return True


def _run(check: Callable[[_Owner], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            owner = _Owner(nursery)
            await check(owner)
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(run)


async def _sleep_running(owner: _Owner, span_s: float) -> None:
    """Sleep as an instance that runs: it checks its presence all the while."""
    for _ in range(round(span_s / 0.1)):
        await trio.sleep(0.1)
        owner.presence.check()


def test_owner_that_was_frozen_starts_from_an_empty_bucket() -> None:
    """Its bucket had filled while another instance granted the account's tokens (QUOTA)."""

    async def check(owner: _Owner) -> None:
        assert await owner.ask(100) == MOST_AT_ONCE
        await trio.sleep(2.0)
        assert await owner.ask(100) == 0
        await _sleep_running(owner, 1.0)
        assert await owner.ask(100) in range(int(RATE_PER_S) - 1, int(RATE_PER_S) + 1)

    _run(check)


def test_owner_that_was_taken_for_lost_starts_from_an_empty_bucket() -> None:
    """It runs on, but others have told that it is lost, and one of them has taken over."""

    async def check(owner: _Owner) -> None:
        await _sleep_running(owner, 1.0)
        owner.presence.end_absence()
        assert await owner.ask(100) == 0

    _run(check)


def test_owner_that_runs_keeps_its_bucket() -> None:
    """A pause that is shorter than any after which others take over changes nothing."""

    async def check(owner: _Owner) -> None:
        assert await owner.ask(10) == 10
        await trio.sleep(0.4)
        assert await owner.ask(100) >= MOST_AT_ONCE - 10

    _run(check)


def test_account_whose_keys_were_all_replaced_does_not_get_its_burst_again() -> None:
    """Its owner forgot it while it had no key (QUOTA)."""

    async def check(owner: _Owner) -> None:
        assert await owner.ask(100) == MOST_AT_ONCE
        with_keys = owner.board.config.read().config
        owner.configure(make_config(version=2))
        await _sleep_running(owner, 1.0)
        owner.configure(with_keys)
        assert await owner.ask(100) <= RATE_PER_S

    _run(check)


def test_token_that_was_never_granted_is_not_given_back() -> None:
    """A call whose request was lost or refused returned the token of another call."""

    async def check(owner: _Owner) -> None:
        assert await owner.ask(100) == MOST_AT_ONCE
        for number in (1, 1, 99, 100, 1_000):
            owner.give_back(number)
        assert await owner.ask(100) == 1

    _run(check)


def test_instance_that_was_frozen_is_live_everywhere_at_once() -> None:
    """Until then two owners grant the tokens of what it owns."""

    async def check(fleet: SimulatedFleet) -> None:
        await fleet.start_all(4)
        await trio.sleep(0.3)
        resumed = fleet.member_by_id["i1"]
        ended: list[str] = []
        resumed.members.presence.subscribe(lambda: ended.append("away"))
        for member in fleet.member_by_id.values():
            if member is not resumed:
                member.members.declare_lost("i1")
        resumed.members.presence._ran_s -= 2.0
        resumed.members.owner("anything")
        assert ended == ["away"]
        took_s = await fleet.wait_until(fleet.is_settled)
        assert took_s <= 0.02, took_s

    run_simulated(check)


load_tests = load_functions(globals())
