"""Program budgets over several instances, with lost instances and store failures."""

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import replace

import msgspec

from lagoonfold import rendezvous_weight
from lagoonfold.budgets import BudgetRecord
from lagoonfold.forwarding import WeightedService
from lagoonfold_gateway import Gateway
from lagoonfold_gateway._budget_client import OUTAGE_RETRY_AFTER_S
from lagoonfold_gateway._charges import BUDGET_PREFIX
from lagoonfold_io import HttpRequest
from lagoonfold_io._http_connection import StreamError
from standins.replica import EVENTS, NAMES
from tests._suite import load_functions
from tests.gateway._fleet import HOST, KEY, Fleet, make_config, run_with_fleet, wait_until

TOKENS_PER_TURN = EVENTS * 10
BUDGET = 400
MAX_TOKENS = 100


async def _run_until_refused(fleet: Fleet, gateways: list[Gateway], program: str) -> int:
    """Send turns to the gateways in rotation until one is refused; return how many ran."""
    for number in range(2 * BUDGET // TOKENS_PER_TURN):
        gateway = gateways[number % len(gateways)]
        answer = await fleet.send_turn(gateway, program, budget=BUDGET, max_tokens=MAX_TOKENS)
        if answer.status == 402:
            return number
        assert answer.status == 200, answer
    raise AssertionError("the program was not stopped")


def _names() -> Iterator[str]:
    return (f"p{number}" for number in itertools.count())


def _first_of(ids: Iterable[str], program: str) -> str:
    return max(ids, key=lambda instance_id: rendezvous_weight(program, instance_id))


def _runs(fleet: Fleet) -> int:
    return sum(len(replica.requests) for replica in fleet.replica_by_id.values())


def test_program_that_loops_is_stopped_at_its_budget() -> None:
    """Turns through several instances share one budget, and the refused turn does not run."""

    async def check(fleet: Fleet) -> None:
        ran = await _run_until_refused(fleet, fleet.gateways, "loop")
        assert ran * TOKENS_PER_TURN <= BUDGET
        assert BUDGET - ran * TOKENS_PER_TURN < MAX_TOKENS
        assert _runs(fleet) == ran

    run_with_fleet(check, gateways=3)


def test_tokens_of_a_split_route_are_counted_by_the_service_that_serves_a_turn() -> None:
    """They were counted by its first service, whose events have fewer tokens (BUDGET)."""
    config = make_config()
    services = {
        name: replace(config.services_by_name["models"], name=name, tokens_per_event=tokens)
        for name, tokens in (("models", 2), ("large-models", 20))
    }
    targets = (
        WeightedService(service="models", weight=1),
        WeightedService(service="large-models", weight=1_000_000),
    )
    routes = tuple(replace(route, targets=targets) for route in config.routes)

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            fleet.list_replica(replica, service="large-models")
        (gateway,) = fleet.gateways
        view = gateway.board.replicas
        await wait_until(lambda: view.read().available_for("large-models"))
        ran = await _run_until_refused(fleet, fleet.gateways, "p")
        assert ran * EVENTS * 20 <= BUDGET + MAX_TOKENS
        assert ran == _runs(fleet)

    config = replace(config, routes=routes, services_by_name=services)
    run_with_fleet(check, config=config)


def test_turn_whose_replica_sends_more_than_it_may_have_is_broken_off() -> None:
    """Its replica does not keep to the turn's tokens, and its budget was exceeded (BUDGET)."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        most = TOKENS_PER_TURN - 20
        headers = (
            ("host", HOST),
            (NAMES.request_id, fleet.next_id()),
            (NAMES.deadline_ms, "2000"),
            (NAMES.api_key, KEY),
            (NAMES.program, "p"),
            (NAMES.budget_tokens, str(most)),
            (NAMES.token_counts, f"10,{most}"),
        )
        request = HttpRequest(method="POST", path="/turns/x", headers=headers)
        body = b""
        async with fleet.client.stream(gateway.settings.instance.listen, request) as opened:
            response = opened.unwrap()
            try:
                while data := await response.read():
                    body += data
            except StreamError:
                body += b"broken off"
        assert 10 * body.count(b"id: ") == most and body.endswith(b"broken off"), body
        assert _runs(fleet) == 1

    run_with_fleet(check)


def test_turn_that_breaks_off_after_its_last_token_goes_on_at_another_replica() -> None:
    """It has all that it may have, but its end is missing."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        for replica in fleet.replica_by_id.values():
            replica.behaviour.break_after = EVENTS
        answer = await fleet.send_turn(gateway, "whole", budget=BUDGET, max_tokens=TOKENS_PER_TURN)
        assert answer.status == 200 and answer.body.count(b"id: ") == EVENTS, answer

    run_with_fleet(check)


def test_budget_holds_after_all_instances_are_lost() -> None:
    """Tokens delivered before the loss still count, except for one turn at most."""

    async def check(fleet: Fleet) -> None:
        before = await _run_until_refused(fleet, fleet.gateways, "loop")
        for gateway in tuple(fleet.gateways):
            fleet.kill(gateway)
        again = await fleet.add_gateway("again", is_first_start=False)
        await wait_until(again.is_ready)
        after = 0
        while (
            await fleet.send_turn(again, "loop", budget=BUDGET, max_tokens=MAX_TOKENS)
        ).status == 200:
            after += 1
        assert (before + after) * TOKENS_PER_TURN <= BUDGET + MAX_TOKENS

    run_with_fleet(check, gateways=2)


def test_charge_whose_answer_was_lost_is_counted_once() -> None:
    """A charge that was written although its answer was lost is not charged again."""

    async def check(fleet: Fleet) -> None:
        for gateway in tuple(fleet.gateways):
            fleet.kill(gateway)
        gateway = await fleet.add_gateway("again", is_first_start=False)
        await wait_until(gateway.is_ready)
        fleet.store.answers_to_lose = 1
        assert (
            await fleet.send_turn(gateway, "p", budget=BUDGET, max_tokens=MAX_TOKENS)
        ).status in (200, 503)
        ran = await _run_until_refused(fleet, [gateway], "p")
        assert ran >= BUDGET // TOKENS_PER_TURN - 3

    run_with_fleet(check)


def test_new_instance_redirects_to_the_live_owner() -> None:
    """An instance that joins does not take over programs that a live one owns."""

    async def check(fleet: Fleet) -> None:
        first = fleet.gateways[0]
        fleet.kill(fleet.gateways[1])
        await wait_until(lambda: first.board.live.read().ids == ("g1",))
        programs = [f"p{number}" for number in range(12)]
        for program in programs:
            assert (
                await fleet.send_turn(first, program, budget=BUDGET, max_tokens=MAX_TOKENS)
            ).status == 200
        joined = await fleet.add_gateway("g3", is_first_start=False)
        await wait_until(lambda: len(first.board.live.read().ids) == 2 and joined.is_ready())
        await wait_until(lambda: joined.members.initial_members.ids == ("g1", "g2"))
        for program in programs:
            assert (
                await fleet.send_turn(joined, program, budget=BUDGET, max_tokens=MAX_TOKENS)
            ).status == 200
            value = fleet.store.value(BUDGET_PREFIX + program)
            if value is None:
                assert _first_of(("g1", "g2"), program) == "g1"
                continue
            record = msgspec.json.decode(value, type=BudgetRecord)
            assert record.writer.startswith("g1/"), record

    run_with_fleet(check, gateways=2)


def test_budget_that_a_live_owner_has_charged_whole_is_not_taken_for_spent() -> None:
    """A turn that arrives at a new instance goes on under the owner that holds the tokens."""

    async def check(fleet: Fleet) -> None:
        first = fleet.gateways[0]
        fleet.kill(fleet.gateways[1])
        await wait_until(lambda: first.board.live.read().ids == ("g1",))
        program = next(
            p
            for p in _names()
            if _first_of(("g1", "g2"), p) == "g2" and _first_of(("g1", "g3"), p) == "g3"
        )
        begun = await fleet.send_turn(first, program, budget=MAX_TOKENS, max_tokens=MAX_TOKENS)
        assert begun.status == 200
        joined = await fleet.add_gateway("g3", is_first_start=False)
        await wait_until(lambda: len(first.board.live.read().ids) == 2 and joined.is_ready())
        rest = MAX_TOKENS - TOKENS_PER_TURN
        ended = await fleet.send_turn(joined, program, budget=MAX_TOKENS, max_tokens=rest)
        assert ended.status == 200

    run_with_fleet(check, gateways=2)


def test_programs_go_on_while_the_store_is_down() -> None:
    """The first turns of a program need no store if no other instance can have owned it."""

    async def check(fleet: Fleet) -> None:
        fleet.store.is_down = True
        fleet.store.cut_watches()
        for _ in range(2):
            answer = await fleet.send_turn(
                fleet.gateways[0], "p", budget=BUDGET, max_tokens=MAX_TOKENS
            )
            assert answer.status == 200

    run_with_fleet(check, gateways=2)


def test_loss_of_an_instance_does_not_make_programs_of_others_wait_for_the_store() -> None:
    """Only programs whose initial owner is lost are charged at their first turn."""

    async def check(fleet: Fleet) -> None:
        initial = ("g1", "g2", "g3")
        fleet.kill(fleet.gateways[2])
        await wait_until(lambda: all(len(g.board.live.read().ids) == 2 for g in fleet.gateways))
        await fleet.add_gateway("g4", is_first_start=False)
        await wait_until(lambda: all(g.is_ready() for g in fleet.gateways))
        await wait_until(
            lambda: all(g.members.initial_members.ids == initial for g in fleet.gateways)
        )
        await wait_until(lambda: all(len(g.board.live.read().ids) == 3 for g in fleet.gateways))
        programs = [f"p{number}" for number in range(12)]
        for number, program in enumerate(programs):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            answer = await fleet.send_turn(gateway, program, budget=BUDGET, max_tokens=MAX_TOKENS)
            assert answer.status == 200
        charged = {p for p in programs if fleet.store.value(BUDGET_PREFIX + p) is not None}
        expected = {p for p in programs if _first_of(initial, p) == "g3"}
        assert charged == expected, (charged, expected)

    run_with_fleet(check, gateways=3)


def test_uncharged_tokens_are_given_once_through_losses_and_joins() -> None:
    """A program gets one turn's tokens without a charge, though its owner is lost and replaced."""

    async def check(fleet: Fleet) -> None:
        program = next(p for p in _names() if _first_of(("g1", "g2", "g3"), p) == "g3")
        delivered = []

        async def send_turns(count: int) -> None:
            for number in range(count):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                answer = await fleet.send_turn(
                    gateway, program, budget=BUDGET, max_tokens=MAX_TOKENS
                )
                delivered.append(10 * answer.body.count(b"id: "))

        await send_turns(1)
        assert fleet.store.value(BUDGET_PREFIX + program) is None
        fleet.kill(fleet.gateways[2])
        for name in ("g3", "g4"):
            await fleet.add_gateway(name, is_first_start=False)
        await wait_until(lambda: all(g.is_ready() for g in fleet.gateways))
        await wait_until(lambda: all(len(g.board.live.read().ids) == 4 for g in fleet.gateways))
        fleet.store.is_down = True
        fleet.store.cut_watches()
        await send_turns(8)
        assert 0 < sum(delivered) <= MAX_TOKENS, delivered

    run_with_fleet(check, gateways=3, config=make_config(timeout_s=0.5))


def test_turn_without_credit_does_not_take_a_slot_while_the_store_is_down() -> None:
    """A turn whose tokens cannot be charged is refused at once and has not run."""

    async def check(fleet: Fleet) -> None:
        fleet.store.is_down = True
        fleet.store.cut_watches()
        answers = []
        for _ in range(2 * MAX_TOKENS // TOKENS_PER_TURN + 2):
            answers.append(
                await fleet.send_turn(fleet.gateways[0], "p", budget=BUDGET, max_tokens=MAX_TOKENS)
            )
        statuses = [answer.status for answer in answers]
        served = statuses.count(200)
        assert served * TOKENS_PER_TURN <= MAX_TOKENS and served >= 1, statuses
        assert set(statuses[-2:]) == {503}, statuses
        assert float(answers[-1].header("retry-after")) == OUTAGE_RETRY_AFTER_S
        assert _runs(fleet) <= served + 1

    run_with_fleet(check, gateways=2, config=make_config(timeout_s=2.0))


def test_only_one_owner_gives_tokens_before_its_first_charge() -> None:
    """Without the store, all owners together deliver at most the `max_tokens` of one turn."""

    async def check(fleet: Fleet) -> None:
        fleet.store.is_down = True
        fleet.store.cut_watches()
        await wait_until(lambda: all(g.config_controller.watch.is_failing for g in fleet.gateways))
        delivered_tokens = 0
        for number in range(12):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            answer = await fleet.send_turn(gateway, "p", budget=BUDGET, max_tokens=MAX_TOKENS)
            delivered_tokens += 10 * answer.body.count(b"id: ")
        assert 0 < delivered_tokens <= MAX_TOKENS

    run_with_fleet(check, gateways=3, config=make_config(timeout_s=0.5))


def test_owner_that_cannot_charge_gives_way_to_one_that_can() -> None:
    """A program whose owner is cut off from the store goes on under another within its budget."""

    async def check(fleet: Fleet) -> None:
        first = fleet.gateways[0]
        fleet.kill(fleet.gateways[1])
        await wait_until(lambda: first.board.live.read().ids == ("g1",))
        assert (
            await fleet.send_turn(first, "p", budget=BUDGET, max_tokens=MAX_TOKENS)
        ).status == 200
        second = await fleet.add_gateway("g3", is_first_start=False)
        await wait_until(lambda: len(first.board.live.read().ids) == 2 and second.is_ready())
        fleet.view_by_gateway["g1"].is_cut = True
        ran = 1 + await _run_until_refused(fleet, [first, second], "p")
        assert ran >= 4
        assert ran * TOKENS_PER_TURN <= BUDGET + MAX_TOKENS
        assert fleet.view_by_gateway["g1"].calls + fleet.view_by_gateway["g3"].calls < 100

    run_with_fleet(check, gateways=2)


def test_records_are_removed_after_retention_unless_another_owner_changed_them() -> None:
    """An owner removes the record of an idle program, but not one that another owner charged."""

    async def check(fleet: Fleet) -> None:
        fleet.kill(fleet.gateways[0])
        gateway = await fleet.add_gateway("again", is_first_start=False)
        await wait_until(gateway.is_ready)
        for program in ("mine", "taken"):
            assert (
                await fleet.send_turn(gateway, program, budget=BUDGET, max_tokens=MAX_TOKENS)
            ).status == 200
        other = BudgetRecord(writer="other/start", charged=200, written_at_s=0)
        fleet.store.put(BUDGET_PREFIX + "taken", msgspec.json.encode(other))
        await wait_until(lambda: fleet.store.value(BUDGET_PREFIX + "mine") is None)
        assert fleet.store.value(BUDGET_PREFIX + "taken") == msgspec.json.encode(other)

    run_with_fleet(check, config=make_config(retention_s=0.5))


def test_turns_that_are_refused_have_not_run() -> None:
    """A new instance without the store refuses a turn before it runs, with a time to retry."""

    async def check(fleet: Fleet) -> None:
        fleet.kill(fleet.gateways[0])
        gateway = await fleet.add_gateway("again", is_first_start=False)
        await wait_until(gateway.is_ready)
        fleet.store.is_down = True
        answer = await fleet.send_turn(gateway, "p", budget=BUDGET, max_tokens=MAX_TOKENS)
        assert answer.status == 503 and answer.header("retry-after")
        assert float(answer.header("retry-after")) == OUTAGE_RETRY_AFTER_S
        assert _runs(fleet) == 0

    run_with_fleet(check)


load_tests = load_functions(globals())
