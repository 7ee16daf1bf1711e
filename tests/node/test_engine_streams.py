"""Tests of calls whose engine sends something else than the events of one whole answer."""

import json

from tests._suite import load_functions
from tests.node._path import (
    TOKENS,
    PathFleet,
    ScriptedAnswer,
    run_fleet,
    text_of,
    token_event,
)

WHOLE = "".join(TOKENS)
FIRST = token_event(0)
NEXT = token_event(1) + token_event(2)
TOOL_CALL = b'data: {"choices": [{"delta": {"tool_calls": [{"function": {"name": "f"}}]}}]}\n\n'


async def check_answer_is_whole(fleet: PathFleet, *answers: ScriptedAnswer) -> list[int]:
    """Make a call that gets scripted answers first; return from where its attempts began.

    Caller and record must have each token once.
    """
    fleet.script(*answers)
    for engine in fleet.engines:
        engine.requests.clear()
    program_id = await fleet.create_program()
    reply = await fleet.chat(1, program_id, 1, "one")
    assert text_of(reply) == WHOLE, (answers, reply.body)
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


load_tests = load_functions(globals())
