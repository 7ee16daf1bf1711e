"""Calls whose records can't become durable: what callers are told, at once, and what is kept."""

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
    kind_of,
    make_configuration,
    run_fleet,
    text_of,
    under_way,
    wait_for,
)

WHOLE = "".join(TOKENS)


def _check_pending(reply: HttpResponse) -> None:
    """Check that a call that may have run was refused with a time to come back."""
    problem = json.loads(reply.body)
    assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "unknown"), problem
    assert reply.header("retry-after") == str(int(STALLED.retry_after_s))


async def _read_cut_stream(fleet: PathFleet, program_id: str) -> bytes:
    """Make a program's first call, streamed, and return what came before the connection closed.

    The engine goes on behind its first tokens when the caller has some of them.
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
    raise AssertionError("the stream has an end")


async def _wait_settled(fleet: PathFleet, program_id: str) -> None:
    program = fleet.shard.state.programs_by_id[program_id]
    await wait_for(lambda: program.running_call is None)
    executor = fleet.nodes[0].executor
    await wait_for(lambda: not executor.running_by_call)


def test_answer_that_cannot_be_recorded() -> None:
    """The caller and its repeats are told at once to come back, and then get the one answer."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.lose_service()
        for node in (0, 1):
            _check_pending(await fleet.chat(node, program_id, 1, "hello", stream=False))
        fleet.shard.regain_service()
        await _wait_settled(fleet, program_id)
        repeated = await fleet.chat(1, program_id, 1, "hello", stream=False)
        assert json.loads(repeated.body)["choices"][0]["message"]["content"] == WHOLE
        assert sum(len(engine.seen) for engine in fleet.engines) == 1
        assert len(fleet.shard.settled()) == 1

    run_fleet(check)


def test_stream_that_cannot_be_recorded() -> None:
    """A stream ends with the refusal in place of its last events; the repeat gets it whole."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.lose_service()
        cut = await _read_cut_stream(fleet, program_id)
        *_, error, rest = cut.split(b"\n\n")
        assert rest == b"" and b"[DONE]" not in cut and TOKENS[0].strip().encode() in cut
        problem = json.loads(error.removeprefix(b"data: "))["error"]
        assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "unknown")
        assert problem["retry_after_s"] == STALLED.retry_after_s
        fleet.shard.regain_service()
        await _wait_settled(fleet, program_id)
        assert text_of(await fleet.chat(0, program_id, 1, "hello")) == WHOLE
        assert sum(len(engine.seen) for engine in fleet.engines) == 1

    run_fleet(check)


def test_non_idempotent_answer_that_cannot_be_recorded() -> None:
    """Nobody is told that it did not run, and it runs once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.tool.gate = trio.Event()
        async with under_way(
            lambda: fleet.tool_call(1, program_id, 1),
            lambda: len(fleet.tool.seen) == 1,
        ) as replies:
            fleet.shard.lose_service()
            fleet.tool.gate.set()
        _check_pending(replies[0])
        for node in (0, 1):
            _check_pending(await fleet.tool_call(node, program_id, 1))
        fleet.shard.regain_service()
        await _wait_settled(fleet, program_id)
        assert json.loads((await fleet.tool_call(0, program_id, 1)).body) == {"run": 1}
        assert len(fleet.tool.seen) == len(fleet.shard.settled()) == 1

    run_fleet(check)


def test_intent_that_stalls() -> None:
    """A call whose intent was on its way is refused as not run; its repeat runs once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.is_held = True
        async with under_way(
            lambda: fleet.tool_call(1, program_id, 1),
            lambda: fleet.shard.state.running_calls() != (),
        ) as replies:
            fleet.shard.is_stalled = True
        problem = json.loads(replies[0].body)
        assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "no")
        assert replies[0].header("retry-after") == "5" and not fleet.tool.seen
        fleet.shard.regain_service()
        await _wait_settled(fleet, program_id)
        assert not fleet.tool.seen
        assert json.loads((await fleet.tool_call(0, program_id, 1)).body) == {"run": 1}

    run_fleet(check)


def test_call_at_its_time_limit_does_not_wait_for_its_record() -> None:
    """A hung tool's caller gets the final answer though the journal is silent, not yet stalled."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        routes = make_configuration().routes_by_name
        register = replace(routes["register"], timeout_s=0.3)
        for node in fleet.nodes:
            changed = {**routes, "register": register}
            node.configure(replace(make_configuration(), routes_by_name=changed))
        fleet.tool.is_hung = True
        async with under_way(
            lambda: fleet.tool_call(1, program_id, 1),
            lambda: len(fleet.tool.seen) == 1,
        ) as replies:
            fleet.shard.is_held = True
        for reply in (replies[0], await fleet.tool_call(0, program_id, 1)):
            assert kind_of(reply) is ErrorKind.OUTCOME_UNKNOWN, reply
        fleet.shard.regain_service()
        await _wait_settled(fleet, program_id)
        assert len(fleet.tool.seen) == len(fleet.shard.settled()) == 1

    run_fleet(check)


def test_caller_out_of_time_is_told_to_come_back() -> None:
    """A call that runs on behind its caller's time limit is there for the repeat."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.tool.gate = trio.Event()
        reply = await fleet.tool_call(1, program_id, 1, lagoonfold_timeout="0.2")
        problem = json.loads(reply.body)
        assert (problem["kind"], problem["ran"]) == ("deadline-exceeded", "unknown"), problem
        assert reply.header("retry-after") == "1"
        fleet.tool.gate.set()
        assert json.loads((await fleet.tool_call(0, program_id, 1)).body) == {"run": 1}
        assert len(fleet.tool.seen) <= 1

    run_fleet(check)


def test_owner_that_cannot_be_learned_of_is_not_waited_for() -> None:
    """With the owner's lease lapsed and the arrival cut off too, the caller is told at once."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.shard.acts = False
        fleet.is_cut_off = True
        for node in (0, 1):
            reply = await fleet.tool_call(node, program_id, 1)
            problem = json.loads(reply.body)
            assert (problem["kind"], problem["ran"]) == ("platform-unavailable", "no"), problem
            assert reply.header("retry-after") == "5"
        fleet.shard.acts, fleet.is_cut_off = True, False
        assert json.loads((await fleet.tool_call(1, program_id, 1)).body) == {"run": 1}

    run_fleet(check)


def test_cancel_in_an_outage_frees_at_once() -> None:
    """The caller is told to come back; the running call is stopped without waiting for it."""

    async def check(fleet: PathFleet) -> None:
        program_id = await fleet.create_program()
        fleet.close_gates()
        async with under_way(
            lambda: fleet.chat(1, program_id, 1, "one", stream=False),
            lambda: sum(engine.tokens_sent for engine in fleet.engines) == 4,
        ) as replies:
            fleet.shard.lose_service()
            cancelled = await fleet.send(1, "DELETE", f"/v1/programs/{program_id}")
            assert kind_of(cancelled) is ErrorKind.PLATFORM_UNAVAILABLE
            await wait_for(lambda: sum(engine.cancelled for engine in fleet.engines) == 1)
        _check_pending(replies[0])
        fleet.shard.regain_service()
        await _wait_settled(fleet, program_id)
        again = await fleet.send(0, "DELETE", f"/v1/programs/{program_id}")
        assert json.loads(again.body)["state"] == "cancelled"

    run_fleet(check)


load_tests = load_functions(globals())
