"""Tests with upstreams that disconnect, stall, leave or are crashed by a request."""

import json
import time

from lagoonfold.membership import shard_of
from lagoonfold_node._upstreams._engine import FIRST_BYTE_TIMEOUT_S
from standins._engine_text import answer_text
from standins.fleet import MODEL, call, wait_until
from tests._suite import load_functions
from tests.failure._probes import (
    engines_caching,
    placements,
    wait_config_applied,
    wait_list_applied,
)
from tests.failure._programs import program_cached_at, text_of
from tests.failure._world import PROFILE, REGISTER, SERVICE, Background, new_marker, retry, world

NEWER_FENCING = 1_000_000
CRASH_MARKER = "crash-the-upstream"
LEAVING_BOUND_S = 3.0
MAX_CRASHED = 2
ORDER_TIMEOUT_S = 20.0
SLOWNESS_BY_ENGINE = {"engine-1": 20.0, "engine-2": 8.0, "engine-3": 1.0}
FAILOVER_LIMIT_S = FIRST_BYTE_TIMEOUT_S / 2
ENGINES = ("engine-1", "engine-2", "engine-3")


def _expected(text: str, count: int) -> str:
    return answer_text([{"role": "user", "content": text}], count)


def test_broken_stream_is_resumed() -> None:
    """Streams that break on one replica are resumed on another; each answer arrives whole, once.

    The program's long prefix is cached on the broken replica, so its next call goes there first.
    """
    env = world()
    program_id, messages = program_cached_at(env, "engine-1")
    env.fleet.inject("engine-1", break_after_tokens=3)
    client = env.client()
    first = new_marker()
    messages.append({"role": "user", "content": first})
    reply = client.chat(program_id, 2, first, max_tokens=20)
    assert text_of(reply) == answer_text(messages, 20)
    assert env.seen("engine-1", first), "the broken replica was never tried"
    markers = [new_marker() for _ in range(9)]
    for marker in markers:
        reply = client.chat(client.create_program(PROFILE), 1, marker, max_tokens=20)
        assert text_of(reply) == _expected(marker, 20)
    broken = [first, *(marker for marker in markers if env.seen("engine-1", marker))]
    assert all(env.runs(marker) == 2 for marker in broken)


def test_engines_that_break_off_but_live_make_no_poison() -> None:
    """A request whose streams break on every engine isn't poison: it succeeds once they recover."""
    env = world()
    for engine in ENGINES:
        env.fleet.inject(engine, break_after_tokens=0)
    text = new_marker()
    client = env.client()
    refused = client.chat(client.create_program(PROFILE), 1, text, stream=False)
    assert refused.json()["kind"] == "upstream-failed", refused.body.decode()
    for engine in ENGINES:
        env.fleet.inject(engine)
    assert text_of(retry(lambda: client.chat(client.create_program(PROFILE), 1, text))) == (
        _expected(text, 16)
    )


def test_crossed_answers_keep_to_their_requests() -> None:
    """Concurrent programs on replicas of very different speeds each get their own answer."""
    env = world()
    for engine, slow in SLOWNESS_BY_ENGINE.items():
        env.fleet.inject(engine, slow=slow)
    markers = [new_marker() for _ in range(12)]
    clients = [env.client() for _ in markers]
    programs = [client.create_program(PROFILE) for client in clients]
    calls = [
        Background(lambda c=client, p=program, m=marker: c.chat(p, 1, m, max_tokens=16))
        for client, program, marker in zip(clients, programs, markers, strict=True)
    ]
    replies = [request.result() for request in calls]
    assert [text_of(reply) for reply in replies] == [_expected(marker, 16) for marker in markers]
    used = {engine for engine in ENGINES for marker in markers if env.seen(engine, marker)}
    assert len(used) > 1, "all programs ran at one replica"
    for client, program, marker in zip(clients, programs, markers, strict=True):
        turns = client.history(program)
        assert [turn["request"]["messages"][0]["content"] for turn in turns] == [marker]


def test_silent_engine_is_passed_over() -> None:
    """A call to a suspended engine succeeds elsewhere, well before the first-byte timeout.

    The program's long prefix is cached on the engine, so its next call goes there first; the
    engine's log confirms this after the engine resumes.
    """
    env = world()
    program_id, messages = program_cached_at(env, "engine-1")
    env.fleet.upstreams_by_id["engine-1"].freeze()
    marker = new_marker()
    request = Background(lambda: retry(lambda: env.client().chat(program_id, 2, marker)))
    messages.append({"role": "user", "content": marker})
    assert text_of(request.result(FAILOVER_LIMIT_S)) == answer_text(messages, 16)
    env.fleet.upstreams_by_id["engine-1"].thaw()
    wait_until(lambda: bool(env.seen("engine-1", marker)), "the call at engine-1")


def test_dead_engine_still_listed() -> None:
    """Calls succeed although the stale instance list still contains a dead engine.

    The program's long prefix was cached on the engine, so its next call goes there first.
    """
    env = world()
    program_id, messages = program_cached_at(env, "engine-2")
    env.fleet.upstreams_by_id["engine-2"].kill()
    marker = new_marker()
    messages.append({"role": "user", "content": marker})
    client = env.client()
    assert text_of(client.chat(program_id, 2, marker)) == answer_text(messages, 16)
    tried = placements(env, program_id)
    assert tried[-2] == "engine-2" and tried[-1] != "engine-2", tried
    for _ in range(5):
        marker = new_marker()
        reply = client.chat(client.create_program(PROFILE), 1, marker)
        assert text_of(reply) == _expected(marker, 16)


