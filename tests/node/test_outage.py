"""Tests of calls whose records can't become durable during an outage of the store."""

import json
from dataclasses import replace

import trio

from lagoonfold import ErrorKind
from lagoonfold_io import HttpRequest, HttpResponse, StreamError
from tests._suite import load_functions
from tests.node._path import (
    KEY,
    STALLED,
    TOKENS,
    PathFleet,
    call_in_progress,
    kind_of,
    make_configuration,
    run_fleet,
    text_of,
    wait_for,
)

WHOLE = "".join(TOKENS)


def _check_pending(reply: HttpResponse) -> None:
    """Check that a call was refused as possibly run, with a time to retry."""
    problem = json.loads(reply.body)
    assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "unknown"), problem
    assert reply.header("retry-after") == str(int(STALLED.retry_after_s))


async def _read_cut_stream(fleet: PathFleet, program_id: str) -> bytes:
    """Stream a program's first call and return what was received before the connection closed.

    The engine pauses after its first tokens until the caller has received some of them.
    """
    gate = trio.Event()
    for engine in fleet.engines:
        engine.gate = gate
    headers = (
        ("authorization", f"Bearer {KEY}"),
        ("lagoonfold-program", program_id),
        ("lagoonfold-turn", "1"),
    )
    message = {"role": "user", "content": "hello"}
    body = json.dumps({"model": "small", "stream": True, "messages": [message]}).encode()
    request = HttpRequest(method="POST", path="/v1/chat/completions", headers=headers, body=body)
    received = b""
    async with fleet.client.stream(fleet.nodes[1].address, request) as opened:
        try:
            while data := await opened.unwrap().read():
                received += data
                gate.set()
        except StreamError:
            return received
    raise AssertionError("the stream ended normally")


async def _wait_settled(fleet: PathFleet, program_id: str) -> None:
    program = fleet.shard.state.programs_by_id[program_id]
    await wait_for(lambda: program.running_call is None)
    executor = fleet.nodes[0].executor
    await wait_for(lambda: not executor.running_by_call)


def test_answer_that_cannot_be_recorded() -> None:
    """The call and its repeats are refused at once, and get its one answer after the outage."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.start_store_outage()
        for node in (0, 1):
            _check_pending(await fleet.chat(node, program_id, 1, "hello", stream=False))
        fleet.shard.end_store_outage()
        await _wait_settled(fleet, program_id)
        repeated = await fleet.chat(1, program_id, 1, "hello", stream=False)
        assert json.loads(repeated.body)["choices"][0]["message"]["content"] == WHOLE
        assert sum(len(engine.requests) for engine in fleet.engines) == 1
        assert len(fleet.shard.settled()) == 1

    run_fleet(check)


def test_stream_that_cannot_be_recorded() -> None:
    """A stream ends with a refusal in place of its last events; a repeat gets the whole answer."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.start_store_outage()
        cut = await _read_cut_stream(fleet, program_id)
        *_, error, rest = cut.split(b"\n\n")
        assert rest == b"" and b"[DONE]" not in cut and TOKENS[0].strip().encode() in cut
        problem = json.loads(error.removeprefix(b"data: "))["error"]
        assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "unknown")
        assert problem["retry_after_s"] == STALLED.retry_after_s
        fleet.shard.end_store_outage()
        await _wait_settled(fleet, program_id)
        assert text_of(await fleet.chat(0, program_id, 1, "hello")) == WHOLE
        assert sum(len(engine.requests) for engine in fleet.engines) == 1

    run_fleet(check)


