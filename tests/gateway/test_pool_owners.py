"""Instances agree on the owners of pools by the capacities that they tell each other."""

import math
from unittest import mock

import msgspec

from lagoonfold.liveness import InstanceStatus
from lagoonfold.placement import ReplicaPool
from lagoonfold_gateway import _capacities
from lagoonfold_gateway._messages import StatusNews
from lagoonfold_gateway._pool_owners import PoolOwners
from tests._suite import load_functions
from tests.gateway._simulated_fleet import SimulatedFleet, run_simulated

CORES_BY_ID = {"i0": 0.387, "i1": 0.516, "i2": 2.151, "i3": 1.0, "i4": 2.151}
POOLS = tuple(ReplicaPool(f"s{number}", index, 4) for number in range(10) for index in range(4))


def _duties(fleet: SimulatedFleet, instance_id: str) -> list[object]:
    member = fleet.member_by_id[instance_id]
    owners = PoolOwners(member.board, member.members.presence)
    return [owners.duty(pool) for pool in POOLS]


async def _start_all(fleet: SimulatedFleet, cores_by_id: dict[str, float]) -> None:
    for instance_id, cores in cores_by_id.items():
        await fleet.start(instance_id, cores=cores)
    await fleet.wait_until(fleet.is_settled)


def test_all_instances_know_the_same_owners() -> None:
    """Two owners of a pool would place on the same slots, without an end to it."""

    async def check(fleet: SimulatedFleet) -> None:
        await _start_all(fleet, CORES_BY_ID)
        assert fleet.member_by_id["i0"].board.capacities.read() == CORES_BY_ID
        first, *others = (_duties(fleet, key) for key in CORES_BY_ID)
        assert all(each == first for each in others)
        fleet.kill("i2")
        await fleet.wait_until(fleet.is_settled)
        first, *others = (_duties(fleet, key) for key in fleet.member_by_id)
        assert all(each == first for each in others)

    run_simulated(check)


def test_capacity_that_cannot_be_used_counts_as_one_core_and_is_logged_once() -> None:
    """An instance with a wrong setting would own all pools, or none, or stop the others."""

    async def check(fleet: SimulatedFleet) -> None:
        wrong = {"i1": 0.0, "i2": -2.0, "i3": math.nan, "i4": math.inf, "i5": 2_000.0}
        with mock.patch.object(_capacities._log, "warning") as warning:
            await _start_all(fleet, {"i0": 0.5, **wrong})
            assert await fleet.wait_until(fleet.is_settled) < 1.0
            for number in (1, 2):
                told = InstanceStatus(
                    instance="odd", start_id="s", number=number, processor_cores=math.nan
                )
                await fleet.network.bus_by_id["i0"].handle(StatusNews(statuses=(told,)))
        logged = [call for call in warning.mock_calls if call.args[0] == "member.capacity_unusable"]
        assert sorted(call.kwargs["member"] for call in logged) == [*wrong, "odd"], logged
        for member in fleet.member_by_id.values():
            read = dict(member.board.capacities.read())
            assert read.pop("odd", 1.0) == 1.0
            assert read == {"i0": 0.5, **dict.fromkeys(wrong, 1.0)}

    run_simulated(check)


def test_instance_of_the_previous_build_counts_as_one_core() -> None:
    """It tells no capacity, and drops that of others from what it passes on."""

    async def check(fleet: SimulatedFleet) -> None:
        await _start_all(fleet, {"i0": 0.5, "i1": 2.0})
        bus, board = fleet.network.bus_by_id["i0"], fleet.member_by_id["i0"].board
        known = fleet.member_by_id["i0"].members.status("i1")
        assert known is not None
        earlier = InstanceStatus(instance="old", start_id="s", number=1, address="127.0.0.1:3")
        raised = msgspec.structs.replace(known, number=known.number + 1, processor_cores=None)
        await bus.handle(StatusNews(statuses=(earlier, raised)))
        assert board.capacities.read() == {"i0": 0.5, "i1": 2.0, "old": 1.0}

    run_simulated(check)


load_tests = load_functions(globals())
