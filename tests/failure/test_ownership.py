"""Programs, configuration and rates while instances and the key-value service fail."""

import http.client
import json
import time

from lagoonfold.config import digest_of_key
from standins.client import Reply
from standins.fleet import FleetError, call, is_ready, wait_until
from tests._suite import load_functions
from tests.failure._probes import config_version, wait_in_force
from tests.failure._programs import program_of
from tests.failure._world import (
    PROFILE,
    REGISTER,
    SERVICE,
    Background,
    World,
    mark,
    persist,
    world,
)

IN_FORCE_BOUND_S = 9.0
WITHDRAWAL_BOUND_S = 5.0
RATE_PER_S = 20
BURST = 20
_OUTAGE_KINDS = ("platform-unavailable", "config-stale", "owner-unavailable")


def test_turns_in_order_over_kills_and_lost_answers() -> None:
    """Two faults together: owners die while the journal's answers are lost; no turn is."""
    each = world()
    program_id, _ = each.owned_program()
    each.fleet.inject_store(drop_answer=0.3, operations=["txn"], key_contains="journal", seed=7)
    marks = [mark() for _ in range(4)]
    for turn, marked in enumerate(marks, start=1):
        owner = each.owner_of(program_id)
        client = each.client()
        reply = persist(
            lambda c=client, t=turn, m=marked: c.tool(program_id, t, REGISTER, {"m": m}, key=m)
        )
        assert reply.status == 200, reply.body
        if turn in (2, 3):
            each.fleet.instances_by_id[owner].process.kill()
            each.wait_taken_over(program_id, owner)
            each.fleet.start_instance(owner)
            each.fleet.wait_ready(owner)
    assert [each.runs(marked) for marked in marks] == [1, 1, 1, 1]
    turns = each.client().history(program_id)
    assert [turn["request"]["m"] for turn in turns] == marks


def test_history_does_not_depend_on_the_way_in() -> None:
    """A program gives the same history by way of one instance and of another for each call."""
    each = world()
    ids = tuple(each.fleet.instances_by_id)
    histories = [_history_by_way_of(each, ways) for ways in (ids[:1], ids)]
    assert len(histories[0]) == 4
    assert histories[0] == histories[1]


def _history_by_way_of(each: World, ways: tuple[str, ...]) -> list[tuple]:
    client = each.client(*ways)
    program_id = client.create_program(PROFILE)
    for turn in (1, 2, 4):
        if turn == 4:
            persist(lambda: client.tool(program_id, 3, REGISTER, {"point": 17}))
        persist(lambda t=turn: client.chat(program_id, t, f"point {t}"))
    return [
        (turn["turn"], turn["route"], turn["outcome"], turn["request"], _said(turn["answer"]))
        for turn in client.history(program_id)
    ]


def _said(answer: dict) -> object:
    """Return what an answer says, without the ids and counts that differ from run to run."""
    return answer["choices"][0]["message"] if "choices" in answer else answer["echo"]


def test_turn_out_of_order_does_not_run() -> None:
    """A call ahead of its turn is refused as not run, at every instance, and never reaches the
    tool."""
    each = world()
    program_id, _ = each.owned_program()
    marked = mark()
    for instance_id in each.running():
        reply = each.client(instance_id).tool(program_id, 3, REGISTER, {"m": marked})
        assert (reply.status, reply.json()["ran"]) == (409, "no")
    assert each.runs(marked) == 0


def test_foreign_and_unknown_keys_do_not_run() -> None:
    """A program answers only to its own account's key, at every instance."""
    each = world()
    program_id, _ = each.owned_program()
    account = f"a-{mark()}"
    each.fleet.operate("account", "add", account, "--rate=50", "--burst=50")
    each.fleet.operate(
        "profile", "add", f"p-{account}", f"--accounts={account}", f"--routes={REGISTER}"
    )
    foreign = each.add_key(account)
    marked = mark()
    for instance_id in each.running():
        for key, status in ((foreign, 404), ("lfk_unknown", 401)):
            client = each.client(instance_id, key=key)
            reply = persist(lambda c=client: c.tool(program_id, 1, REGISTER, {"m": marked}))
            assert (reply.status, reply.json()["ran"]) == (status, "no")
            assert client.send("GET", f"/v1/programs/{program_id}/history").status == status
    assert each.runs(marked) == 0