def test_non_idempotent_answer_that_cannot_be_recorded() -> None:
    """The refusals never claim that the call did not run, and it runs only once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.tool.gate = trio.Event()
        async with call_in_progress(
            lambda: fleet.tool_call(1, program_id, 1),
            lambda: len(fleet.tool.requests) == 1,
        ) as replies:
            fleet.shard.start_store_outage()
            fleet.tool.gate.set()
        _check_pending(replies[0])
        for node in (0, 1):
            _check_pending(await fleet.tool_call(node, program_id, 1))
        fleet.shard.end_store_outage()
        await _wait_settled(fleet, program_id)
        assert json.loads((await fleet.tool_call(0, program_id, 1)).body) == {"run": 1}
        assert len(fleet.tool.requests) == len(fleet.shard.settled()) == 1

    run_fleet(check)


def test_call_whose_intent_stalls_is_not_sent() -> None:
    """A call whose intent can't become durable is refused as not run; its repeat runs once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.blocks_commits = True
        async with call_in_progress(
            lambda: fleet.tool_call(1, program_id, 1),
            lambda: fleet.shard.state.running_calls() != (),
        ) as replies:
            fleet.shard.is_stalled = True
        problem = json.loads(replies[0].body)
        assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "no")
        assert replies[0].header("retry-after") == "5" and not fleet.tool.requests
        fleet.shard.end_store_outage()
        await _wait_settled(fleet, program_id)
        assert not fleet.tool.requests
        assert json.loads((await fleet.tool_call(0, program_id, 1)).body) == {"run": 1}

    run_fleet(check)


def test_call_at_its_time_limit_does_not_wait_for_its_record() -> None:
    """A hung tool's caller gets the final answer while the journal blocks but is not stalled."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        routes = make_configuration().routes_by_name
        register = replace(routes["register"], timeout_s=0.3)
        for node in fleet.nodes:
            changed = {**routes, "register": register}
            node.configure(replace(make_configuration(), routes_by_name=changed))
        fleet.tool.is_hung = True
        async with call_in_progress(
            lambda: fleet.tool_call(1, program_id, 1),
            lambda: len(fleet.tool.requests) == 1,
        ) as replies:
            fleet.shard.blocks_commits = True
        for reply in (replies[0], await fleet.tool_call(0, program_id, 1)):
            assert kind_of(reply) is ErrorKind.OUTCOME_UNKNOWN, reply
        fleet.shard.end_store_outage()
        await _wait_settled(fleet, program_id)
        assert len(fleet.tool.requests) == len(fleet.shard.settled()) == 1

    run_fleet(check)


def test_call_past_its_deadline_can_be_repeated() -> None:
    """A call that continues after its caller's deadline answers the repeat."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.tool.gate = trio.Event()
        reply = await fleet.tool_call(1, program_id, 1, lagoonfold_timeout="0.2")
        problem = json.loads(reply.body)
        assert (problem["kind"], problem["ran"]) == ("deadline-exceeded", "unknown"), problem
        assert reply.header("retry-after") == "1"
        fleet.tool.gate.set()
        assert json.loads((await fleet.tool_call(0, program_id, 1)).body) == {"run": 1}
        assert len(fleet.tool.requests) <= 1

    run_fleet(check)


def test_call_is_refused_at_once_when_owner_lookup_is_down() -> None:
    """If the owner lost its lease and no new owner can be looked up, calls are refused at once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.has_ownership = False
        fleet.is_owner_lookup_down = True
        for node in (0, 1):
            reply = await fleet.tool_call(node, program_id, 1)
            problem = json.loads(reply.body)
            assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "no"), problem
            assert reply.header("retry-after") == "5"
        fleet.shard.has_ownership, fleet.is_owner_lookup_down = True, False
        assert json.loads((await fleet.tool_call(1, program_id, 1)).body) == {"run": 1}

    run_fleet(check)


def test_cancel_in_an_outage_stops_the_call_at_once() -> None:
    """The cancel is refused with a time to retry, but stops the running call at once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.close_gates()
        async with call_in_progress(
            lambda: fleet.chat(1, program_id, 1, "one", stream=False),
            lambda: sum(engine.tokens_sent for engine in fleet.engines) == 4,
        ) as replies:
            fleet.shard.start_store_outage()
            cancelled = await fleet.send(1, "DELETE", f"/v1/programs/{program_id}")
            assert kind_of(cancelled) is ErrorKind.PLATFORM_UNAVAILABLE
            await wait_for(lambda: sum(engine.cancelled for engine in fleet.engines) == 1)
        _check_pending(replies[0])
        fleet.shard.end_store_outage()
        await _wait_settled(fleet, program_id)
        again = await fleet.send(0, "DELETE", f"/v1/programs/{program_id}")
        assert json.loads(again.body)["state"] == "cancelled"

    run_fleet(check)


load_tests = load_functions(globals())
