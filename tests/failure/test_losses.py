"""Two instances lost at once, and an engine that is replaced where it stood."""

from standins._engine_text import answer_text
from standins.fleet import wait_until
from tests._suite import load_functions
from tests.failure._probes import allocator, holders, placements
from tests.failure._programs import program_at, program_of
from tests.failure._world import REGISTER, Background, mark, persist, world

ENGINE = "engine-1"


def test_two_owners_lost_at_once() -> None:
    """Programs in the middle of a call go on at the third instance, in order, and run once.

    One of the two that are lost is the instance that places shards.
    """
    each = world()
    survivor = each.others(allocator(each))[0]
    lost = each.others(survivor)
    programs = [program_of(each, owner) for owner in (*lost, survivor)]
    marks = [[mark() for _ in range(3)] for _ in programs]
    client = each.client(survivor)

    def run(program: int, turn: int) -> Background:
        marked = marks[program][turn - 1]
        return Background(
            lambda: persist(
                lambda: client.tool(programs[program], turn, REGISTER, {"m": marked}, key=marked)
            )
        )

    assert [run(program, 1).result().status for program in range(3)] == [200, 200, 200]
    each.fleet.inject("tool-1", hold=True)
    under_way = [run(program, 2) for program in range(3)]
    wait_until(lambda: all(each.runs(own[1]) for own in marks), "the calls at the tool")
    for owner in lost:
        each.fleet.instances_by_id[owner].process.kill()
    each.fleet.inject("tool-1")
    for program_id, former in zip(programs, lost, strict=False):
        each.wait_taken_over(program_id, former)
    told = [made.result() for made in under_way]
    assert [reply.status == 200 for reply in told] == [False, False, True]
    assert [reply.json()["ran"] for reply in told[:2]] == ["unknown", "unknown"]
    again = [run(program, 2).result() for program in range(3)]
    assert [reply.json().get("kind") for reply in again] == ["outcome-unknown"] * 2 + [None]
    assert [run(program, 3).result().status for program in range(3)] == [200, 200, 200]
    for program_id, own in zip(programs, marks, strict=True):
        assert [turn["request"]["m"] for turn in client.history(program_id)] == own
        assert [each.runs(marked) for marked in own] == [1, 1, 1]


def test_engine_replaced_at_its_address() -> None:
    """A call that goes to where its prefix was ends well, and its program's cache is freed."""
    each = world()
    program_id, messages = program_at(each, ENGINE)
    address = each.fleet.entries_by_id[ENGINE]["address"]
    each.fleet.upstreams_by_id[ENGINE].kill()
    each.fleet.start_engine(ENGINE, address=address)
    marked = mark()
    messages.append({"role": "user", "content": marked})
    client = each.client()
    reply = client.chat(program_id, 2, marked, max_tokens=16)
    assert reply.is_whole() and reply.text() == answer_text(messages, 16), reply.body
    assert placements(each, program_id)[1] == ENGINE
    wait_until(lambda: holders(each, program_id), "a cached prefix")
    assert client.end(program_id).status == 200
    wait_until(lambda: not holders(each, program_id), "the cache freed")


load_tests = load_functions(globals())