def test_leaving_engine_gets_nothing_new() -> None:
    """An engine that every instance knows to be leaving gets no new calls.

    This includes calls of a program whose long prefix is cached there, so they would prefer it.
    """
    env = world()
    program_id, messages = program_cached_at(env, "engine-1")
    env.fleet.entries_by_id["engine-1"]["leaving"] = True
    env.fleet.publish_list()
    wait_list_applied(env, LEAVING_BOUND_S)
    client = env.client()
    markers = [new_marker() for _ in range(10)]
    messages.append({"role": "user", "content": markers[0]})
    assert text_of(client.chat(program_id, 2, markers[0])) == answer_text(messages, 16)
    for marker in markers[1:]:
        reply = client.chat(client.create_program(PROFILE), 1, marker)
        assert text_of(reply) == _expected(marker, 16)
    assert not any(env.seen("engine-1", marker) for marker in markers)


def test_poisonous_request_takes_down_two_at_most() -> None:
    """A request that crashes engines is refused after at most two, even if it is repeated."""
    env = world()
    text = f"{CRASH_MARKER} {new_marker()}"
    replies = []
    for instance_id in env.running():
        client = env.client(instance_id)
        replies.append(client.chat(client.create_program(PROFILE), 1, text, stream=False))
    crashed = [name for name in ENGINES if not env.fleet.upstreams_by_id[name].is_running()]
    assert 1 <= len(crashed) <= MAX_CRASHED, crashed
    assert replies[-1].json()["kind"] == "poisonous"
    marker = new_marker()
    client = env.client()
    reply = client.chat(client.create_program(PROFILE), 1, marker)
    assert text_of(reply) == _expected(marker, 16)


def test_cache_of_an_ended_program_is_freed() -> None:
    """Engines free the prefix of a program whose owner died before the program ended."""
    env = world()
    program_id, owner = env.create_program()
    assert env.client(owner).chat(program_id, 1, new_marker()).status == 200

    wait_until(lambda: engines_caching(env, program_id), "a cached prefix")
    env.fleet.instances_by_id[owner].process.kill()
    env.wait_taken_over(program_id, owner)
    client = env.client(*env.others(owner))
    assert retry(lambda: client.end(program_id)).status == 200
    wait_until(lambda: not engines_caching(env, program_id), "the cache freed", 30.0)


def test_hung_tool_ends_at_its_deadline() -> None:
    """A call to a tool that never answers ends at the route's timeout, and runs only once."""
    env = world()
    marker = new_marker()
    env.fleet.operate("route", "add", f"slow-{marker}", "--kind=tool", "--target=registry",
                       "--idempotent=false", "--timeout=1")  # fmt: skip
    env.fleet.operate("profile", "add", f"p-{marker}", "--accounts=survey",
                       f"--routes={MODEL},{REGISTER},slow-{marker}")  # fmt: skip
    wait_config_applied(env)
    client = env.client()
    program_id = client.create_program(f"p-{marker}")
    env.fleet.inject("tool-1", hang=True)
    reply = client.tool(program_id, 1, f"slow-{marker}", {"m": marker})
    assert reply.json()["ran"] == "unknown"
    env.fleet.inject("tool-1")
    repeated = client.tool(program_id, 1, f"slow-{marker}", {"m": marker})
    assert repeated.json()["kind"] == "outcome-unknown"
    assert env.runs(marker) == 1
    assert client.tool(program_id, 2, REGISTER, {"m": new_marker()}).status == 200


def test_order_under_an_old_fencing_number_is_refused() -> None:
    """An engine refuses an order with an older fencing number than it has seen.

    Every instance reports this as a conflict and says that the order was not executed.
    """
    env = world()
    scope = shard_of("engine-1", env.fleet.options.shards)
    marker = new_marker()
    newer = {"kind": "set-version", "name": marker, "fencing": f"{scope}:{NEWER_FENCING}"}
    engine = env.fleet.entries_by_id["engine-1"]["address"]
    order = {"upstream": "engine-1", "kind": "set-version", "name": marker}
    operators = [handle.operator for handle in env.fleet.instances_by_id.values()]
    try:
        assert _send_order(operators[0], order)[0] == 200
        assert call("POST", engine, "/v1/orders", newer)[0] == 200
        for operator in operators:
            status, problem = _send_order(operator, order)
            result = (status, problem["kind"], problem["ran"])
            assert result == (409, "version-conflict", "no"), result
        states = [seen["state"] for seen in env.seen("engine-1", marker)]
        assert states == ["answered"] * 2 + ["failed"] * len(operators)
    finally:
        env.fleet.upstreams_by_id["engine-1"].kill()


def _send_order(operator: str, order: dict) -> tuple[int, dict]:
    """Send an order; repeat it while its shard is moving and the order was not executed."""
    deadline_s = time.monotonic() + ORDER_TIMEOUT_S
    while True:
        status, body = call("POST", operator, "/v1/orders", order)
        problem = json.loads(body)
        is_moving = status == 503 and problem["ran"] == "no"
        if not is_moving or time.monotonic() > deadline_s:
            return status, problem
        time.sleep(0.1)


def test_no_upstream_saw_a_key() -> None:
    """No request that reached an upstream, in this or earlier tests, contains a caller's key."""
    env = world()
    client = env.client()
    program_id = client.create_program(PROFILE)
    assert client.chat(program_id, 1, new_marker()).is_whole()
    assert client.tool(program_id, 2, REGISTER, {"m": new_marker()}).status == 200
    assert client.send("POST", f"/v1/services/{SERVICE}", {"m": new_marker()}).status == 200
    for upstream_id in env.live_upstreams():
        for seen in env.fleet.upstream_log(upstream_id):
            text = f"{seen['path']} {seen['headers']} {seen['body']}"
            assert "authorization" not in {name.lower() for name in seen["headers"]}
            assert not any(secret in text for secret in env.secrets)


load_tests = load_functions(globals())
