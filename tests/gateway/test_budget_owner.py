"""Owners that stop, are lost and charge at the same time: what they grant in all stays bounded."""

import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import msgspec
import trio
from msgspec.structs import replace
from result import Err, Ok, Result

from lagoonfold import Cell, StoreError, StoreErrorKind
from lagoonfold.budgets import BudgetRecord
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._budget_owner import BudgetOwner
from lagoonfold_gateway._charges import BUDGET_PREFIX
from lagoonfold_gateway._messages import (
    Ack,
    BudgetExhausted,
    Message,
    OwnerRedirect,
    OwnerUnavailable,
    TurnCredit,
    TurnCreditRequest,
    TurnEnd,
    TurnRequest,
)
from standins.transactional_store import MemoryStore
from tests._suite import load_functions
from tests.gateway._simulated_fleet import run_on_virtual_clock

MAX_TOKENS = 100
BUDGET = 1_000
OWNERS = 3
SEEDS = range(40)
CALL_TIMEOUT_S = 0.8
RUN_S = 20.0


class _Bus:
    """Calls an owner's handlers like a peer; a call ends without an answer with the owner."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._handler_by_type: dict[type, Callable] = {}

    def register_handler(self, message_type: type) -> Callable:
        def register(handler: Callable) -> Callable:
            self._handler_by_type[message_type] = handler
            return handler

        return register

    async def call(self, message: Message) -> Message:
        answers: list[Message] = []
        is_answered = trio.Event()

        async def handle() -> None:
            answers.append(await self._handler_by_type[type(message)](message))
            is_answered.set()

        if not self._nursery.cancel_scope.cancel_called:
            self._nursery.start_soon(handle)
        await is_answered.wait()
        return answers[0]

    def tell(self, message: Message) -> None:
        if not self._nursery.cancel_scope.cancel_called:
            self._handler_by_type[type(message)](message)


def _request(turn_id: str, digest: str = "") -> TurnRequest:
    return TurnRequest(
        program="p",
        turn_id=turn_id,
        instance_id="arrival",
        budget=BUDGET,
        max_tokens=MAX_TOKENS,
        retention_s=60.0,
        initial_members=(digest,),
    )


def test_owner_that_has_given_back_unused_tokens_grants_none_of_them() -> None:
    """Turns that still run under a stopping owner get no credit that its record lacks."""

    async def check() -> None:
        store = MemoryStore()
        board = GatewayBoard(live=Cell("live", LiveView(("me",), 0.0)))
        members = SimpleNamespace(
            writer_id="me/start",
            initial_members=SimpleNamespace(digest=""),
            live_instance_of_writer=lambda writer: None,
        )
        async with trio.open_nursery() as nursery:
            bus = _Bus(nursery)
            owner = BudgetOwner(board, bus, store, members, nursery, is_first_start=False)
            nursery.start_soon(owner.writer.run)
            granted = await bus.call(_request("t1"))
            assert isinstance(granted, TurnCredit) and granted.credit < MAX_TOKENS
            await owner.release_unused()
            record = msgspec.json.decode(store.value(BUDGET_PREFIX + "p"), type=BudgetRecord)
            assert record.charged == granted.credit
            more = TurnCreditRequest(program="p", turn_id="t1", max_tokens=MAX_TOKENS)
            assert isinstance(await bus.call(more), OwnerUnavailable)
            assert isinstance(await bus.call(_request("t2")), OwnerUnavailable)
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(check)


def _run_first_owner(
    check: Callable[[BudgetOwner, _Bus, MemoryStore], Awaitable[None]],
) -> None:
    """Run a check with the owner that may grant the first credit of program `p`."""

    async def run() -> None:
        store = MemoryStore()
        board = GatewayBoard(live=Cell("live", LiveView(("me",), 0.0)))
        members = SimpleNamespace(
            instance_id="me",
            writer_id="me/start",
            initial_members=SimpleNamespace(digest="initial"),
            initial_owner=lambda program: "me",
            live_instance_of_writer=lambda writer: None,
        )
        async with trio.open_nursery() as nursery:
            bus = _Bus(nursery)
            owner = BudgetOwner(board, bus, store, members, nursery, is_first_start=True)
            nursery.start_soon(owner.writer.run)
            nursery.start_soon(owner.sweep)
            await check(owner, bus, store)
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(run)


async def _run_turn(bus: _Bus, turn_id: str, delivered_tokens: int) -> Message:
    granted = await bus.call(_request(turn_id, "initial"))
    bus.tell(TurnEnd(program="p", turn_id=turn_id, delivered_tokens=delivered_tokens))
    return granted


def _put_record(store: MemoryStore, charged: int) -> None:
    record = BudgetRecord(writer="other/start", charged=charged, written_at_s=0)
    store.put(BUDGET_PREFIX + "p", msgspec.json.encode(record))


def test_first_owner_that_was_frozen_does_not_grant_the_first_credit_again() -> None:
    """It forgot that it had, while the program went on under another owner (BUDGET)."""

    async def check(owner: BudgetOwner, bus: _Bus, store: MemoryStore) -> None:
        assert isinstance(await _run_turn(bus, "t1", 10), TurnCredit)
        _put_record(store, BUDGET)
        await trio.sleep(2.5 * 60.0)
        assert not owner._owned_by_program
        assert isinstance(await bus.call(_request("t2", "initial")), BudgetExhausted)

    _run_first_owner(check)


def test_first_owner_whose_record_another_has_changed_does_not_grant_it_again() -> None:
    """It forgets the program when it finds its record changed."""

    async def check(owner: BudgetOwner, bus: _Bus, store: MemoryStore) -> None:
        for turn_id in ("t1", "t2"):
            assert isinstance(await _run_turn(bus, turn_id, MAX_TOKENS), TurnCredit)
        assert store.value(BUDGET_PREFIX + "p") is not None
        _put_record(store, BUDGET)
        await trio.sleep(70.0)
        assert not owner._owned_by_program
        assert isinstance(await bus.call(_request("t3", "initial")), BudgetExhausted)

    _run_first_owner(check)


class _Peers:
    """The bus of one of several owners, whose buses are given by the names of their instances."""

    def __init__(self, own: _Bus, bus_by_name: dict[str, _Bus]) -> None:
        self.register_handler = own.register_handler
        self._bus_by_name = bus_by_name

    async def call(self, peer: str, message: Message, *, timeout_s: float) -> Result:
        """Call a peer's handler, whose answer is an acknowledgement."""
        self._bus_by_name[peer].tell(message)
        return Ok(Ack())


