"""Tests of programs, configuration and rates while instances and the key-value service fail."""

import http.client
import json
import time

from lagoonfold.config import digest_of_key
from standins.client import Reply
from standins.fleet import FleetError, call, is_ready, wait_until
from tests._suite import load_functions
from tests.failure._probes import config_version, wait_config_applied
from tests.failure._programs import program_owned_by
from tests.failure._world import (
    PROFILE,
    REGISTER,
    SERVICE,
    Background,
    Environment,
    new_marker,
    retry,
    world,
)

PROPAGATION_BOUND_S = 9.0
WITHDRAWAL_BOUND_S = 5.0
RATE_PER_S = 20
BURST = 20
_OUTAGE_ERROR_KINDS = ("platform-unavailable", "config-stale", "owner-unavailable")


def test_turns_in_order_over_kills_and_lost_answers() -> None:
    """No turn is lost if owners die while answers to their journal writes are lost."""
    env = world()
    program_id, _ = env.create_program()
    env.fleet.inject_store(drop_answer=0.3, operations=["txn"], key_contains="journal", seed=7)
    markers = [new_marker() for _ in range(4)]
    for turn, marker in enumerate(markers, start=1):
        owner = env.owner_of(program_id)
        client = env.client()
        reply = retry(
            lambda c=client, t=turn, m=marker: c.tool(program_id, t, REGISTER, {"m": m}, key=m)
        )
        assert reply.status == 200, reply.body
        if turn in (2, 3):
            env.fleet.instances_by_id[owner].process.kill()
            env.wait_taken_over(program_id, owner)
            env.fleet.start_instance(owner)
            env.fleet.wait_ready(owner)
    assert [env.runs(marker) for marker in markers] == [1, 1, 1, 1]
    turns = env.client().history(program_id)
    assert [turn["request"]["m"] for turn in turns] == markers


def test_history_is_the_same_through_any_instance() -> None:
    """A program has the same history whether one instance or all of them receive its calls."""
    env = world()
    ids = tuple(env.fleet.instances_by_id)
    histories = [_history_through(env, entry_ids) for entry_ids in (ids[:1], ids)]
    assert len(histories[0]) == 4
    assert histories[0] == histories[1]


def _history_through(env: Environment, entry_ids: tuple[str, ...]) -> list[tuple]:
    client = env.client(*entry_ids)
    program_id = client.create_program(PROFILE)
    for turn in (1, 2, 4):
        if turn == 4:
            retry(lambda: client.tool(program_id, 3, REGISTER, {"point": 17}))
        retry(lambda t=turn: client.chat(program_id, t, f"point {t}"))
    return [
        (
            turn["turn"],
            turn["route"],
            turn["outcome"],
            turn["request"],
            _answer_content(turn["answer"]),
        )
        for turn in client.history(program_id)
    ]


def _answer_content(answer: dict) -> object:
    """Return the content of an answer, without the ids and counts that differ between runs."""
    return answer["choices"][0]["message"] if "choices" in answer else answer["echo"]


def test_turn_out_of_order_does_not_run() -> None:
    """Every instance refuses a call ahead of its turn as not run; it never reaches the tool."""
    env = world()
    program_id, _ = env.create_program()
    marker = new_marker()
    for instance_id in env.running():
        reply = env.client(instance_id).tool(program_id, 3, REGISTER, {"m": marker})
        assert (reply.status, reply.json()["ran"]) == (409, "no")
    assert env.runs(marker) == 0


def test_foreign_and_unknown_keys_do_not_run() -> None:
    """Every instance refuses calls to a program without a key of the program's account."""
    env = world()
    program_id, _ = env.create_program()
    account = f"a-{new_marker()}"
    env.fleet.operate("account", "add", account, "--rate=50", "--burst=50")
    env.fleet.operate(
        "profile", "add", f"p-{account}", f"--accounts={account}", f"--routes={REGISTER}"
    )
    foreign = env.add_key(account)
    marker = new_marker()
    for instance_id in env.running():
        for key, status in ((foreign, 404), ("lfk_unknown", 401)):
            client = env.client(instance_id, key=key)
            reply = retry(lambda c=client: c.tool(program_id, 1, REGISTER, {"m": marker}))
            assert (reply.status, reply.json()["ran"]) == (status, "no")
            assert client.send("GET", f"/v1/programs/{program_id}/history").status == status
    assert env.runs(marker) == 0


