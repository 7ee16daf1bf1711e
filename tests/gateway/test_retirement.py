"""Gateways answer requests to empty machines on which no disk is listed."""

import trio

from lagoonfold_gateway import DEFAULT_RETIREMENT
from lagoonfold_gateway.histories._disk_controller import DISK_PREFIX
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, run_with_fleet, wait_until

REQUEST = DEFAULT_RETIREMENT.request_prefix
ANSWER = DEFAULT_RETIREMENT.answer_prefix


def test_machine_without_a_disk_is_retired_by_one_gateway_after_a_failed_write() -> None:
    """The answer is written once the store accepts it, and only once by all gateways."""

    async def check(fleet: Fleet) -> None:
        fleet.store.put(REQUEST + "s1", b"{}")
        await wait_until(lambda: all(len(g.retirement_responder.seen) == 1 for g in fleet.gateways))
        fleet.store.is_down = True
        await trio.sleep(0.2)
        fleet.store.is_down = False
        await wait_until(lambda: fleet.store.value(ANSWER + "s1") is not None)
        assert fleet.store.value(ANSWER + "s1") == DEFAULT_RETIREMENT.encode_state(True)
        await trio.sleep(3.0)
        answers = [put for puts in fleet.store.commits for put in puts if put.key == ANSWER + "s1"]
        assert len(answers) == 1, answers

    run_with_fleet(check, gateways=3)


def test_gateways_that_act_at_once_around_a_hand_over_answer_once() -> None:
    """Each takes itself for the one whose turn it is, as views of the live instances differ."""

    async def check(fleet: Fleet) -> None:
        fleet.store.put(REQUEST + "s1", b"{}")
        async with trio.open_nursery() as nursery:
            for gateway in fleet.gateways:
                nursery.start_soon(gateway.retirement_responder._try_to_answer, "s1")
        answers = [put for puts in fleet.store.commits for put in puts if put.key == ANSWER + "s1"]
        assert len(answers) == 1, answers

    run_with_fleet(check, gateways=3)


def test_gateway_that_stops_goes_on_serving_when_a_machine_is_to_be_emptied() -> None:
    """A gateway that leaves is not among the live ones; a search for itself there ended it."""

    async def check(fleet: Fleet) -> None:
        stays, stops = fleet.gateways
        stops.board.stopping.write(True)
        stops.heartbeats.announce_leaving()
        await wait_until(lambda: stops.board.live.read().ids == (stays.bus.own_id,))
        fleet.store.put(REQUEST + "s1", b"{}")
        await wait_until(lambda: all(len(g.retirement_responder.seen) == 1 for g in fleet.gateways))
        await wait_until(lambda: fleet.store.value(ANSWER + "s1") is not None)
        answer = await fleet.send(stops, "/read/x")
        assert answer.status == 200, answer

    run_with_fleet(check, gateways=2)


def test_request_for_a_listed_disk_is_left_to_its_instance() -> None:
    """A gateway must not call a disk empty of which it knows nothing."""

    async def check(fleet: Fleet) -> None:
        fleet.store.put(DISK_PREFIX + "s1", b"{}")
        fleet.store.put(REQUEST + "s1", b"{}")
        fleet.store.put(REQUEST + "s2", b"{}")
        await wait_until(lambda: fleet.store.value(ANSWER + "s2") is not None)
        await trio.sleep(1.5)
        assert fleet.store.value(ANSWER + "s1") is None

    run_with_fleet(check, gateways=1)


load_tests = load_functions(globals())
