"""Instances that are cut off from the replicas, while callers, the store and peers reach them."""

import trio

from lagoonfold.placement import ReplicaPool
from lagoonfold_gateway import Gateway
from lagoonfold_gateway._clock import now_s
from standins.replica import EVENTS, NAMES, Replica
from tests._suite import load_functions
from tests.gateway._cut import CUTS, Cut
from tests.gateway._fleet import WAIT_S, Fleet, make_config, run_with_fleet, wait_until

LEARNING_S = 3.0  # in which an instance may find out that it is cut off
USUAL_S = 1.0  # many times what an answer takes
REQUESTS = 10
CALLERS = 4
PATHS = ("/read/a", "/write/a", "/turns/a")


async def _send_some(fleet: Fleet, gateway: Gateway, *, for_s: float) -> None:
    """Send requests that may fail, `CALLERS` at a time on each route."""

    async def call(path: str) -> None:
        while True:
            with trio.move_on_after(USUAL_S):
                await fleet.client_send(gateway, path)
            await trio.sleep(0.05)

    with trio.move_on_after(for_s):
        async with trio.open_nursery() as nursery:
            for path in PATHS * CALLERS:
                nursery.start_soon(call, path)


async def _assert_served(fleet: Fleet, gateway: Gateway) -> None:
    for number in range(REQUESTS):
        with trio.fail_after(USUAL_S):
            answer = await fleet.send(gateway, PATHS[number % len(PATHS)])
        assert answer.status == 200, (number, answer)


async def wait_for_answer(fleet: Fleet, gateway: Gateway) -> None:
    """Send requests until one is answered."""
    with trio.fail_after(WAIT_S):
        while (await fleet.send(gateway, "/read/a")).status != 200:
            await trio.sleep(0.05)


async def _strand(fleet: Fleet, gateway: Gateway) -> None:
    """Cut an instance off and let it find that out."""
    CUTS[1].begin(gateway)
    await _send_some(fleet, gateway, for_s=1.0)
    assert gateway.replica_caller.is_cut_off


async def _wait_until_refused(fleet: Fleet, replica: Replica) -> None:
    with trio.fail_after(WAIT_S):
        while await fleet.client.can_connect(replica.address):
            await trio.sleep(0.01)


def _abandoned(fleet: Fleet) -> int:
    return sum(replica.abandoned for replica in fleet.replica_by_id.values())


async def _wait_until_none_runs(fleet: Fleet) -> None:
    await wait_until(lambda: not any(r.running for r in fleet.replica_by_id.values()))


def _owner(fleet: Fleet) -> Gateway:
    subject = ReplicaPool("models").subject
    return next(gateway for gateway in fleet.gateways if gateway.members.owns(subject))


def test_callers_of_instances_that_are_cut_off_from_all_replicas_are_served() -> None:
    """By way of an instance that reaches them, also if most instances do not."""

    def run(cut: Cut) -> None:
        async def check(fleet: Fleet) -> None:
            stranded = fleet.gateways[:3]
            async with trio.open_nursery() as nursery:
                for gateway in stranded:
                    cut.begin(gateway)
                    nursery.start_soon(lambda each=gateway: _send_some(fleet, each, for_s=3.0))
            for gateway in stranded:
                await _assert_served(fleet, gateway)

        run_with_fleet(check, gateways=5, replicas=3)

    for cut in CUTS:
        run(cut)


def test_replicas_are_not_avoided_for_what_instances_that_are_cut_off_cannot_reach() -> None:
    """The owner of the replicas' pool is one of them, and places the requests of the others."""

    async def check(fleet: Fleet) -> None:
        owner = _owner(fleet)
        stranded = [owner, next(each for each in fleet.gateways if each is not owner)]
        sound = [each for each in fleet.gateways if each not in stranded]
        async with trio.open_nursery() as nursery:
            for gateway in stranded:
                CUTS[0].begin(gateway)
                nursery.start_soon(lambda each=gateway: _send_some(fleet, each, for_s=6.0))
            await trio.sleep(LEARNING_S)
            for _ in range(2):
                for gateway in sound:
                    await _assert_served(fleet, gateway)
            nursery.cancel_scope.cancel()

    run_with_fleet(check, gateways=4, replicas=3)


def test_request_lost_by_instances_that_are_cut_off_is_not_blamed_for_crashes() -> None:
    """Their connections broke, and they cannot open others, but the replica lives."""

    async def check(fleet: Fleet) -> None:
        *stranded, sound = fleet.gateways
        replica = fleet.replica_by_id["r1"]
        for gateway in stranded:
            assert (await fleet.send(gateway, "/read/a")).status == 200
            CUTS[2].begin(gateway)
            replica.behaviour.losses = 1
            await fleet.send(gateway, "/write/a", body=b"lost")
        await trio.sleep(0.5)
        answer = await fleet.send(sound, "/write/a", body=b"lost")
        assert answer.status == 200, answer

    run_with_fleet(check, gateways=3, replicas=1)