def test_budget_holds_over_a_takeover() -> None:
    """Calls made before the owner died still count against the program's budget."""
    env = world()
    name = f"p-{new_marker()}"
    env.fleet.operate(
        "profile", "add", name, "--accounts=survey", f"--routes={REGISTER}", "--calls=3"
    )
    wait_config_applied(env)
    client = env.client()
    program_id = client.create_program(name)
    markers = [new_marker() for _ in range(5)]
    for turn in (1, 2):
        assert client.tool(program_id, turn, REGISTER, {"m": markers[turn - 1]}).status == 200
    owner = env.owner_of(program_id)
    env.fleet.instances_by_id[owner].process.kill()
    env.wait_taken_over(program_id, owner)
    client = env.client(*env.others(owner))
    replies = [
        retry(lambda t=turn: client.tool(program_id, t, REGISTER, {"m": markers[t - 1]}))
        for turn in (3, 4)
    ]
    assert [reply.status for reply in replies] == [200, 402]
    assert sum(env.runs(marker) for marker in markers) == 3


def test_operators_race() -> None:
    """If three operators add the same account at once, one succeeds and its values are stored.

    Configuration writes are delayed, so that all have read before the first one has written.
    """
    env = world()
    name = new_marker()
    env.fleet.inject_store(delay_s=1.5, operations=["txn"], key_contains="config/head")

    def add(rate: int) -> str:
        try:
            env.fleet.operate("account", "add", name, f"--rate={rate}", "--burst=1")
        except FleetError as error:
            return str(error)
        return "added"

    racing = [Background(lambda rate=rate: add(rate)) for rate in (11, 12, 13)]
    results = [request.result() for request in racing]
    env.fleet.inject_store()
    assert results.count("added") == 1, results
    shown = env.fleet.operate("account", "show", name)
    assert f'"rate_per_s": {11 + results.index("added")}.0' in json.dumps(shown)


def test_lost_answer_to_a_change_is_resolved() -> None:
    """A change whose write was stored but not answered succeeds, and is in the history once."""
    env = world()
    name = new_marker()
    env.fleet.inject_store(drop_answer=1.0, operations=["txn"], key_contains="config/head")
    env.fleet.operate("account", "add", name, "--rate=1", "--burst=1")
    env.fleet.inject_store()
    history = json.dumps(env.fleet.operate("history"))
    assert history.count(f'"{name}"') == 1 or history.count(name) == 1, history[:600]


def test_change_is_in_force_everywhere_with_mute_watches() -> None:
    """A change reaches every instance within the bound although watches have gone silent."""
    env = world()
    env.fleet.inject_store(mute_watches=True)
    env.fleet.operate("account", "add", new_marker(), "--rate=1", "--burst=1")
    started_s = time.monotonic()
    newest = max(entry["version"] for entry in env.fleet.operate("history"))
    wait_until(
        lambda: all(config_version(env, name) >= newest for name in env.running()),
        f"version {newest} everywhere",
        PROPAGATION_BOUND_S,
    )
    assert time.monotonic() - started_s < PROPAGATION_BOUND_S


def test_restart_in_an_outage_serves_no_old_configuration() -> None:
    """An instance that starts during an outage of the key-value service refuses keyed requests."""
    env = world()
    env.fleet.inject_store(outage="refuse")
    handle = env.fleet.instances_by_id["i3"]
    handle.process.kill()
    env.fleet.start_instance("i3")

    def listens() -> bool:
        try:
            return call("GET", handle.operator, "/livez", timeout_s=1.0)[0] == 200
        except OSError:
            return False

    wait_until(listens, "the operators' port of i3")
    status, body = call("GET", handle.operator, "/readyz")
    assert status == 503 and "configuration" in json.loads(body)["reason"], body
    marker = new_marker()
    replies = []

    def is_answered() -> bool:
        try:
            replies.append(env.client("i3").send("POST", f"/v1/services/{SERVICE}", {"m": marker}))
        except OSError:
            return False
        return True

    wait_until(is_answered, "the callers' port of i3")
    _check_retry_later(replies[-1], ("config-stale",), ("no",))
    assert env.runs(marker) == 0
    env.fleet.inject_store()
    env.fleet.wait_ready("i3")