def _run_two_owners(check: Callable[[_Bus, _Bus, MemoryStore], Awaitable[None]]) -> None:
    """Run a check with the owner that may grant the first credit, and one that may not."""

    async def run() -> None:
        store = MemoryStore()
        board = GatewayBoard(live=Cell("live", LiveView(("first", "second"), 0.0)))
        bus_by_name: dict[str, _Bus] = {}
        async with trio.open_nursery() as nursery:
            for name in ("first", "second"):
                members = SimpleNamespace(
                    instance_id=name,
                    writer_id=f"{name}/start",
                    initial_members=SimpleNamespace(digest="initial"),
                    initial_owner=lambda program: "first",
                    live_instance_of_writer=lambda writer: writer.partition("/")[0],
                )
                bus = bus_by_name[name] = _Bus(nursery)
                peers = _Peers(bus, bus_by_name)
                owner = BudgetOwner(board, peers, store, members, nursery, is_first_start=True)
                nursery.start_soon(owner.writer.run)
                nursery.start_soon(owner.sweep)
            await check(bus_by_name["first"], bus_by_name["second"], store)
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(run)


async def _use_up(bus: _Bus, label: str, *, unavailable: tuple[str, ...] = ()) -> int:
    """Run turns with all their tokens until the budget is spent; return the tokens granted."""
    granted = 0
    for number in range(2 * BUDGET // MAX_TOKENS):
        turn_id = f"{label}-{number}"
        request = replace(_request(turn_id, "initial"), unavailable_owners=unavailable)
        answer = await bus.call(request)
        if isinstance(answer, BudgetExhausted):
            break
        credit = answer.credit if isinstance(answer, TurnCredit) else 0
        more = TurnCreditRequest(program="p", turn_id=turn_id, max_tokens=MAX_TOKENS)
        answer = await bus.call(more)
        credit = max(credit, answer.credit if isinstance(answer, TurnCredit) else 0)
        bus.tell(TurnEnd(program="p", turn_id=turn_id, delivered_tokens=credit))
        granted += credit
        await trio.sleep(0.1)
    return granted


async def _check_returns(
    first: _Bus, second: _Bus, first_turns: tuple[int, ...], returns_s: tuple[float, ...]
) -> None:
    """Use a program at its first owner, at a second one, and at the first one after some times."""
    for number, tokens in enumerate(first_turns):
        await _run_turn(first, f"t{number}", tokens)
    granted = sum(first_turns)
    await trio.sleep(2.0)
    granted += await _use_up(second, "second", unavailable=("first",))
    await trio.sleep(returns_s[0])
    answer = await _run_turn(first, "back", 5)
    granted += 5 if isinstance(answer, TurnCredit) else 0
    await trio.sleep(returns_s[1])
    granted += await _use_up(first, "again")
    assert granted <= BUDGET + MAX_TOKENS, (first_turns, returns_s, granted)


def test_record_is_not_removed_while_another_owner_serves_the_program() -> None:
    """An owner that used its first credit, or what it had charged, left no trace (review/9)."""
    for first_turns in ((10,), (MAX_TOKENS, MAX_TOKENS, MAX_TOKENS)):
        for returns_s in ((30.0, 39.0), (5.0, 58.0), (20.0, 45.0), (45.0, 50.0)):

            async def check(
                first: _Bus,
                second: _Bus,
                store: MemoryStore,
                first_turns: tuple[int, ...] = first_turns,
                returns_s: tuple[float, ...] = returns_s,
            ) -> None:
                await _check_returns(first, second, first_turns, returns_s)

            _run_two_owners(check)


def test_records_of_programs_that_are_no_longer_used_go() -> None:
    """Owners look records up, and tell each other, only after a use."""

    async def check(first: _Bus, second: _Bus, store: MemoryStore) -> None:
        for turn_id in ("t1", "t2", "t3"):
            await _run_turn(first, turn_id, MAX_TOKENS)
        await _use_up(second, "second", unavailable=("first",))
        assert store.value(BUDGET_PREFIX + "p") is not None
        await trio.sleep(3 * 60.0)
        assert store.value(BUDGET_PREFIX + "p") is None
        calls = store.calls
        await trio.sleep(5 * 60.0)
        assert store.calls == calls

    _run_two_owners(check)


def test_turn_that_an_owner_without_credit_gets_back_is_refused_at_once() -> None:
    """It was admitted by what the owner knew before its freeze, and waited for credit."""

    async def check(owner: BudgetOwner, bus: _Bus, store: MemoryStore) -> None:
        await _run_turn(bus, "t1", MAX_TOKENS)
        await trio.sleep(1.0)
        owner._owned_by_program["p"].ledger.revision = None
        _put_record(store, BUDGET)
        assert isinstance(await bus.call(_request("t2", "initial")), BudgetExhausted)

    _run_first_owner(check)


def test_first_owner_forgets_programs_that_nobody_else_has_used() -> None:
    """One that returns after its retention begins anew, and memory does not grow."""

    async def check(owner: BudgetOwner, bus: _Bus, store: MemoryStore) -> None:
        await _run_turn(bus, "t1", 10)
        assert "p" in owner._first_grants
        store.is_down = True
        await trio.sleep(70.0)
        assert "p" in owner._first_grants
        store.is_down = False
        await trio.sleep(10.0)
        assert "p" not in owner._first_grants and store.value(BUDGET_PREFIX + "p") is None
        assert isinstance(await _run_turn(bus, "t2", 10), TurnCredit)

    _run_first_owner(check)


class _ErraticStore:
    """Answers after a while, late, or not at all, whether it has applied the writes or not."""

    def __init__(self, store: MemoryStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng

    async def commit(self, **options: object) -> Result:
        """Commit at some moment of a random time."""
        slowest_s = self._rng.choice((0.01, 0.01, 0.4, 1.5))
        await trio.sleep(self._rng.random() * slowest_s)
        if self._rng.random() < 0.1:
            return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail="away"))
        committed = await self._store.commit(**options)
        await trio.sleep(self._rng.random() * slowest_s)
        if self._rng.random() < 0.1:
            return Err(StoreError(kind=StoreErrorKind.LOST_ANSWER, detail="lost"))
        return committed


