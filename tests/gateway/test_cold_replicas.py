"""Cold replicas over several instances, and the affinity of requests to objects."""

import random
from dataclasses import replace
from functools import partial

from lagoonfold.forwarding import ForwardService
from lagoonfold.placement import ColdTerms, ReplicaPool, SelectionInput, rank_pools
from lagoonfold_gateway._board import EvacuationView, GatewayBoard
from lagoonfold_gateway.placing import PlacementEvidence
from standins.replica import NAMES
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, make_config, run_and_collect_lines, wait_until
from tests.gateway._limited_replicas import SERVICE, Instance, LimitedFleet

PER_S, START_S = 27.0, 3.0
ALLOWED = 1.5 * PER_S + 5  # in any second, from all instances
NOTICE_S = 0.25  # until every instance has a change of the store
REQUESTS_PER_S = 60.0  # at each replica, more than a cold one may get


def _become_cold(fleet: LimitedFleet, restarted_ids: list[str]) -> None:
    """Let replicas start again under the same id, and the domain of the others be restored."""
    view = EvacuationView(frozenset(), {"zone-b": fleet.clock.now_s})
    for key in restarted_ids:
        fleet.replica_by_id[key] = replace(fleet.replica_by_id[key], started=1, cold_s=20.0)

    def apply(board: GatewayBoard) -> None:
        board.evacuations.write(view)
        for key in restarted_ids:
            board.replicas.read().put(fleet.replica_by_id[key])
        board.replicas.write(board.replicas.read())

    for instance in fleet.instance_by_id.values():
        lag_s = fleet.rng.uniform(0.0, NOTICE_S)
        fleet.clock.call_later(lag_s, partial(apply, instance.board))


def _set_terms(instance: Instance) -> None:
    terms = ColdTerms(start_s=START_S, per_s=PER_S)
    instance.cold_controller.cold.set_terms({SERVICE: terms})


def _most_in_a_second(fleet: LimitedFleet, key: str, from_s: float, until_s: float) -> int:
    at_s = [each for each in fleet.arrived_at_s[key] if from_s <= each < until_s]
    return max(sum(end - 1 <= each <= end for each in at_s) for end in at_s)


def test_sum_of_all_instances_stays_within_the_bound_while_owners_change() -> None:
    """Owners that are lost, replaced and cut off must not together crash a cold replica.

    Half of the replicas are a release of which each is cold, the others a domain that returns.
    Deputies of owners that say that they are busy place as well.
    """
    for size, replicas, busy_share in ((7, 6, 0.0), (7, 6, 0.5), (56, 24, 0.0)):
        fleet = LimitedFleet(random.Random(size), busy_share=busy_share)
        fleet.add_replicas(replicas)
        restarted_ids, restored_ids = (list(fleet.replica_by_id)[start::2] for start in (0, 1))
        for key in restored_ids:
            fleet.replica_by_id[key] = replace(fleet.replica_by_id[key], failure_domain="zone-b")
        fleet.start(*(f"i{number}" for number in range(size)))
        fleet.send_requests(REQUESTS_PER_S * replicas, 12.0)
        fleet.run_until(1.0)
        for instance in fleet.instance_by_id.values():
            _set_terms(instance)
        _become_cold(fleet, restarted_ids)
        pools = rank_pools(SERVICE, list(fleet.replica_by_id.values()), "")
        owners = {fleet.owner(pool) for pool in pools}
        for until_s, change in ((2.0, fleet.stop), (5.0, fleet.start), (7.0, fleet.cut_off)):
            fleet.run_until(until_s)
            change(*owners)
            for key in owners & fleet.instance_by_id.keys():
                _set_terms(fleet.instance_by_id[key])
        fleet.run_until(9.0)
        for key in owners:
            cold = fleet.instance_by_id[key].cold_controller.cold
            assert not any(cold.has_room(each, now_s=9.0) for each in restarted_ids), key
        fleet.heal()
        fleet.run_until(12.0)
        cold_until_s = dict.fromkeys(restarted_ids, 12.0) | dict.fromkeys(restored_ids, 4.0)
        for key, until_s in cold_until_s.items():
            most = _most_in_a_second(fleet, key, 1.0 + NOTICE_S, until_s)
            assert PER_S / 3 <= most <= ALLOWED, (size, key, most)
        assert all(_most_in_a_second(fleet, key, 4.5, 12.0) > ALLOWED for key in restored_ids)


def test_figures_and_objects_reach_whoever_places() -> None:
    """A start that nobody counts crashes a replica, and a bad value must not hide it."""

    async def check(fleet: Fleet) -> None:
        replica, gateways = fleet.replica_by_id["r1"], fleet.gateways
        owner = next(g for g in gateways if g.bus.own_id == g.members.owner("models/0"))

        async def send(path: str, key: str = "") -> None:
            for gateway in gateways:
                answer = await fleet.send(gateway, path, headers=((NAMES.affinity, key),))
                assert answer.status == 200

        async def wait_for(is_cold: bool) -> None:
            await wait_until(lambda: all(g.dispatcher.is_cold("r1") == is_cold for g in gateways))

        for replica.behaviour.cold in ("x", "nan", "-1"):
            await send("/turns/a", "cart-7")
        await send("/read/a", "cart-8")
        await send("/turns/a", "k" * 5_000)
        assert set(owner.dispatcher._selector.knowledge.objects._latest_by_key) == {"cart-7"}
        replica.behaviour.cold = None
        fleet.list_replica(replica, cold_s=-5.0)
        await wait_until(lambda: owner.board.replicas.read().get("r1").cold_s == -5.0)
        await wait_for(False)
        fleet.list_replica(replica, started=2)
        await wait_for(True)
        tracker, listed = owner.dispatcher._tracker, owner.board.replicas.read().get("r1")
        for answer_s in (0.01, 0.3):  # warm-up that counts as slowness leaves it unused for long
            ended = PlacementEvidence(route="r", outcome=None, answer_s=answer_s)
            owner.dispatcher.record_sent(listed, SelectionInput(typical_latency_s=0.1))
            owner.dispatcher.record_end(ReplicaPool("models"), listed, ended, sender="g1")
        assert tracker.slowdown("r1", now_s=0.0) == 1.0
        await wait_for(False)
        replica.behaviour.cold = "60000"
        other = next(g for g in gateways if g is not owner)
        assert (await fleet.send(other, "/read/a")).status == 200
        await wait_until(lambda: owner.dispatcher.is_cold("r1"))

    service = ForwardService(name="models", max_connections=99, cold_start_s=1.0, cold_per_s=20.0)
    config = replace(make_config(), services_by_name={"models": service})
    lines = run_and_collect_lines(check, gateways=3, replicas=1, config=config)
    values = {fields["value"] for fields in lines["replica.cold_unusable"]}
    assert values == {"x", "nan", "-0.001", "-5.0"}
    assert {"replica.cold", "replica.warm"} <= set(lines)


load_tests = load_functions(globals())
