"""Limits that replicas name in their answers, over several instances."""

import random

import trio

from lagoonfold.placement import rank_pools
from lagoonfold.placement._replica_limits import MAX_LIMIT_PER_S
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, run_and_collect_lines, run_with_fleet, wait_until
from tests.gateway._limited_replicas import SERVICE, LimitedFleet

LIMIT_PER_S = 2.0
REQUESTS = 90
CALLERS = 6
PAUSE_S = 0.02
TOLERANCE = 1.5  # what a replica that names a limit may get is this many times the limit,
SLACK_REQUESTS = 5  # and so many more


async def _send_all(fleet: Fleet) -> float:
    """Send requests through all gateways at a steady rate; return how long that took."""
    began_s = trio.current_time()
    numbers = iter(range(REQUESTS))

    async def call() -> None:
        for number in numbers:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            answer = await fleet.send(gateway, "/read/a")
            assert answer.status == 200, answer
            await trio.sleep(PAUSE_S)

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(call)
    return trio.current_time() - began_s


def test_replica_gets_no_more_than_its_limit_from_all_instances() -> None:
    """Another replica has room for what goes beyond the limit, and no request fails."""

    async def check(fleet: Fleet) -> None:
        limited, other = fleet.replica_by_id.values()
        limited.behaviour.limits = (str(LIMIT_PER_S),)
        took_s = await _send_all(fleet)
        allowed = TOLERANCE * LIMIT_PER_S * took_s + SLACK_REQUESTS
        assert len(limited.requests) <= allowed, (len(limited.requests), allowed)
        assert len(limited.requests) + len(other.requests) == REQUESTS

    run_with_fleet(check, gateways=3)


def test_values_that_are_no_limit_change_nothing_and_are_logged() -> None:
    """A limit that was named before stays, and one that cannot be read is not taken for the end."""
    bad = ("abc", "-1", "inf", "nan", "1e999", "2,x")

    async def check(fleet: Fleet) -> None:
        gateway, (replica,) = fleet.gateways[0], fleet.replica_by_id.values()
        limits = gateway.limit_controller.limits
        for value in bad:
            replica.behaviour.limits = (value,)
            assert (await fleet.send(gateway, "/read/a")).status == 200
            assert limits.limit_per_s("r1") is None, value
        replica.behaviour.limits = ("50", "20")
        assert (await fleet.send(gateway, "/read/a")).status == 200
        replica.behaviour.limits = ("-1",)
        assert (await fleet.send(gateway, "/read/a")).status == 200
        assert limits.limit_per_s("r1") == 20.0
        replica.behaviour.limits = ("1e300",)
        assert (await fleet.send(gateway, "/read/a")).status == 200
        assert limits.limit_per_s("r1") == MAX_LIMIT_PER_S
        replica.behaviour.limits = ()
        assert (await fleet.send(gateway, "/read/a")).status == 200
        assert limits.limit_per_s("r1") is None

    lines = run_and_collect_lines(check, replicas=1)
    reasons = " ".join(str(fields["reason"]) for fields in lines["replica.limit_unreadable"])
    assert all(f"{value.split(',')[-1]!r}" in reasons for value in bad), reasons
    named = [fields["limit_per_s"] for fields in lines["replica.limited"]]
    assert named == [20.0, 1e300] and len(lines["replica.limit_ended"]) == 1, lines


def test_limit_that_a_restarted_replica_no_longer_names_is_forgotten() -> None:
    """The new incarnation under the same id gets requests at once."""

    async def check(fleet: Fleet) -> None:
        gateway, (replica,) = fleet.gateways[0], fleet.replica_by_id.values()
        replica.behaviour.limits = ("0",)
        assert (await fleet.send(gateway, "/read/a")).status == 200
        replica.behaviour.limits = ()
        fleet.list_replica(replica, started=2)
        await wait_until(lambda: gateway.limit_controller.limits.limit_per_s("r1") is None)
        for _ in range(5):
            assert (await fleet.send(gateway, "/read/a")).status == 200

    run_with_fleet(check, replicas=1)


def test_instance_that_comes_is_told_the_limits_also_as_the_new_owner() -> None:
    """It places from then on, and would pass the limit until an answer names it again."""
    told = 0
    for number in range(20):
        fleet = LimitedFleet(random.Random(number))
        fleet.add_replicas(8)
        fleet.start("i0", "i1", "i2")
        fleet.limit_by_id.update(dict.fromkeys(fleet.replica_by_id, 2.0))
        fleet.send_requests(40.0, 4.0)
        fleet.run_until(5.0)
        fleet.start(f"new{number}")
        fleet.run_until(8.0)
        limits = fleet.instance_by_id[f"new{number}"].limit_controller.limits
        assert set(limits.named()) == set(fleet.replica_by_id), number
        pool = rank_pools(SERVICE, list(fleet.replica_by_id.values()), "")[0]
        told += fleet.owner(pool) == f"new{number}"
    assert told, "no newcomer was an owner"