def test_budget_holds_over_a_takeover() -> None:
    """The calls made before the owner died still count against the program's budget."""
    each = world()
    name = f"p-{mark()}"
    each.fleet.operate(
        "profile", "add", name, "--accounts=survey", f"--routes={REGISTER}", "--calls=3"
    )
    wait_in_force(each)
    client = each.client()
    program_id = client.create_program(name)
    marks = [mark() for _ in range(5)]
    for turn in (1, 2):
        assert client.tool(program_id, turn, REGISTER, {"m": marks[turn - 1]}).status == 200
    owner = each.owner_of(program_id)
    each.fleet.instances_by_id[owner].process.kill()
    each.wait_taken_over(program_id, owner)
    client = each.client(*each.others(owner))
    replies = [
        persist(lambda t=turn: client.tool(program_id, t, REGISTER, {"m": marks[t - 1]}))
        for turn in (3, 4)
    ]
    assert [reply.status for reply in replies] == [200, 402]
    assert sum(each.runs(marked) for marked in marks) == 3


def test_operators_race() -> None:
    """Of three operators who add the same account one succeeds; nothing is lost.

    Writes of the configuration take so long that all have read before the first has written.
    """
    each = world()
    name = mark()
    each.fleet.inject_store(delay_s=1.5, operations=["txn"], key_contains="config/head")

    def add(rate: int) -> str:
        try:
            each.fleet.operate("account", "add", name, f"--rate={rate}", "--burst=1")
        except FleetError as error:
            return str(error)
        return "added"

    racing = [Background(lambda rate=rate: add(rate)) for rate in (11, 12, 13)]
    told = [made.result() for made in racing]
    each.fleet.inject_store()
    assert told.count("added") == 1, told
    shown = each.fleet.operate("account", "show", name)
    assert f'"rate_per_s": {11 + told.index("added")}.0' in json.dumps(shown)


def test_lost_answer_to_a_change_is_resolved() -> None:
    """The operator is told that the change is in force, and it is in the history once."""
    each = world()
    name = mark()
    each.fleet.inject_store(drop_answer=1.0, operations=["txn"], key_contains="config/head")
    each.fleet.operate("account", "add", name, "--rate=1", "--burst=1")
    each.fleet.inject_store()
    history = json.dumps(each.fleet.operate("history"))
    assert history.count(f'"{name}"') == 1 or history.count(name) == 1, history[:600]


def test_change_is_in_force_everywhere_with_mute_watches() -> None:
    """Watches that have gone silent do not hold back a change beyond the bound."""
    each = world()
    each.fleet.inject_store(mute_watches=True)
    each.fleet.operate("account", "add", mark(), "--rate=1", "--burst=1")
    started_s = time.monotonic()
    newest = max(entry["version"] for entry in each.fleet.operate("history"))
    wait_until(
        lambda: all(config_version(each, name) >= newest for name in each.running()),
        f"version {newest} everywhere",
        IN_FORCE_BOUND_S,
    )
    assert time.monotonic() - started_s < IN_FORCE_BOUND_S


def test_restart_in_an_outage_serves_no_old_configuration() -> None:
    """An instance that starts while the service is down takes no keyed request."""
    each = world()
    each.fleet.inject_store(outage="refuse")
    handle = each.fleet.instances_by_id["i3"]
    handle.process.kill()
    each.fleet.start_instance("i3")

    def listens() -> bool:
        try:
            return call("GET", handle.operator, "/livez", timeout_s=1.0)[0] == 200
        except OSError:
            return False

    wait_until(listens, "the operators' port of i3")
    status, body = call("GET", handle.operator, "/readyz")
    assert status == 503 and "configuration" in json.loads(body)["reason"], body
    marked = mark()
    replies = []

    def is_answered() -> bool:
        try:
            replies.append(each.client("i3").send("POST", f"/v1/services/{SERVICE}", {"m": marked}))
        except OSError:
            return False
        return True

    wait_until(is_answered, "the callers' port of i3")
    _check_told_to_return(replies[-1], ("config-stale",), ("no",))
    assert each.runs(marked) == 0
    each.fleet.inject_store()
    each.fleet.wait_ready("i3")


