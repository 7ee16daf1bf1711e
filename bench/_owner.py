"""Runs the ownership part of instances, and builds typical requests, for the benchmarks."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from lagoonfold import AccountId, CallId, InstanceId, ProgramId, RouteName, new_id
from lagoonfold.records import (
    CallOutcome,
    CallRequest,
    CallSettled,
    Cost,
    CreateRequest,
    ProgramLimits,
    digest_of_content,
)
from lagoonfold_io import EtcdStore
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._ownership import OpenShard, Ownership, OwnershipContext, OwnershipSettings
from lagoonfold_node._peers import PeerBus

ACCOUNT = AccountId("acme")
LIMITS = ProgramLimits(10**9, 10**6, 10**9, 1e12)
BODY = b"m" * 600
ANSWER = b"a" * 1_200


@asynccontextmanager
async def start_owner(
    store: EtcdStore,
    settings: OwnershipSettings,
    *,
    name: str = "entry-1",
    failure_domain: str = "domain-a",
) -> AsyncIterator[Ownership]:
    """Run an instance's ownership part; leaving the block cancels it as in a crash."""
    context = OwnershipContext(
        instance_id=InstanceId(name),
        peer_address="127.0.0.1:1",
        failure_domain=failure_domain,
        store=store,
        board=Board(),
        metrics=Metrics(),
        settings=settings,
    )
    ownership = Ownership(context)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ownership.run)
        yield ownership
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def start_domain(
    stores: tuple[EtcdStore, ...], settings: OwnershipSettings
) -> AsyncIterator[tuple[Ownership, ...]]:
    """Run an instance for each store in one failure domain; yield when all shards are open."""
    async with trio.open_nursery() as nursery:
        owners = tuple(
            [
                await _start_member(nursery, store, settings, f"entry-{index}")
                for index, store in enumerate(stores)
            ]
        )
        while not _all_shards_open(owners, settings.shard_count):
            await trio.sleep(0.01)
        yield owners
        nursery.cancel_scope.cancel()


class _BusContext:
    """The context of a peer bus, which handles its messages."""

    ownership: Ownership


async def _start_member(
    nursery: trio.Nursery, store: EtcdStore, settings: OwnershipSettings, name: str
) -> Ownership:
    board = Board()

    def find_address(peer: str) -> str | None:
        member = board.members.read().get(InstanceId(peer))
        return None if member is None else member.peer_address

    bus_context = _BusContext()
    bus = PeerBus(name, "127.0.0.1:0", find_address, bus_context)
    port = await nursery.start(bus.serve)
    context = OwnershipContext(
        instance_id=InstanceId(name),
        peer_address=f"127.0.0.1:{port}",
        failure_domain="domain-a",
        store=store,
        board=board,
        metrics=Metrics(),
        settings=settings,
        bus=bus,
    )
    bus_context.ownership = Ownership(context)
    nursery.start_soon(bus_context.ownership.run)
    return bus_context.ownership


def _all_shards_open(owners: tuple[Ownership, ...], shard_count: int) -> bool:
    """Return whether all owners know each other and have opened their shares of the shards."""
    boards = [owner.context.board for owner in owners]
    if any(len(board.members.read()) < len(owners) for board in boards):
        return False
    return all(len(board.shards.read()) == shard_count // len(owners) for board in boards)


async def wait_for_open_shard(ownership: Ownership, program_id: str) -> OpenShard:
    """Return the program's shard once it is open."""
    while True:
        shard = ownership.shards.find_open_for(program_id)
        if shard is not None and shard.holds_ownership():
            return shard
        await trio.sleep(0.002)


async def create_program(shard: OpenShard, program_id: str, *, must_succeed: bool = True) -> None:
    """Create a program and wait until it is committed; raise `UnwrapError` if it is refused."""
    request = CreateRequest(
        program_id=ProgramId(program_id), account_id=ACCOUNT, profile="field", limits=LIMITS
    )
    (await shard.commit(shard.state.decide_create(request, 0.0).unwrap())).unwrap()


def make_request(program_id: str, turn: int, *, is_idempotent: bool = False) -> CallRequest:
    """Return the request for a call of typical size."""
    return CallRequest(
        call_id=CallId(new_id("call")),
        program_id=ProgramId(program_id),
        account_id=ACCOUNT,
        turn=turn,
        route=RouteName("register"),
        is_idempotent=is_idempotent,
        content_digest=digest_of_content(BODY),
        body=BODY,
        reservation=Cost(500, 1, 100),
    )


def make_outcome(request: CallRequest) -> CallSettled:
    """Return the outcome of an answered call of typical size."""
    return CallSettled(
        request.program_id,
        request.call_id,
        CallOutcome.ANSWERED,
        200,
        "application/json",
        ANSWER,
        Cost(400, 1, 80),
    )
