"""Rates of client accounts over several instances."""

import trio

from lagoonfold.rates import RateLimit
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, make_config, run_with_fleet, wait_until

BURST = 10


def test_rate_holds_over_all_instances() -> None:
    """Instances together admit no more than the burst if the rate is close to zero."""

    async def check(fleet: Fleet) -> None:
        statuses: list[int] = []

        async def send(number: int) -> None:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            statuses.append((await fleet.send(gateway, "/read/a")).status)

        async with trio.open_nursery() as nursery:
            for number in range(3 * BURST):
                nursery.start_soon(send, number)
        ran = sum(len(replica.requests) for replica in fleet.replica_by_id.values())
        assert statuses.count(200) == ran <= BURST
        assert statuses.count(200) >= BURST - 3, statuses
        assert set(statuses) == {200, 429}

    limit = RateLimit(rate_per_s=0.001, burst=BURST)
    run_with_fleet(check, gateways=3, config=make_config(limit=limit))


def test_rate_is_lent_after_the_owner_is_lost() -> None:
    """Another instance lends the account's rate after its owner is lost."""

    async def check(fleet: Fleet) -> None:
        owner = next(g for g in fleet.gateways if g.members.owns("acme"))
        fleet.kill(owner)
        survivor = fleet.gateways[0]
        await wait_until(lambda: len(survivor.board.live.read().ids) == len(fleet.gateways))
        assert (await fleet.send(survivor, "/read/a")).status == 200

    limit = RateLimit(rate_per_s=50, burst=50)
    run_with_fleet(check, gateways=3, config=make_config(limit=limit))


def test_lowered_limit_is_in_force() -> None:
    """A limit that is lowered during traffic applies to all later loans."""

    async def check(fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        assert (await fleet.send(gateway, "/read/a")).status == 200
        fleet.put_config(make_config(version=2, limit=RateLimit(rate_per_s=0.001, burst=1)))
        await wait_until(lambda: gateway.board.config.read().config.version == 2)
        statuses = [(await fleet.send(gateway, "/read/a")).status for _ in range(6)]
        assert statuses.count(200) <= 2 and 429 in statuses, statuses

    limit = RateLimit(rate_per_s=100, burst=100)
    run_with_fleet(check, config=make_config(limit=limit))


def test_program_that_has_begun_is_finished_through_any_instance() -> None:
    """A program of 6 turns finishes at a rate of 8 per second while 20 others start per second."""

    async def check(fleet: Fleet) -> None:
        began_s = trio.current_time()
        failed: list[int] = []

        async def run_first() -> None:
            for number in range(6):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                left_s = began_s + 3.0 - trio.current_time()
                answer = await fleet.send_turn(gateway, "first", budget=10_000, time_left_s=left_s)
                if answer.status != 200:
                    failed.append(number)

        async def run_other(number: int) -> None:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            await fleet.send_turn(gateway, f"other-{number}", budget=10_000, time_left_s=3.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_first)
            await trio.sleep(0.05)
            for number in range(100):
                nursery.start_soon(run_other, number)
                await trio.sleep(0.05)
        assert not failed, failed

    limit = RateLimit(rate_per_s=8, burst=8)
    run_with_fleet(check, gateways=3, config=make_config(limit=limit, timeout_s=5.0))


load_tests = load_functions(globals())