def _check_told_to_return(reply: Reply, kinds: tuple[str, ...], ran: tuple[str, ...]) -> None:
    """Check that a caller is told when to come back, and what became of its request."""
    assert reply.status == 503 and int(reply.headers["retry-after"]) > 0, reply
    problem = reply.json()
    assert problem["kind"] in kinds and problem["ran"] in ran, problem


def test_outage_loses_nothing() -> None:
    """What was accepted before or during an outage is there after it, also at the next owner."""
    _check_outage("refuse")


def test_silent_service_loses_nothing() -> None:
    """The same while the key-value service takes connections and answers nothing."""
    _check_outage("silent")


def _check_outage(outage: str) -> None:
    """Check the caller's side of an outage: one call ends in it, one arrives in it.

    The history is read from the next owner, which has nothing but what was recorded.
    """
    each = world()
    program_id, owner = each.owned_program()
    idle_id, _ = each.owned_program()
    marks = [mark() for _ in range(3)]
    client = each.client(*each.others(owner))

    def make(turn: int) -> Reply:
        body = {"m": marks[turn - 1]}
        return client.tool(program_id, turn, REGISTER, body, key=marks[turn - 1])

    answers = [persist(lambda: make(1))]
    each.fleet.inject("tool-1", hold=True)
    begun = Background(lambda: make(2))
    wait_until(lambda: each.runs(marks[1]) == 1, "turn 2 at the tool")
    each.fleet.inject_store(outage=outage)
    each.fleet.inject("tool-1")
    arrived = mark()
    refused = client.tool(idle_id, 1, REGISTER, {"m": arrived}, key=arrived)
    _check_told_to_return(refused, _OUTAGE_KINDS, ("no", "unknown"))
    _check_told_to_return(begun.result(), _OUTAGE_KINDS, ("unknown",))
    assert each.runs(arrived) == 0
    each.fleet.inject_store()
    for instance_id in each.running():
        each.fleet.wait_ready(instance_id)

    def is_settled() -> bool:
        answers[1:] = [make(2)]
        return answers[1].status == 200 or answers[1].json()["kind"] == "outcome-unknown"

    wait_until(is_settled, "turn 2 settled after the outage", 30.0)
    answers.append(persist(lambda: make(3)))
    owner = each.owner_of(program_id)
    each.fleet.instances_by_id[owner].process.kill()
    each.wait_taken_over(program_id, owner)
    turns = each.client(*each.others(owner)).history(program_id)
    assert [turn["request"]["m"] for turn in turns] == marks
    assert [each.runs(marked) for marked in marks] == [1, 1, 1]
    for turn, answer in zip(turns, answers, strict=True):
        assert answer.status != 200 or turn["answer"] == answer.json(), (turn, answer)
    assert [answers[0].status, answers[2].status] == [200, 200]