SIZES_AND_REPLICAS = ((7, 5), (56, 24), (300, 24))
USUAL_PER_S = 14.0  # requests at each replica
WINDOW_S = 4.0
NOTICE_S = 3.0  # until a limit binds that a replica has begun to name
NAMED_AT_S = 2.0
ENDS_AT_S = 22.0
END_S = 25.0


def _most_in_a_window(arrived_at_s: list[float], until_s: float) -> int:
    """Return the most requests in a window that ends with one, while the replica's limit binds."""
    ends = [at_s for at_s in arrived_at_s if NAMED_AT_S + NOTICE_S <= at_s <= until_s]
    return max(sum(end - WINDOW_S <= at_s <= end for at_s in arrived_at_s) for end in ends)


def _play_changes_of_owners(
    size: int, replicas: int, limit_per_s: float, *, busy_share: float = 0.0
) -> LimitedFleet:
    """Let owners of pools be lost, replaced and cut off while four in five replicas are limited."""
    fleet = LimitedFleet(random.Random(f"{size}-{limit_per_s}"))
    fleet.busy_share = busy_share
    fleet.add_replicas(replicas)
    fleet.start(*(f"i{number}" for number in range(size)))
    fleet.send_requests(USUAL_PER_S * replicas, END_S)
    fleet.run_until(NAMED_AT_S)
    limited = [key for number, key in enumerate(fleet.replica_by_id) if number % 5]
    fleet.limit_by_id.update(dict.fromkeys(limited, limit_per_s))
    pools = rank_pools(SERVICE, list(fleet.replica_by_id.values()), "")
    owners = [fleet.owner(pool) for pool in pools]
    fleet.run_until(6.0)
    fleet.stop(*set(owners))
    fleet.run_until(9.0)
    fleet.start(*set(owners))
    fleet.run_until(12.0)
    others = [key for key in fleet.instance_by_id if key not in owners]
    fleet.cut_off(*owners, *others[: size // 3 - len(set(owners))])
    fleet.run_until(16.0)
    fleet.heal()
    fleet.run_until(19.0)
    fleet.start("new")
    fleet.run_until(ENDS_AT_S)
    fleet.limit_by_id.clear()
    fleet.run_until(END_S)
    return fleet


def test_sum_of_all_instances_stays_within_a_limit_while_owners_change() -> None:
    """At any size of the fleet, also while instances differ in who the owner is."""
    for size, replicas in SIZES_AND_REPLICAS:
        for limit_per_s in (1.0, 7.0):
            fleet = _play_changes_of_owners(size, replicas, limit_per_s)
            allowed = TOLERANCE * limit_per_s * WINDOW_S + SLACK_REQUESTS
            for number, replica_id in enumerate(fleet.replica_by_id):
                arrived_at_s = fleet.arrived_at_s[replica_id]
                if number % 5:
                    most = _most_in_a_window(arrived_at_s, ENDS_AT_S)
                    assert most <= allowed, (size, replica_id, limit_per_s, most, allowed)


def test_deputies_of_busy_owners_keep_within_a_limit() -> None:
    """Owner, deputy and next owner would be three that place, of which the limit allows two."""
    fleet = _play_changes_of_owners(7, 5, 7.0, busy_share=0.5)
    for number, replica_id in enumerate(fleet.replica_by_id):
        if number % 5:
            most = _most_in_a_window(fleet.arrived_at_s[replica_id], ENDS_AT_S)
            assert most <= TOLERANCE * 7.0 * WINDOW_S + SLACK_REQUESTS, (replica_id, most)


def test_limited_replicas_are_used_up_to_their_limits_and_freely_after_them() -> None:
    """Changes of the owner cost little, and an ended limit is forgotten at once."""
    for size, replicas in SIZES_AND_REPLICAS[:2]:
        fleet = _play_changes_of_owners(size, replicas, 7.0)
        for number, replica_id in enumerate(fleet.replica_by_id):
            if number % 5:
                at_s = fleet.arrived_at_s[replica_id]
                used = sum(NAMED_AT_S + NOTICE_S <= each <= ENDS_AT_S for each in at_s)
                assert used >= 0.8 * 7.0 * (ENDS_AT_S - NAMED_AT_S - NOTICE_S), (size, used)
                after = sum(ENDS_AT_S + 1.0 <= each for each in at_s)
                assert after >= 0.6 * USUAL_PER_S * (END_S - ENDS_AT_S - 1.0), (size, after)


load_tests = load_functions(globals())