def test_request_lost_by_replicas_that_are_silent_for_a_second_is_not_blamed_for_crashes() -> None:
    """A replica that has crashed refuses connections, or stays away for longer."""

    async def check(fleet: Fleet) -> None:
        (gateway,), (replica,) = fleet.gateways, fleet.replica_by_id.values()
        for _ in range(2):
            await wait_for_answer(fleet, gateway)
            CUTS[3].begin(gateway)
            replica.behaviour.losses = 1
            assert (await fleet.send(gateway, "/write/a", body=b"lost")).status == 502
            await trio.sleep(1.2)
            Cut.end(gateway)
        await wait_for_answer(fleet, gateway)
        await trio.sleep(2.0)
        answer = await fleet.send(gateway, "/write/a", body=b"lost")
        assert answer.status == 200, answer

    run_with_fleet(check, replicas=1)


def test_stream_that_a_cut_has_silenced_goes_on_through_another_instance() -> None:
    """In the same answer, and long before its caller's deadline."""

    async def check(fleet: Fleet) -> None:
        stranded = fleet.gateways[0]
        pauses = [replica.behaviour for replica in fleet.replica_by_id.values()]
        for behaviour in pauses:
            behaviour.event_pause_s = 0.1
        bodies: list[bytes] = []

        async def read() -> None:
            bodies.append((await fleet.send(stranded, "/turns/a", deadline_ms=8_000)).body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(0.25)
            for behaviour in pauses:
                behaviour.event_pause_s = 30.0
            CUTS[0].begin(stranded)
            await trio.sleep(0.2)
            for behaviour in pauses:
                behaviour.event_pause_s = 0.0
            with trio.fail_after(4.0):
                for path in PATHS[:2] * 2:
                    await fleet.client_send(stranded, path)
                while not bodies:
                    await trio.sleep(0.02)
        assert [line for line in bodies[0].split(b"\n") if line.startswith(b"id")] == [
            b"id: %d" % number for number in range(1, EVENTS + 1)
        ]

    run_with_fleet(check, gateways=3, replicas=3, config=make_config(timeout_s=8.0))


def test_instance_that_calls_one_replica_only_finds_out_that_it_is_cut_off_from_all() -> None:
    """No request shows the other paths, and streams on these would stay silent."""

    def run(cut: Cut) -> None:
        async def check(fleet: Fleet) -> None:
            stranded, caller = fleet.gateways[0], fleet.gateways[0].replica_caller
            cut.begin(stranded)
            assert not await caller.is_down(fleet.replica_by_id["r1"].address)
            with trio.fail_after(LEARNING_S):
                while not caller.is_cut_off:
                    await trio.sleep(0.01)

        run_with_fleet(check, gateways=3, replicas=3)

    for cut in CUTS[:2]:
        run(cut)


def test_replicas_are_called_directly_again_once_a_cut_has_ended() -> None:
    """Also where most requests had gone through another instance."""

    async def check(fleet: Fleet) -> None:
        stranded = fleet.gateways[0]
        CUTS[1].begin(stranded)
        await _send_some(fleet, stranded, for_s=1.0)
        assert stranded.replica_caller.is_cut_off
        Cut.end(stranded)
        addresses = [replica.address for replica in fleet.replica_by_id.values()]
        caller = stranded.replica_caller
        await wait_until(lambda: not any(map(caller.must_relay, addresses)))
        relayed = stranded.metrics.counts()["replica_calls_relayed"]
        await _assert_served(fleet, stranded)
        assert stranded.metrics.counts()["replica_calls_relayed"] == relayed

    run_with_fleet(check, gateways=2, replicas=3)


def test_request_is_refused_at_once_if_no_instance_reaches_a_replica() -> None:
    """It is told when to come back, and none is passed on from instance to instance."""

    async def check(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            for gateway in fleet.gateways:
                CUTS[0].begin(gateway)
                nursery.start_soon(lambda each=gateway: _send_some(fleet, each, for_s=LEARNING_S))
        for gateway in fleet.gateways:
            with trio.fail_after(USUAL_S):
                answer = await fleet.send(gateway, "/write/a")
            assert answer.status == 503 and float(answer.header("retry-after")) > 0, answer

    run_with_fleet(check, gateways=3, replicas=3)


def test_replica_that_is_down_is_avoided_though_peers_exist() -> None:
    """A peer that cannot connect either shows that it is the replica's fault."""

    async def check(fleet: Fleet) -> None:
        fleet.replica_by_id["r1"].stop()
        owner = _owner(fleet)
        for gateway in fleet.gateways:
            await _assert_served(fleet, gateway)
        # It may have been chosen for none of these.
        with trio.fail_after(WAIT_S):
            while not owner.replica_tracker.is_ejected("r1", now_s=now_s()):
                assert (await fleet.send(owner, "/write/a")).status == 200
        assert not any(gateway.replica_caller.is_cut_off for gateway in fleet.gateways)

    run_with_fleet(check, gateways=2, replicas=3)


def test_replicas_that_are_down_are_found_so_by_a_peer_that_has_found_others_down() -> None:
    """Two that are down are no cut while another accepts connections."""

    async def check(fleet: Fleet) -> None:
        caller = fleet.gateways[0].replica_caller
        for replica_id in ("r1", "r2", "r3"):
            replica = fleet.replica_by_id[replica_id]
            replica.stop()
            await _wait_until_refused(fleet, replica)
            assert await caller.is_down(replica.address), replica_id

    run_with_fleet(check, gateways=2, replicas=5)


def test_replicas_are_not_found_down_by_instances_that_are_all_cut_off() -> None:
    """None of them can tell, whether connections are refused or hang."""

    async def assert_not_found_down(gateway: Gateway, replica: Replica) -> None:
        assert not await gateway.replica_caller.is_down(replica.address)

    def run(cut: Cut) -> None:
        async def check(fleet: Fleet) -> None:
            async with trio.open_nursery() as nursery:
                for gateway in fleet.gateways:
                    cut.begin(gateway)
                    nursery.start_soon(lambda each=gateway: _send_some(fleet, each, for_s=1.0))
            async with trio.open_nursery() as nursery:
                for gateway in fleet.gateways:
                    for replica in fleet.replica_by_id.values():
                        nursery.start_soon(assert_not_found_down, gateway, replica)

        run_with_fleet(check, gateways=2, replicas=3)

    for cut in CUTS[:2]:
        run(cut)


def test_caller_that_leaves_cancels_a_request_that_another_instance_passes_on() -> None:
    """The replica does not go on working for nobody."""

    async def check(fleet: Fleet) -> None:
        stranded = fleet.gateways[0]
        await _strand(fleet, stranded)
        await _wait_until_none_runs(fleet)
        before = _abandoned(fleet)
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 60.0
        for path in PATHS:
            with trio.move_on_after(0.3):
                await fleet.send(stranded, path)
            # A request whose answer is overdue is sent to a second replica.
            await _wait_until_none_runs(fleet)
        assert _abandoned(fleet) - before >= len(PATHS)

    run_with_fleet(check, gateways=2, replicas=3, config=make_config(timeout_s=30.0))


def test_planned_stop_of_an_instance_ends_what_it_passes_on_for_others_first() -> None:
    """A request that may run once is answered, and the next ones go through another instance."""

    async def check(fleet: Fleet) -> None:
        stranded, relay, other = fleet.gateways
        CUTS[1].begin(other)
        await _strand(fleet, stranded)
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 1.0
        statuses: list[int] = []

        async def send() -> None:
            statuses.append((await fleet.send(stranded, "/write/last")).status)

        def has_arrived() -> bool:
            replicas = fleet.replica_by_id.values()
            return any(each.path == "/write/last" for r in replicas for each in r.requests)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_until(has_arrived)
            Cut.end(other)
            await relay.stop()
            assert statuses == [200]
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 0.0
        await _assert_served(fleet, stranded)

    run_with_fleet(check, gateways=3, replicas=3)


def test_refusal_written_once_more_is_not_that_of_the_next_attempt_through_an_instance() -> None:
    """The replica had refused the same request before, so the copy has its id."""

    async def check(fleet: Fleet) -> None:
        gateway, replica = fleet.gateways[0], fleet.replica_by_id["r1"]
        for cut in (None, CUTS[1]):
            if cut is not None:
                cut.begin(gateway)
            for status in (503, 429, 421):
                assert (await fleet.send(gateway, "/write/a")).status == 200
                request_id = fleet.next_id()
                head = f"HTTP/1.1 {status} Refused\r\n{NAMES.not_run}: 1\r\n"
                copy = f"{head}{NAMES.request_id}: {request_id}\r\ncontent-length: 0\r\n\r\n"
                replica.behaviour.refusals = 1
                replica.behaviour.stale = copy.encode()
                answer = await fleet.send(gateway, "/write/a", request_id=request_id)
                assert not replica.behaviour.refusals
                assert replica.runs_by_request[request_id] == 1, (cut, status)
                assert answer.status in (200, 502), (cut, status, answer)
                replica.behaviour.stale = b""

    run_with_fleet(check, gateways=2, replicas=1)


load_tests = load_functions(globals())
