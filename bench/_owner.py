"""One instance's ownership part with all shards open, for a bench."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from lagoonfold import AccountId, CallId, InstanceId, ProgramId, RouteName, new_id
from lagoonfold.records import (
    CallRequest,
    Cost,
    CreateRequest,
    Limits,
    Outcome,
    Settled,
    digest_of_content,
)
from lagoonfold_io import EtcdStore
from lagoonfold_node._board import Board
from lagoonfold_node._metrics import Metrics
from lagoonfold_node._ownership import OpenShard, Ownership, OwnershipContext, OwnershipSettings

ACCOUNT = AccountId("acme")
LIMITS = Limits(10**9, 10**6, 10**9, 1e12)
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
    """Run an instance's ownership part; leaving the block ends it as a crash does."""
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


async def opened_shard(ownership: Ownership, program_id: str) -> OpenShard:
    """Wait until the program's shard is open."""
    while True:
        shard = ownership.shards.opened_for(program_id)
        if shard is not None and shard.may_act():
            return shard
        await trio.sleep(0.002)


async def create_program(shard: OpenShard, program_id: str, *, must_succeed: bool = True) -> None:
    """Create a program; a refusal is an error if it must succeed."""
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
        reserve=Cost(500, 1, 100),
    )


def make_outcome(request: CallRequest) -> Settled:
    """Return the outcome of an answered call of typical size."""
    return Settled(
        request.program_id,
        request.call_id,
        Outcome.ANSWERED,
        200,
        "application/json",
        ANSWER,
        Cost(400, 1, 80),
    )