def _check_retry_later(reply: Reply, kinds: tuple[str, ...], ran: tuple[str, ...]) -> None:
    """Check that a refusal says when to retry, and whether the request may have run."""
    assert reply.status == 503 and int(reply.headers["retry-after"]) > 0, reply
    problem = reply.json()
    assert problem["kind"] in kinds and problem["ran"] in ran, problem


def test_outage_loses_nothing() -> None:
    """Turns accepted before or during an outage are kept after it, also at the next owner."""
    _check_outage("refuse")


def test_silent_service_loses_nothing() -> None:
    """No turn is lost while the key-value service accepts connections but never answers."""
    _check_outage("silent")


def _check_outage(outage: str) -> None:
    """Check an outage as a caller sees it: one call ends during it, another one arrives.

    The history is read from the next owner, which knows only the recorded turns.
    """
    env = world()
    program_id, owner = env.create_program()
    idle_id, _ = env.create_program()
    markers = [new_marker() for _ in range(3)]
    client = env.client(*env.others(owner))

    def make_turn(turn: int) -> Reply:
        body = {"m": markers[turn - 1]}
        return client.tool(program_id, turn, REGISTER, body, key=markers[turn - 1])

    answers = [retry(lambda: make_turn(1))]
    env.fleet.inject("tool-1", hold=True)
    running = Background(lambda: make_turn(2))
    wait_until(lambda: env.runs(markers[1]) == 1, "turn 2 at the tool")
    env.fleet.inject_store(outage=outage)
    env.fleet.inject("tool-1")
    arrived = new_marker()
    refused = client.tool(idle_id, 1, REGISTER, {"m": arrived}, key=arrived)
    _check_retry_later(refused, _OUTAGE_ERROR_KINDS, ("no", "unknown"))
    _check_retry_later(running.result(), _OUTAGE_ERROR_KINDS, ("unknown",))
    assert env.runs(arrived) == 0
    env.fleet.inject_store()
    for instance_id in env.running():
        env.fleet.wait_ready(instance_id)

    def is_settled() -> bool:
        answers[1:] = [make_turn(2)]
        return answers[1].status == 200 or answers[1].json()["kind"] == "outcome-unknown"

    wait_until(is_settled, "turn 2 settled after the outage", 30.0)
    answers.append(retry(lambda: make_turn(3)))
    owner = env.owner_of(program_id)
    env.fleet.instances_by_id[owner].process.kill()
    env.wait_taken_over(program_id, owner)
    turns = env.client(*env.others(owner)).history(program_id)
    assert [turn["request"]["m"] for turn in turns] == markers
    assert [env.runs(marker) for marker in markers] == [1, 1, 1]
    for turn, answer in zip(turns, answers, strict=True):
        assert answer.status != 200 or turn["answer"] == answer.json(), (turn, answer)
    assert [answers[0].status, answers[2].status] == [200, 200]


def test_withdrawn_key_cuts_stream_and_connection() -> None:
    """A stream and an idle connection of a withdrawn key end within the bound."""
    env = world()
    key = env.add_key("survey")
    client = env.client("i2", key=key)
    program_id = client.create_program(PROFILE)
    address = env.fleet.instances_by_id["i3"].listen
    idle = http.client.HTTPConnection(address, timeout=10)
    headers = {"Authorization": f"Bearer {key}"}
    idle.request("GET", f"/v1/programs/{program_id}", headers=headers)
    response = idle.getresponse()
    response.read()
    assert response.status == 200
    for engine in ("engine-1", "engine-2", "engine-3"):
        env.fleet.inject(engine, slow=100.0)
    marker = new_marker()
    stream = Background(lambda: client.chat(program_id, 1, marker, max_tokens=200))
    wait_until(lambda: env.runs(marker) == 1, "the stream at an engine")
    listed_keys = env.fleet.operate("key", "list")
    own_entry = next(shown for shown in listed_keys if _is_digest_of(shown, key))
    env.fleet.operate("key", "retire", own_entry["digest"][:16])
    wait_until(stream.is_over, "the stream cut", WITHDRAWAL_BOUND_S)
    wait_until(
        lambda: _status_on(idle, program_id, headers) == 401, "401 when idle", WITHDRAWAL_BOUND_S
    )
    path = f"/v1/programs/{program_id}"
    clients = [env.client(instance_id, key=key) for instance_id in env.running()]
    wait_until(
        lambda: all(client.send("GET", path).status == 401 for client in clients),
        "401 at every instance",
        WITHDRAWAL_BOUND_S,
    )


