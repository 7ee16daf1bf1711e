"""Tests with two instances lost at once, and an engine replaced at the same address."""

from standins._engine_text import answer_text
from standins.fleet import wait_until
from tests._suite import load_functions
from tests.failure._probes import engines_caching, placements, shard_allocator
from tests.failure._programs import program_cached_at, program_owned_by
from tests.failure._world import REGISTER, Background, new_marker, retry, world

ENGINE = "engine-1"


def test_two_owners_lost_at_once() -> None:
    """Programs whose owners die during a call continue on the third instance, in order.

    Each call runs once. One of the two lost instances is the one that assigns shards to owners.
    """
    env = world()
    survivor = env.others(shard_allocator(env))[0]
    lost = env.others(survivor)
    programs = [program_owned_by(env, owner) for owner in (*lost, survivor)]
    markers = [[new_marker() for _ in range(3)] for _ in programs]
    client = env.client(survivor)

    def start_call(program: int, turn: int) -> Background:
        marker = markers[program][turn - 1]
        return Background(
            lambda: retry(
                lambda: client.tool(programs[program], turn, REGISTER, {"m": marker}, key=marker)
            )
        )

    assert [start_call(program, 1).result().status for program in range(3)] == [200, 200, 200]
    env.fleet.inject("tool-1", hold=True)
    running = [start_call(program, 2) for program in range(3)]
    wait_until(
        lambda: all(env.runs(own_markers[1]) for own_markers in markers), "the calls at the tool"
    )
    for owner in lost:
        env.fleet.instances_by_id[owner].process.kill()
    env.fleet.inject("tool-1")
    for program_id, former in zip(programs, lost, strict=False):
        env.wait_taken_over(program_id, former)
    replies = [call.result() for call in running]
    assert [reply.status == 200 for reply in replies] == [False, False, True]
    assert [reply.json()["ran"] for reply in replies[:2]] == ["unknown", "unknown"]
    repeats = [start_call(program, 2).result() for program in range(3)]
    assert [reply.json().get("kind") for reply in repeats] == ["outcome-unknown"] * 2 + [None]
    assert [start_call(program, 3).result().status for program in range(3)] == [200, 200, 200]
    for program_id, own_markers in zip(programs, markers, strict=True):
        assert [turn["request"]["m"] for turn in client.history(program_id)] == own_markers
        assert [env.runs(marker) for marker in own_markers] == [1, 1, 1]


def test_engine_replaced_at_its_address() -> None:
    """A call goes to the address of its lost prefix and succeeds; its program's cache is freed."""
    env = world()
    program_id, messages = program_cached_at(env, ENGINE)
    address = env.fleet.entries_by_id[ENGINE]["address"]
    env.fleet.upstreams_by_id[ENGINE].kill()
    env.fleet.start_engine(ENGINE, address=address)
    marker = new_marker()
    messages.append({"role": "user", "content": marker})
    client = env.client()
    reply = client.chat(program_id, 2, marker, max_tokens=16)
    assert reply.is_whole() and reply.text() == answer_text(messages, 16), reply.body
    assert placements(env, program_id)[1] == ENGINE
    wait_until(lambda: engines_caching(env, program_id), "a cached prefix")
    assert client.end(program_id).status == 200
    wait_until(lambda: not engines_caching(env, program_id), "the cache freed")


load_tests = load_functions(globals())