def test_withdrawn_key_cuts_stream_and_connection() -> None:
    """An open stream and an idle connection of a withdrawn key end within the bound."""
    each = world()
    key = each.add_key("survey")
    client = each.client("i2", key=key)
    program_id = client.create_program(PROFILE)
    address = each.fleet.instances_by_id["i3"].listen
    idle = http.client.HTTPConnection(address, timeout=10)
    headers = {"Authorization": f"Bearer {key}"}
    idle.request("GET", f"/v1/programs/{program_id}", headers=headers)
    response = idle.getresponse()
    response.read()
    assert response.status == 200
    for engine in ("engine-1", "engine-2", "engine-3"):
        each.fleet.inject(engine, slow=100.0)
    marked = mark()
    stream = Background(lambda: client.chat(program_id, 1, marked, max_tokens=200))
    wait_until(lambda: each.runs(marked) == 1, "the stream at an engine")
    digest = each.fleet.operate("key", "list")
    own = next(shown for shown in digest if _is_digest_of(shown, key))
    each.fleet.operate("key", "retire", own["digest"][:16])
    wait_until(stream.is_over, "the stream cut", WITHDRAWAL_BOUND_S)
    wait_until(
        lambda: _status_on(idle, program_id, headers) == 401, "401 when idle", WITHDRAWAL_BOUND_S
    )
    path = f"/v1/programs/{program_id}"
    clients = [each.client(instance_id, key=key) for instance_id in each.running()]
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
    """However a client account spreads its calls, no more than its rate and burst get through."""
    each = world()
    account = f"a-{mark()}"
    each.fleet.operate("account", "add", account, f"--rate={RATE_PER_S}", f"--burst={BURST}")
    each.fleet.operate(
        "profile", "add", f"p-{account}", f"--accounts={account}", f"--routes={SERVICE}"
    )
    key = each.fleet.operate("key", "add", account)["key"]
    wait_until(
        lambda: all(
            each.client(name, key=key).send("GET", "/v1/programs/none").status != 401
            for name in each.running()
        ),
        "the key everywhere",
    )
    marked = mark()
    started_s = time.monotonic()
    killed = False
    passed = 0
    refused = 0
    while time.monotonic() - started_s < 6.0 or not refused:
        burst = [
            Background(lambda n=name: _try_service(each, n, key, marked)) for name in each.running()
        ]
        statuses = [status for made in burst for status in made.result()]
        passed += statuses.count(200)
        refused += statuses.count(429)
        if not killed and time.monotonic() - started_s > 2.0:
            each.fleet.instances_by_id["i1"].process.kill()
            killed = True
    elapsed_s = time.monotonic() - started_s
    ran = each.runs(marked)
    assert ran >= passed > 0
    assert ran <= RATE_PER_S * elapsed_s + BURST, (ran, elapsed_s)


def _try_service(each: World, instance_id: str, key: str, marked: str) -> list[int]:
    """Return the statuses of some calls at one instance, up to the first that is cut."""
    client = each.client(instance_id, key=key)
    statuses = []
    for _ in range(8):
        try:
            reply = client.send("POST", f"/v1/services/{SERVICE}", {"m": marked})
        except (OSError, http.client.HTTPException):
            break
        statuses.append(reply.status)
    return statuses


def test_graceful_stop_cuts_nothing() -> None:
    """A stream and a non-idempotent call under way at a stopping instance end whole.

    Neither can end before the instance has begun to stop.
    """
    each = world()
    program_id, owner = each.owned_program()
    other_id = program_of(each, owner)
    for engine in ("engine-1", "engine-2", "engine-3"):
        each.fleet.inject(engine, slow=100.0)
    each.fleet.inject("tool-1", hold=True)
    streamed, called = mark(), mark()
    beside = each.others(owner)[0]
    calls = [
        Background(lambda: each.client(owner).chat(program_id, 1, streamed, max_tokens=30)),
        Background(lambda: each.client(beside).tool(other_id, 1, REGISTER, {"m": called})),
    ]
    wait_until(lambda: each.runs(streamed) and each.runs(called), "both calls upstream")
    stopping = Background(lambda: each.fleet.stop_instance(owner))
    operator = each.fleet.instances_by_id[owner].operator
    wait_until(lambda: not is_ready(operator, "/readyz"), "the instance stopping")
    assert not any(made.is_over() for made in [stopping, *calls])
    for upstream in ("engine-1", "engine-2", "engine-3", "tool-1"):
        each.fleet.inject(upstream)
    assert stopping.result() == 0
    stream, tool = (made.result() for made in calls)
    assert stream.is_whole()
    assert tool.status == 200, tool.body
    assert each.runs(called) == 1


load_tests = load_functions(globals())
