"""Tests of calls whose engine sends something else than the events of one whole answer."""

import json

from lagoonfold_node._upstreams import SILENCE_TIMEOUT_S
from tests._suite import load_functions
from tests.node._path import (
    TOKENS,
    PathFleet,
    ScriptedAnswer,
    run_fleet,
    token_event,
)

WHOLE = "".join(TOKENS)
FIRST = token_event(0)
NEXT = token_event(1) + token_event(2)
LAST = b'data: {"choices": [{"delta": {}, "finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
REST = b"".join(token_event(number) for number in range(1, len(TOKENS)))
EVENT_STREAM = ("content-type", "text/event-stream")
SERVER_ERROR = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\n{}"
TOOL_CALL = b'data: {"choices": [{"delta": {"tool_calls": [{"function": {"name": "f"}}]}}]}\n\n'


def text_of_stream(body: bytes) -> str:
    """Return the text of a stream; fail if a line is no field or its last event is not the end."""
    lines = [line for line in body.splitlines() if line and not line.startswith(b":")]
    names = {line.partition(b":")[0] for line in lines}
    assert names <= {b"data", b"event", b"id", b"retry", b"x-trace"}, body
    data = [line.removeprefix(b"data: ") for line in lines if line.startswith(b"data")]
    assert data.index(b"[DONE]") == len(data) - 1, body
    deltas = [json.loads(event)["choices"][0]["delta"] for event in data[:-1]]
    return "".join(delta.get("content", "") for delta in deltas)


async def check_answer_is_whole(fleet: PathFleet, *answers: ScriptedAnswer) -> list[int]:
    """Make a call that gets scripted answers first; return from where its attempts began.

    Caller and record must have each token once.
    """
    fleet.script(*answers)
    for engine in fleet.engines:
        engine.requests.clear()
    program_id = await fleet.create_program()
    reply = await fleet.chat(1, program_id, 1, "one")
    assert text_of_stream(reply.body) == WHOLE, (answers, reply.body)
    recorded = await fleet.chat(0, program_id, 1, "one", stream=False)
    message = json.loads(recorded.body)["choices"][0]["message"]
    assert message == {"role": "assistant", "content": WHOLE}, (answers, message)
    bodies = [json.loads(request.body) for e in fleet.engines for request in e.requests]
    return sorted(body.get("resume_from", 0) for body in bodies)


def test_events_in_one_read_with_an_invalid_one_are_not_lost() -> None:
    """Guards against going on after events that were read and never delivered."""

    async def check(fleet: PathFleet) -> None:
        for invalid in (b'data: {"error": "x"}\n\n', b'data: {"choices"\n\n'):
            for lost in (NEXT, TOOL_CALL):
                answer = ScriptedAnswer(parts=(FIRST, lost + invalid))
                assert await check_answer_is_whole(fleet, answer) == [0, 1], (lost, invalid)

    run_fleet(check)


def test_last_events_are_not_lost_before_the_end_of_a_slow_answer() -> None:
    """Guards against a whole answer that is taken for silent while its connection is read out."""

    async def check(fleet: PathFleet) -> None:
        answer = ScriptedAnswer(parts=(FIRST, REST + LAST), interval_s=SILENCE_TIMEOUT_S)
        await check_answer_is_whole(fleet, answer)

    run_fleet(check)


def test_bytes_that_are_no_engine_events_are_not_passed_on() -> None:
    """Guards against text and heads of other answers within a stream."""

    async def check(fleet: PathFleet) -> None:
        texts = (b"no room\n\n", b"error: no room\n\n", SERVER_ERROR + b"\n\n", SERVER_ERROR)
        for text in texts:
            for parts in ((FIRST, text + NEXT), (FIRST, NEXT + text, REST)):
                begins = await check_answer_is_whole(fleet, ScriptedAnswer(parts=parts))
                assert len(begins) == 2, (parts, begins)

    run_fleet(check)


def test_nothing_is_passed_on_after_the_last_event() -> None:
    """Guards against events and heads of other answers after the end of a stream."""

    async def check(fleet: PathFleet) -> None:
        for surplus in (FIRST, b"no room", b"no room\n\n", SERVER_ERROR, LAST):
            answer = ScriptedAnswer(parts=(FIRST, REST + LAST + surplus))
            assert await check_answer_is_whole(fleet, answer) == [0, 1], surplus

    run_fleet(check)


def test_answer_of_another_media_type_or_coding_is_no_stream() -> None:
    """Guards against passing on what an engine sends in place of an event stream."""

    async def check(fleet: PathFleet) -> None:
        for headers in (
            (("content-type", "text/plain"),),
            (("content-type", "application/json"),),
            (EVENT_STREAM, ("content-encoding", "gzip")),
        ):
            answer = ScriptedAnswer(parts=(FIRST, REST + LAST), headers=headers)
            assert await check_answer_is_whole(fleet, answer) == [0, 0], headers

    run_fleet(check)


def test_sound_streams_in_other_forms_need_one_attempt() -> None:
    """Guards against refusing an event stream that its standard allows."""

    async def check(fleet: PathFleet) -> None:
        for headers in (
            (),
            (("content-type", "Text/Event-Stream; charset=utf-8"),),
            (EVENT_STREAM, ("content-encoding", "identity")),
        ):
            answer = ScriptedAnswer(parts=(FIRST, REST + LAST), headers=headers)
            assert await check_answer_is_whole(fleet, answer) == [0], headers
        harmless = b": waiting\n\nretry: 100\n\n:\n\nevent: ping\n\n\n\nid\n\n"
        fields = b"event: chunk\nid: 7\nx-trace: a\n"
        for body in (harmless + REST + LAST, fields + REST + LAST, REST + LAST + b"\n: end\n\n"):
            answer = ScriptedAnswer(parts=(harmless, FIRST, body))
            assert await check_answer_is_whole(fleet, answer) == [0], body

    run_fleet(check)


load_tests = load_functions(globals())
