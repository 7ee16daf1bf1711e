"""Runs several instances' ownership in one event loop, against one key-value stand-in."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio
from result import Ok

from lagoonfold import InstanceId, InstanceList, ProgramId, new_id
from lagoonfold.records import (
    CallOutcome,
    CallRequest,
    CallSettled,
    Cost,
    CreateRequest,
    Execute,
    ProgramLimits,
    Turn,
    digest_of_content,
)
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._ownership import (
    OpenShard,
    Ownership,
    OwnershipContext,
    OwnershipSettings,
)
from lagoonfold_node._peers import PeerBus
from tests.platform._kv import KvFixture, run_with_kv

WAIT_LIMIT_S = 20.0
SETTINGS = OwnershipSettings(
    shard_count=4,
    lease_s=1.0,
    renew_s=0.2,
    takeover_wait_s=0.1,
    commit_interval_s=0.0,
    checkpoint_commits=8,
)
LIMITS = ProgramLimits(100_000, 1_000, 100_000, 1e12)


class PartitionedStore:
    """A store whose calls block between `cut` and `heal`, as in a network partition."""

    def __init__(self, inner: object) -> None:
        self._inner = inner
        self._healed = trio.Event()
        self._healed.set()

    def cut(self) -> None:
        """Block every call and every watch event."""
        self._healed = trio.Event()

    def heal(self) -> None:
        """Let the blocked calls continue."""
        self._healed.set()

    @asynccontextmanager
    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[AsyncIterator]:
        """Watch a prefix; events are delayed while the store is cut."""
        await self._healed.wait()
        async with self._inner.watch(prefix, from_revision=from_revision) as events:
            yield self._delay_while_cut(events)

    async def _delay_while_cut(self, events: AsyncIterator) -> AsyncIterator:
        async for event in events:
            await self._healed.wait()
            yield event

    def __getattr__(self, name: str) -> object:
        operation = getattr(self._inner, name)

        async def call(*args: object, **options: object) -> object:
            await self._healed.wait()
            return await operation(*args, **options)

        return call


@dataclass(slots=True)
class Instance:
    """One running instance; cancelling `scope` stops it like a crash."""

    ownership: Ownership
    store: PartitionedStore
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def board(self) -> Board:
        """Return the instance's blackboard."""
        return self.ownership.context.board


class Fleet:
    """Start instances `entry-<n>`, and wait for the shards that they open."""

    def __init__(self, kv: KvFixture, nursery: trio.Nursery) -> None:
        self.kv = kv
        self._nursery = nursery

    async def start(
        self,
        index: int,
        settings: OwnershipSettings = SETTINGS,
        *,
        instance_list: InstanceList | None = None,
        on_expired: Callable[[ProgramId, OpenShard], None] = lambda program_id, shard: None,
        **store_options: float,
    ) -> Instance:
        """Start an instance; `store_options` are passed to its connection to the stand-in."""
        board = Board()
        store = PartitionedStore(self.kv.connect(**store_options))
        instance_id = f"entry-{index}"

        def find_address(peer: str) -> str | None:
            member = board.members.read().get(InstanceId(peer))
            return None if member is None else member.peer_address

        node = _Node()
        bus = PeerBus(instance_id, "127.0.0.1:0", find_address, node)
        port = await self._nursery.start(bus.serve)
        context = OwnershipContext(
            instance_id=InstanceId(instance_id),
            peer_address=f"127.0.0.1:{port}",
            failure_domain=f"domain-{index % 3}",
            store=store,
            board=board,
            metrics=Metrics(),
            settings=settings,
            bus=bus,
            instance_list=instance_list,
            on_expired=on_expired,
        )
        node.ownership = Ownership(context)
        instance = Instance(node.ownership, store)

        async def run() -> None:
            with instance.scope:
                await node.ownership.run()

        self._nursery.start_soon(run)
        return instance

    async def open_shard(
        self, instances: list[Instance], program_id: str
    ) -> tuple[Instance, OpenShard]:
        """Wait until one of the instances owns a program; return the instance and the shard."""
        with trio.fail_after(WAIT_LIMIT_S):
            while True:
                for instance in instances:
                    shard = instance.ownership.shards.find_open_for(program_id)
                    if shard is not None and shard.holds_ownership():
                        return instance, shard
                await trio.sleep(0.01)


async def read_turns(fleet: Fleet, instances: list[Instance], program_id: str) -> tuple[Turn, ...]:
    """Return a program's history from the instance that owns it, once one does."""
    with trio.fail_after(WAIT_LIMIT_S):
        while True:
            _, shard = await fleet.open_shard(instances, program_id)
            history = await shard.read_history(ProgramId(program_id))
            if isinstance(history, Ok):
                return history.ok_value


class _Node:
    """The bus's context."""

    ownership: Ownership


def run_with_fleet(check: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a check with a fleet on a fresh stand-in."""

    async def run(kv: KvFixture) -> None:
        async with trio.open_nursery() as nursery:
            await check(Fleet(kv, nursery))
            nursery.cancel_scope.cancel()

    run_with_kv(run)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with trio.fail_after(WAIT_LIMIT_S):
        while not condition():
            await trio.sleep(0.01)


async def create_program(shard: OpenShard, program_id: str, limits: ProgramLimits = LIMITS) -> None:
    """Create a program of the account `acme`."""
    request = CreateRequest(
        program_id=ProgramId(program_id), account_id="acme", profile="field", limits=limits
    )
    records = shard.state.decide_create(request, 0.0).unwrap()
    (await shard.commit(records)).unwrap()


def make_call(program_id: str, turn: int, *, is_idempotent: bool = False) -> CallRequest:
    """Return the request for a program's call."""
    body = f"request of turn {turn}".encode()
    return CallRequest(
        call_id=new_id("call"),
        program_id=ProgramId(program_id),
        account_id="acme",
        turn=turn,
        route="register",
        is_idempotent=is_idempotent,
        content_digest=digest_of_content(body),
        body=body,
        reservation=Cost(10, 1, 1),
    )


async def begin_call(shard: OpenShard, program_id: str, turn: int) -> str:
    """Begin a call that is not idempotent; return its id."""
    request = make_call(program_id, turn)
    execute = shard.state.decide_begin(request, 0.0, run_id=shard.run_id).unwrap()
    (await shard.commit(execute.records)).unwrap()
    return execute.call_id


def submit_call(shard: OpenShard, program_id: str, *, is_idempotent: bool) -> Execute:
    """Begin a program's first call without waiting for the commit, and ignore a refusal."""
    request = make_call(program_id, 1, is_idempotent=is_idempotent)
    execute = shard.state.decide_begin(request, 0.0, run_id=shard.run_id).unwrap()
    shard.submit(execute.records)
    return execute


def answered(program_id: str, call_id: str) -> CallSettled:
    """Return the outcome of an answered call."""
    used = Cost(10, 1, 1)
    return CallSettled(program_id, call_id, CallOutcome.ANSWERED, 200, "text/plain", b"done", used)


async def make_turn(shard: OpenShard, program_id: str, turn: int) -> None:
    """Begin a call and settle it with an answer."""
    call_id = await begin_call(shard, program_id, turn)
    records = shard.state.decide_settle(answered(program_id, call_id)).unwrap()
    (await shard.commit(records)).unwrap()