def _is_digest_of(shown: dict, key: str) -> bool:
    return shown.get("digest") == digest_of_key(key)


def _status_on(idle: http.client.HTTPConnection, program_id: str, headers: dict) -> int:
    try:
        idle.request("GET", f"/v1/programs/{program_id}", headers=headers)
        response = idle.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return 401
    return response.status


def test_rate_holds_over_three_instances_and_a_takeover() -> None:
    """A client account that calls all instances at once doesn't exceed its rate and burst.

    This also holds while one instance is killed.
    """
    env = world()
    account = f"a-{new_marker()}"
    env.fleet.operate("account", "add", account, f"--rate={RATE_PER_S}", f"--burst={BURST}")
    env.fleet.operate(
        "profile", "add", f"p-{account}", f"--accounts={account}", f"--routes={SERVICE}"
    )
    key = env.fleet.operate("key", "add", account)["key"]
    wait_until(
        lambda: all(
            env.client(name, key=key).send("GET", "/v1/programs/none").status != 401
            for name in env.running()
        ),
        "the key everywhere",
    )
    marker = new_marker()
    started_s = time.monotonic()
    is_killed = False
    passed = 0
    refused = 0
    while time.monotonic() - started_s < 6.0 or not refused:
        burst = [
            Background(lambda n=name: _call_service(env, n, key, marker)) for name in env.running()
        ]
        statuses = [status for request in burst for status in request.result()]
        passed += statuses.count(200)
        refused += statuses.count(429)
        if not is_killed and time.monotonic() - started_s > 2.0:
            env.fleet.instances_by_id["i1"].process.kill()
            is_killed = True
    elapsed_s = time.monotonic() - started_s
    ran = env.runs(marker)
    assert ran >= passed > 0
    assert ran <= RATE_PER_S * elapsed_s + BURST, (ran, elapsed_s)


def _call_service(env: Environment, instance_id: str, key: str, marker: str) -> list[int]:
    """Return the statuses of several calls to one instance, up to the first failed connection."""
    client = env.client(instance_id, key=key)
    statuses = []
    for _ in range(8):
        try:
            reply = client.send("POST", f"/v1/services/{SERVICE}", {"m": marker})
        except (OSError, http.client.HTTPException):
            break
        statuses.append(reply.status)
    return statuses


def test_graceful_stop_cuts_nothing() -> None:
    """A stream and a non-idempotent call running on a stopping instance complete.

    The upstreams hold back both answers until the instance has begun to stop.
    """
    env = world()
    program_id, owner = env.create_program()
    other_id = program_owned_by(env, owner)
    for engine in ("engine-1", "engine-2", "engine-3"):
        env.fleet.inject(engine, slow=100.0)
    env.fleet.inject("tool-1", hold=True)
    streamed, called = new_marker(), new_marker()
    other_instance = env.others(owner)[0]
    calls = [
        Background(lambda: env.client(owner).chat(program_id, 1, streamed, max_tokens=30)),
        Background(lambda: env.client(other_instance).tool(other_id, 1, REGISTER, {"m": called})),
    ]
    wait_until(lambda: env.runs(streamed) and env.runs(called), "both calls upstream")
    stopping = Background(lambda: env.fleet.stop_instance(owner))
    operator = env.fleet.instances_by_id[owner].operator
    wait_until(lambda: not is_ready(operator, "/readyz"), "the instance stopping")
    assert not any(request.is_over() for request in [stopping, *calls])
    for upstream in ("engine-1", "engine-2", "engine-3", "tool-1"):
        env.fleet.inject(upstream)
    assert stopping.result() == 0
    stream, tool = (request.result() for request in calls)
    assert stream.is_whole()
    assert tool.status == 200, tool.body
    assert env.runs(called) == 1


load_tests = load_functions(globals())
