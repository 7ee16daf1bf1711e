"""Connections between instances that are cut, or go silent while new ones work."""

from collections.abc import Callable

from standins._engine_text import answer_text
from standins.fleet import wait_until
from standins.wire import Wire
from tests._suite import load_functions
from tests.failure._programs import program_of
from tests.failure._wires import wires
from tests.failure._world import REGISTER, Background, World, mark, persist, world

ENGINES = ("engine-1", "engine-2", "engine-3")
ANSWER_TOKENS = 20


def _end_well(each: World, fault: Callable[[Wire], None]) -> None:
    """Meet the fault with a stream and a non-idempotent call under way, and with new calls.

    All enter beside their owner. Neither answer can have come before the fault.
    """
    streamed_id, owner = each.owned_program()
    called_id = program_of(each, owner)
    beside = each.others(owner)[0]
    marks = [mark() for _ in range(3)]
    with wires(each) as wires_by_id:
        for engine in ENGINES:
            each.fleet.inject(engine, slow=100.0)
        each.fleet.inject("tool-1", hold=True)
        client = each.client(beside)
        stream = Background(lambda: client.chat(streamed_id, 1, marks[0], max_tokens=ANSWER_TOKENS))
        tool = Background(lambda: client.tool(called_id, 1, REGISTER, {"m": marks[1]}))
        wait_until(lambda: each.runs(marks[0]) and each.runs(marks[1]), "both calls upstream")
        assert wires_by_id[owner].passed_bytes and not stream.is_over() and not tool.is_over()
        for wire in wires_by_id.values():
            fault(wire)
        for upstream in (*ENGINES, "tool-1"):
            each.fleet.inject(upstream)
        said = stream.result()
        assert said.is_whole() and said.text() == _expected(marks[0]), said.body
        answer = tool.result()
        assert answer.status == 200, answer.body
        for wire in wires_by_id.values():
            fault(wire)
        answer = persist(lambda: client.tool(called_id, 2, REGISTER, {"m": marks[2]}))
        assert answer.status == 200, answer.body
    assert [each.runs(marked) for marked in marks[1:]] == [1, 1]


def _expected(text: str) -> str:
    return answer_text([{"role": "user", "content": text}], ANSWER_TOKENS)


def test_silent_connections_between_instances() -> None:
    """Calls whose connections have gone silent go on over new ones, and run once."""
    _end_well(world(), Wire.silence)


def test_cut_connections_between_instances() -> None:
    """Calls whose connections are cut go on over new ones, and run once."""
    _end_well(world(), Wire.cut)


load_tests = load_functions(globals())
