"""Tests with connections between instances that are cut, or go silent while new ones work."""

from collections.abc import Callable

from standins._engine_text import answer_text
from standins.fleet import wait_until
from standins.wire import Wire
from tests._suite import load_functions
from tests.failure._programs import program_owned_by
from tests.failure._wires import insert_wires
from tests.failure._world import REGISTER, Background, Environment, new_marker, retry, world

ENGINES = ("engine-1", "engine-2", "engine-3")
ANSWER_TOKENS = 20


def _check_calls_complete(env: Environment, fault: Callable[[Wire], None]) -> None:
    """Check that a stream, a running non-idempotent call and a new call survive the fault.

    All are sent to an instance other than their owner. The upstreams hold back both running
    answers until the fault has been injected.
    """
    streaming_program, owner = env.create_program()
    tool_program = program_owned_by(env, owner)
    other_instance = env.others(owner)[0]
    markers = [new_marker() for _ in range(3)]
    with insert_wires(env) as wires_by_id:
        for engine in ENGINES:
            env.fleet.inject(engine, slow=100.0)
        env.fleet.inject("tool-1", hold=True)
        client = env.client(other_instance)
        stream = Background(
            lambda: client.chat(streaming_program, 1, markers[0], max_tokens=ANSWER_TOKENS)
        )
        tool = Background(lambda: client.tool(tool_program, 1, REGISTER, {"m": markers[1]}))
        wait_until(lambda: env.runs(markers[0]) and env.runs(markers[1]), "both calls upstream")
        assert wires_by_id[owner].passed_bytes and not stream.is_over() and not tool.is_over()
        for wire in wires_by_id.values():
            fault(wire)
        for upstream in (*ENGINES, "tool-1"):
            env.fleet.inject(upstream)
        reply = stream.result()
        assert reply.is_whole() and reply.text() == _expected(markers[0]), reply.body
        answer = tool.result()
        assert answer.status == 200, answer.body
        for wire in wires_by_id.values():
            fault(wire)
        answer = retry(lambda: client.tool(tool_program, 2, REGISTER, {"m": markers[2]}))
        assert answer.status == 200, answer.body
    assert [env.runs(marker) for marker in markers[1:]] == [1, 1]


def _expected(text: str) -> str:
    return answer_text([{"role": "user", "content": text}], ANSWER_TOKENS)


def test_silent_connections_between_instances() -> None:
    """Calls whose connections have gone silent continue over new ones, and run once."""
    _check_calls_complete(world(), Wire.silence)


def test_cut_connections_between_instances() -> None:
    """Calls whose connections are cut continue over new ones, and run once."""
    _check_calls_complete(world(), Wire.cut)


load_tests = load_functions(globals())
