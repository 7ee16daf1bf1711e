"""A background task that fails costs its own work, not the requests of the process."""

from collections.abc import Awaitable

import trio
from result import Ok

from lagoonfold_gateway._background import BackgroundTasks
from lagoonfold_gateway._messages import (
    Ack,
    Message,
    Probe,
    StatusNews,
    TokenReturn,
)
from lagoonfold_gateway._rate_owner import _OwnedAccount
from lagoonfold_io.observe import Metrics
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, run_and_collect_lines, run_with_fleet, wait_until

CALL_TIMEOUT_S = 0.5


def test_duty_that_fails_is_logged_counted_and_started_again() -> None:
    """One failure of a duty ended every request of its process."""
    starts: list[float] = []
    metrics = Metrics()

    async def duty() -> None:
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise ValueError("not in list")
        await trio.sleep_forever()

    async def check() -> None:
        async with trio.open_nursery() as nursery:
            BackgroundTasks(nursery, metrics).start_duty(duty)
            await wait_until(lambda: len(starts) == 3)
            nursery.cancel_scope.cancel()

    trio.run(check)
    (count,) = metrics.counts()["task_failures"].values()
    assert count == 2


def test_task_that_fails_once_is_logged_with_its_trace_and_not_repeated() -> None:
    """A task for one event has no later chance; what it serves asks again."""
    runs: list[int] = []

    async def fail(number: int) -> None:
        runs.append(number)
        raise KeyError(number)

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        gateway.tasks.start_soon(fail, 7)
        await wait_until(lambda: "task_failures" in gateway.metrics.counts())
        assert (await fleet.send(gateway, "/read/x")).status == 200

    lines = run_and_collect_lines(check, gateways=1)
    assert runs == [7]
    assert "fail" in str(lines["task.failed"][0]["task"])


def test_handler_of_a_peers_message_that_fails_costs_one_answer() -> None:
    """A message that a handler can't take ended the process that received it."""

    async def check(fleet: Fleet) -> None:
        first, second = fleet.gateways

        def fail(message: Message) -> Message:
            raise ValueError(message)

        async def fail_later(message: Message) -> Message:
            raise ValueError(message)

        second.bus.register_handler(Probe)(fail)

        def answer_later(message: Message) -> Awaitable[Message]:
            return fail_later(message)

        second.bus.register_handler(StatusNews)(answer_later)
        for message in (Probe(), StatusNews(statuses=())):
            await first.bus.call(second.bus.own_id, message, timeout_s=CALL_TIMEOUT_S)
        second.bus.post(second.bus.own_id, Probe())
        second.bus.post(second.bus.own_id, StatusNews(statuses=()))
        await wait_until(lambda: sum(second.metrics.counts()["task_failures"].values()) == 4)
        returned = TokenReturn(instance="g1", number=1, account="acme", exhausted_program=None)
        answer = await first.bus.call(second.bus.own_id, returned, timeout_s=CALL_TIMEOUT_S)
        assert answer == Ok(Ack()), answer
        assert (await fleet.send(second, "/read/x")).status == 200

    run_with_fleet(check, gateways=2)


def test_grants_go_on_after_one_of_them_has_failed() -> None:
    """An account whose granting task failed granted nothing to calls that wait."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        owner = gateway.rate_owner
        queue_type = type("BrokenQueue", (), {"__len__": lambda self: 1 // 0})
        owned = _OwnedAccount("acme", queue_type(), window_s=5.0)
        owner._start_granting(owned)
        await wait_until(lambda: "task_failures" in gateway.metrics.counts())
        assert not owned.is_granting

    run_with_fleet(check, gateways=1)


load_tests = load_functions(globals())