class _Fleet:
    """Owners of one program that are lost, stop and start again while turns run under them."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self._nursery = nursery
        self._rng = random.Random(seed)
        self._store = _ErraticStore(MemoryStore(), self._rng)
        self._buses: list[_Bus] = []
        self._owners: list[BudgetOwner] = []
        self._scopes: list[trio.CancelScope] = []
        self._processes: list[str] = []
        self._starts = 0
        self.granted = 0

    async def start_all(self) -> None:
        """Start the owners; the first one may grant credit before its first charge."""
        for number in range(OWNERS):
            for values in (self._buses, self._owners, self._scopes, self._processes):
                values.append(None)
            await self._nursery.start(self._run_owner, number, number == 0)

    async def replace_owners(self) -> None:
        """Replace owners by new processes until cancelled, half of them after a planned stop."""
        while True:
            await trio.sleep(self._rng.uniform(0.5, 4.0))
            number = self._rng.randrange(OWNERS)
            if self._rng.random() < 0.5:
                with trio.move_on_after(1.0):
                    await self._owners[number].release_unused()
            self._scopes[number].cancel()
            await self._nursery.start(self._run_owner, number, False)

    async def send_turns(self, caller: int) -> None:
        """Send one turn after the other until cancelled; each produces all that it may."""
        for turn in range(1_000_000):
            await trio.sleep(self._rng.random() * 0.3)
            bus = self._rng.choice(self._buses)
            turn_id = f"{caller}-{turn}"
            credit, bus = await self._ask(bus, _request(turn_id, "d"))
            if credit is None:
                continue
            for _ in range(self._rng.randrange(3)):
                await trio.sleep(self._rng.random() * 0.1)
                more = TurnCreditRequest(program="p", turn_id=turn_id, max_tokens=MAX_TOKENS)
                credit = max(credit, (await self._ask(bus, more))[0] or 0)
            self.granted += credit
            bus.tell(TurnEnd(program="p", turn_id=turn_id, delivered_tokens=credit))

    async def _ask(self, bus: _Bus, message: Message) -> tuple[int | None, _Bus]:
        """Return the credit that is granted, None if there is none, and the owner that answered."""
        with trio.move_on_after(CALL_TIMEOUT_S):
            answer = await bus.call(message)
            if isinstance(answer, OwnerRedirect):
                bus = self._buses[int(answer.instance[1:])]
                answer = await bus.call(message)
            return (answer.credit if isinstance(answer, TurnCredit) else None), bus
        return None, bus

    def _live_instance_of(self, writer: str, asking: int) -> str | None:
        for number, process in enumerate(self._processes):
            if number != asking and writer.partition("#")[0] == process:
                return f"o{number}"
        return None

    async def _run_owner(
        self, number: int, is_first_start: bool, *, task_status: trio.TaskStatus[None]
    ) -> None:
        self._starts += 1
        self._processes[number] = f"o{number}/{self._starts}"
        members = SimpleNamespace(
            writer_id=self._processes[number],
            instance_id=f"o{number}",
            initial_members=SimpleNamespace(digest="d"),
            initial_owner=lambda program: "o0" if is_first_start else None,
            live_instance_of_writer=lambda writer: self._live_instance_of(writer, number),
        )
        async with trio.open_nursery() as nursery:
            self._scopes[number] = nursery.cancel_scope
            bus = self._buses[number] = _Bus(nursery)
            board = GatewayBoard(live=Cell("live", LiveView((f"o{number}",), 0.0)))
            self._owners[number] = BudgetOwner(
                board, bus, self._store, members, nursery, is_first_start=is_first_start
            )
            nursery.start_soon(self._owners[number].writer.run)
            task_status.started()


def test_owners_that_charge_stop_and_are_lost_at_once_keep_the_budget() -> None:
    """Whatever the store answers, the tokens stay within the budget and one turn's most."""

    async def check(seed: int) -> int:
        async with trio.open_nursery() as nursery:
            fleet = _Fleet(nursery, seed)
            await fleet.start_all()
            nursery.start_soon(fleet.replace_owners)
            for caller in range(4):
                nursery.start_soon(fleet.send_turns, caller)
            await trio.sleep(RUN_S)
            nursery.cancel_scope.cancel()
        return fleet.granted

    granted = []
    for seed in SEEDS:

        async def run(seed: int = seed) -> None:
            granted.append(await check(seed))

        run_on_virtual_clock(run)
    assert max(granted) <= BUDGET + MAX_TOKENS, granted
    assert min(granted) > 0, granted


load_tests = load_functions(globals())
