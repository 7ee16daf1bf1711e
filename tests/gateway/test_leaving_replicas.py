"""Replicas that say in their answers that they leave get nothing new, whatever the store lists."""

import trio

from lagoonfold import rendezvous_weight
from lagoonfold.placement import pool_of
from lagoonfold_gateway.placing._placement_client import NO_REPLICA_WAIT_S
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, knows_all, make_config, run_with_fleet, wait_until

MARGIN_S = 0.5  # a tenth of the caller's time


async def _send_some(fleet: Fleet, count: int = 12) -> list[int]:
    """Send requests through all gateways in turn; return the statuses."""
    return [
        (await fleet.send(fleet.gateways[number % len(fleet.gateways)], "/read/a")).status
        for number in range(count)
    ]


async def _learn(fleet: Fleet, replica_id: str) -> None:
    """Send requests until a gateway has passed on an answer of a replica that leaves."""
    replica = fleet.replica_by_id[replica_id]
    replica.behaviour.leaving = "1"
    before = len(replica.requests)
    with trio.fail_after(5.0):
        while len(replica.requests) == before:
            await _send_some(fleet)


def test_replica_that_says_that_it_leaves_gets_nothing_more_from_any_instance() -> None:
    """The answer is the news: the store goes on listing the replica as ready, and then is down."""

    async def check(fleet: Fleet) -> None:
        leaving, other = fleet.replica_by_id["r1"], fleet.replica_by_id["r2"]
        await _learn(fleet, "r1")
        await wait_until(
            lambda: all(not _is_available(gateway, "r1") for gateway in fleet.gateways)
        )
        before = len(leaving.requests)
        fleet.list_replica(leaving)
        fleet.put_config(make_config(version=2))
        await wait_until(
            lambda: all(g.board.config.read().config.version == 2 for g in fleet.gateways)
        )
        assert set(await _send_some(fleet)) == {200}
        fleet.store.is_down = True
        fleet.store.cut_watches()
        assert set(await _send_some(fleet)) == {200}
        fleet.store.is_down = False
        await trio.sleep(1.0)
        assert set(await _send_some(fleet)) == {200}
        assert len(leaving.requests) == before and len(other.requests) >= 36

    run_with_fleet(check, gateways=3)


def _is_available(gateway, replica_id: str) -> bool:
    replica = gateway.board.replicas.read().get(replica_id)
    return replica is not None and not replica.is_draining


def test_instance_that_is_cut_off_from_the_others_counts_the_answer_too() -> None:
    """One instance alone, without store and peers, has passed the answer on."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        fleet.view_by_gateway["g1"].is_cut = True
        await _learn(fleet, "r1")
        before = len(fleet.replica_by_id["r1"].requests)
        assert set(await _send_some(fleet)) == {200}
        assert len(fleet.replica_by_id["r1"].requests) == before
        assert not _is_available(gateway, "r1")

    run_with_fleet(check, gateways=1)


def test_new_start_of_the_replica_ends_its_leaving() -> None:
    """Under the same id it is used again once the store lists the new incarnation."""

    async def check(fleet: Fleet) -> None:
        replica = fleet.replica_by_id["r1"]
        await _learn(fleet, "r1")
        replica.behaviour.leaving = None
        fleet.list_replica(replica, started=7)
        await wait_until(lambda: all(_is_available(gateway, "r1") for gateway in fleet.gateways))
        before = len(replica.requests)
        with trio.fail_after(5.0):
            while len(replica.requests) == before:
                await _send_some(fleet)

    run_with_fleet(check, gateways=2)


def test_instance_that_joins_is_told_who_leaves() -> None:
    """It would otherwise send a request of its own to learn it."""

    async def check(fleet: Fleet) -> None:
        await _learn(fleet, "r1")
        joined = await fleet.add_gateway("g9")
        await wait_until(lambda: len(joined.board.replicas.read().all()) == 2)
        await wait_until(lambda: not _is_available(joined, "r1"))

    run_with_fleet(check, gateways=2)


def test_restarted_owner_of_the_pool_is_told_who_leaves() -> None:
    """Nobody but the newcomer owns the pool, and it knows only what the store lists."""

    async def check(fleet: Fleet) -> None:
        await _learn(fleet, "r1")
        before = len(fleet.replica_by_id["r1"].requests)
        first, *_ = fleet.gateways
        pool = pool_of(first.board.replicas.read().get("r1"), 1)
        ids = [gateway.bus.own_id for gateway in fleet.gateways]
        owner = next(
            name
            for name in (f"n{number}" for number in range(100))
            if max((name, *ids), key=lambda key: rendezvous_weight(pool.subject, key)) == name
        )
        joined = await fleet.add_gateway(owner)
        await wait_until(lambda: knows_all(fleet))
        await wait_until(lambda: not _is_available(joined, "r1"))
        assert set(await _send_some(fleet)) == {200}
        assert len(fleet.replica_by_id["r1"].requests) == before

    run_with_fleet(check, gateways=2)


def test_other_values_of_the_header_do_not_take_a_replica_out() -> None:
    """Only "1" says that a replica leaves."""

    async def check(fleet: Fleet) -> None:
        replica = fleet.replica_by_id["r1"]
        for value in ("0", "", "10", "x"):
            replica.behaviour.leaving = value
            before = len(replica.requests)
            with trio.fail_after(5.0):
                while len(replica.requests) == before:
                    await _send_some(fleet)
            assert _is_available(fleet.gateways[0], "r1"), value

    run_with_fleet(check, gateways=1)


def test_service_all_of_whose_replicas_leave_refuses_until_one_starts() -> None:
    """A leaving replica is not used for want of another; a replacement is waited for shortly."""

    async def check(fleet: Fleet) -> None:
        replicas = [fleet.replica_by_id[replica_id] for replica_id in ("r1", "r2")]
        for replica in replicas:
            replica.behaviour.leaving = "1"
        with trio.fail_after(5.0):
            while any(_is_available(g, id_) for g in fleet.gateways for id_ in ("r1", "r2")):
                await _send_some(fleet, 1)
        before = [len(replica.requests) for replica in replicas]
        began_s = trio.current_time()
        answer = await fleet.send(fleet.gateways[0], "/read/a")
        assert answer.status == 503 and "retry-after" in dict(answer.headers)
        assert trio.current_time() - began_s < NO_REPLICA_WAIT_S + MARGIN_S
        assert [len(replica.requests) for replica in replicas] == before
        replicas[0].behaviour.leaving = None
        fleet.list_replica(replicas[0], started=7)
        await wait_until(lambda: all(_is_available(gateway, "r1") for gateway in fleet.gateways))
        assert set(await _send_some(fleet)) == {200}

    run_with_fleet(check, gateways=2)


load_tests = load_functions(globals())
