"""Tests of the budget of memory for callers, which decides without I/O, and of its effects."""

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from lagoonfold_io import (
    Exchange,
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    MemoryBudget,
)
from lagoonfold_io._memory_budget import PROGRESS_BYTES, SMALL_BYTES
from tests._suite import load_functions

MAX_BYTES = 1_000_000
STEPS = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 400_000), st.sampled_from("hhhher")), max_size=60
)


@given(STEPS)
def test_claims_never_exceed_the_budget_and_all_is_returned(
    steps: list[tuple[int, int, str]],
) -> None:
    """Guards against leaks and against double releases, which would disable the limit in time."""
    budget = MemoryBudget(MAX_BYTES)
    claims = [budget.open(0.0) for _ in range(10)]
    for time, (number, size, step) in enumerate(steps):
        claim = claims[number]
        if step == "h":
            if budget.try_hold(claim, size):
                assert claim.held_bytes >= size
                claim.evict = lambda: None
        elif step == "e":
            for victim in budget.pick_victims(claim, size, time):
                assert victim.is_evicted and victim.held_bytes > 0
        else:
            budget.release(claim)
        evicted = [each for each in claims if each.is_evicted]
        assert budget.used_bytes == sum(each.held_bytes for each in claims) <= MAX_BYTES
        assert budget.evicting_bytes == sum(each.held_bytes for each in evicted)
    for claim in claims:
        budget.close(claim)
    assert budget.used_bytes == budget.evicting_bytes == 0


@given(st.lists(st.integers(SMALL_BYTES + 1, 400_000), max_size=20))
def test_small_requests_pass_while_large_ones_fill_the_budget(sizes: list[int]) -> None:
    """Guards against a crowd with large bodies that leaves nothing to ordinary requests."""
    budget = MemoryBudget(MAX_BYTES)
    for size in sizes:
        budget.try_hold(budget.open(0.0), size)
    assert budget.try_hold(budget.open(0.0), SMALL_BYTES)


def test_claim_that_held_most_for_longest_is_evicted_first() -> None:
    """A large body that arrives steadily, a small one and a running request are spared."""
    budget = MemoryBudget(MAX_BYTES)
    stalled, busy, small, running = (budget.open(0.0) for _ in range(4))
    for claim, size in ((stalled, 250_000), (busy, 300_000), (small, 60_000), (running, 264_000)):
        assert budget.try_hold(claim, size)
        claim.evict = lambda: None
    running.evict = None
    busy.note_progress(PROGRESS_BYTES, 9.0)
    stalled.note_progress(1, 9.0)
    new = budget.open(9.0)
    assert not budget.try_hold(new, 100_000)
    assert budget.pick_victims(new, 100_000, 10.0) == [stalled]
    assert budget.pick_victims(new, 100_000, 10.0) == [], "the stalled one is being freed"
    budget.close(stalled)
    assert budget.try_hold(new, 100_000)


async def _count(request: HttpRequest, exchange: Exchange) -> None:
    await exchange.respond(HttpResponse(status=200, body=str(len(request.body)).encode()))


def test_stalled_bodies_are_refused_as_not_run_and_a_waiting_one_is_served() -> None:
    """The refused caller learns that it may try again; the body that waited arrives whole."""
    causes: list[str] = []
    size = 400_000

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(_count, memory=MemoryBudget(MAX_BYTES), on_limit=causes.append)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(2)]
            for stream in streams:
                await stream.send_all(
                    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
                )
                await stream.send_all(b"x" * (size - 1))
            request = HttpRequest(method="POST", path="/", body=b"x" * size)
            with trio.fail_after(30):
                answer = (await HttpClient().fetch(f"127.0.0.1:{port}", request)).unwrap()
                assert (answer.status, answer.body) == (200, str(size).encode())
                refusals = [await stream.receive_some(400) for stream in streams]
            assert all(b" 503 " in each and b"retry-after: 1" in each for each in refusals)
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert causes.count("body-evicted") == causes.count("memory-short") == 2


def test_answers_that_callers_do_not_read_are_given_up_when_memory_is_short() -> None:
    """Guards against answers of many callers that are held until the time for writing ends."""
    causes: list[str] = []

    async def answer(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(HttpResponse(status=200, body=b"x" * 30_000_000))

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(answer, memory=MemoryBudget(40_000_000), on_limit=causes.append)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            with trio.fail_after(30):
                streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
                for stream in streams:
                    await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                while causes.count("answer-evicted") < 2:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_connection_of_an_answer_that_was_given_up_is_closed() -> None:
    """Guards against a connection on which a further answer would follow a part of this one."""

    async def answer(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(HttpResponse(status=200, body=b"x" * 30_000_000))

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(answer, memory=MemoryBudget(MAX_BYTES))
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            with trio.fail_after(30):
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                size = 0
                try:
                    while data := await stream.receive_some():
                        size += len(data)
                except trio.BrokenResourceError:
                    pass
                assert size < 30_000_000
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_idle_connection_makes_room_for_one_with_a_request() -> None:
    """Connections without a request must not lock out callers that have one."""
    causes: list[str] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            limits = HttpLimits(max_connections=3)
            server = HttpServer(_count, limits=limits, on_limit=causes.append)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
            await trio.testing.wait_all_tasks_blocked(0.05)
            with trio.fail_after(30):
                request = HttpRequest(method="GET", path="/")
                answer = (await HttpClient().fetch(f"127.0.0.1:{port}", request)).unwrap()
                assert answer.status == 200
                assert await streams[0].receive_some(1) == b"", "the one that waited longest"
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert causes == ["head-evicted"]


load_tests = load_functions(globals())
