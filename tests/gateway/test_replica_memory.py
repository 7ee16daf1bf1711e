"""The memory and the pace of replicas, over several instances."""

from contextlib import suppress
from dataclasses import replace

import trio
from result import UnwrapError

from lagoonfold.forwarding import ForwardConfig, ForwardService
from lagoonfold.placement import ReplicaPool
from lagoonfold_gateway import Gateway
from tests._suite import load_functions
from tests.gateway._fleet import NAMES, Fleet, make_config, run_with_fleet, wait_until

LARGE = ((NAMES.token_counts, "600,100"),)
MEMORY_TOKENS = 1_000


def _config() -> ForwardConfig:
    service = ForwardService(name="models", max_connections=100, memory_tokens=MEMORY_TOKENS)
    return replace(make_config(), services_by_name={"models": service})


def _used_tokens(gateway: Gateway) -> int:
    replica = gateway.board.replicas.read().get("r1")
    return gateway.dispatcher.knowledge.memory.used_tokens(replica)


def test_requests_of_all_instances_share_the_memory_of_a_replica() -> None:
    """A request that doesn't fit waits, whichever instance it arrives at; ends free the memory."""

    async def check(fleet: Fleet) -> None:
        replica = fleet.replica_by_id["r1"]
        replica.behaviour.answer_after_s = 0.4
        statuses: list[int] = []

        async def send(gateway: Gateway) -> None:
            statuses.append((await fleet.send(gateway, "/read/a", headers=LARGE)).status)

        async with trio.open_nursery() as nursery:
            for gateway in fleet.gateways:
                nursery.start_soon(send, gateway)
            while len(statuses) < len(fleet.gateways):
                assert replica.running <= 1
                await trio.sleep(0.02)
        assert statuses == [200, 200]
        await wait_until(lambda: not any(_used_tokens(gateway) for gateway in fleet.gateways))

    run_with_fleet(check, gateways=2, replicas=1, config=_config())


def test_memory_of_a_lost_instances_requests_is_freed() -> None:
    """Its placements end with it; otherwise nothing large would be placed there again."""

    async def check(fleet: Fleet) -> None:
        subject = ReplicaPool("models").subject
        owner = next(each for each in fleet.gateways if each.members.owns(subject))
        lost = next(each for each in fleet.gateways if each is not owner)
        fleet.replica_by_id["r1"].behaviour.answer_after_s = 30.0

        async def send(gateway: Gateway) -> None:
            with suppress(UnwrapError):
                await fleet.send(gateway, "/read/a", headers=LARGE)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, lost)
            await wait_until(lambda: _used_tokens(owner) > 0)
            fleet.kill(lost)
            await wait_until(lambda: _used_tokens(owner) == 0)
            nursery.cancel_scope.cancel()

    run_with_fleet(check, gateways=3, replicas=1, config=_config())


def test_told_paces_reach_the_owner_of_the_pool() -> None:
    """The fourth field of the load counts, unless it is absurd or missing."""

    async def check(fleet: Fleet) -> None:
        subject = ReplicaPool("models").subject
        owner = next(each for each in fleet.gateways if each.members.owns(subject))
        other = next(each for each in fleet.gateways if each is not owner)
        pace, behaviour = owner.dispatcher.knowledge.pace, fleet.replica_by_id["r1"].behaviour
        replica = owner.board.replicas.read().get("r1")
        for load in ("1,0,4", "1,0,4,", "1,0,4,x", "1,0,4,nan", "1,0,4,0", "1,0,4,1e9", "1,0,4,90"):
            behaviour.load = load
            assert (await fleet.send(other, "/read/a")).status == 200
            assert not pace.is_told(replica), load
        behaviour.load = "1,0,4,250"
        assert (await fleet.send(other, "/read/a")).status == 200
        await wait_until(lambda: pace.is_told(replica))

    run_with_fleet(check, gateways=2, replicas=1)


load_tests = load_functions(globals())
