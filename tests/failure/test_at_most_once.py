"""A non-idempotent call while its owner is killed or suspended at each step."""

from standins.fleet import wait_until
from tests._suite import load_functions
from tests.failure._probes import calls_under_way, is_stored, store_hits
from tests.failure._world import REGISTER, Background, World, mark, persist, world

MIN_TRIES = 5


def _call(each: World, program_id: str, owner: str, marked: str) -> Background:
    """Make the program's first call in the background, entering beside its owner."""
    client = each.client(each.others(owner)[0])
    body = {"m": marked}
    return Background(
        lambda: persist(lambda: client.tool(program_id, 1, REGISTER, body, key=marked))
    )


def _keep_intent_out(each: World, marked: str, **fault: object) -> None:
    """Let the key-value service fail each write of the call's intent."""
    each.fleet.inject_store(operations=["txn"], value_contains=marked, **fault)


def _hold_intent(each: World, program_id: str, owner: str, marked: str) -> Background:
    """Make a call whose intent is stored while the service tells its owner nothing of it."""
    each.fleet.inject_store(hold_answer=1.0, key_contains="/journal/")
    first = _call(each, program_id, owner, marked)
    wait_until(lambda: is_stored(each, marked), "the intent in the journal")
    return first


def _repeat_after_takeover(each: World, program_id: str, owner: str, marked: str) -> str:
    """Wait for another owner, repeat the call there, and return what it says about the run."""
    each.wait_taken_over(program_id, owner)
    client = each.client(*each.others(owner))
    reply = persist(lambda: client.tool(program_id, 1, REGISTER, {"m": marked}, key=marked))
    return "yes" if reply.status == 200 else f"{reply.json()['ran']} {reply.json()['kind']}"


def test_owner_killed_before_intent() -> None:
    """Nothing was sent while the intent was refused, so the repeated call runs, once."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    _keep_intent_out(each, marked, refuse=1.0)
    first = _call(each, program_id, owner, marked)
    wait_until(lambda: store_hits(each) >= MIN_TRIES, "the intent tried and refused")
    assert each.runs(marked) == 0
    each.fleet.instances_by_id[owner].process.kill()
    each.fleet.inject_store()
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "yes", told
    assert _is_true(first)
    assert each.runs(marked) == 1


def test_owner_killed_between_intent_and_send() -> None:
    """A recovered intent may have been sent: its outcome is unknown, and it is never run again."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    first = _hold_intent(each, program_id, owner, marked)
    assert each.runs(marked) == 0
    each.fleet.instances_by_id[owner].process.kill()
    each.fleet.inject_store()
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "unknown outcome-unknown", told
    assert first.result().json()["ran"] == "unknown"
    assert each.runs(marked) == 0


def test_owner_killed_after_send() -> None:
    """The outcome is unknown: it is said so, and the call is never run again."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    each.fleet.inject("tool-1", hang=True)
    first = _call(each, program_id, owner, marked)
    wait_until(lambda: each.runs(marked) == 1, "the call at the tool")
    each.fleet.instances_by_id[owner].process.kill()
    each.fleet.inject("tool-1")
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "unknown outcome-unknown", told
    assert first.result().json()["ran"] == "unknown"
    assert each.runs(marked) == 1


def test_owner_killed_between_answer_and_outcome() -> None:
    """The upstream has answered, but the answer was not recorded: unknown, and not run again."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    each.fleet.inject("tool-1", hold=True)
    first = _call(each, program_id, owner, marked)
    wait_until(lambda: each.runs(marked) == 1, "the call at the tool")
    each.fleet.inject_store(refuse=1.0, operations=["txn"], key_contains="journal")
    each.fleet.inject("tool-1")
    wait_until(lambda: each.seen("tool-1", marked)[0]["state"] == "answered", "the tool's answer")
    each.fleet.instances_by_id[owner].process.kill()
    each.fleet.inject_store()
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "unknown outcome-unknown", told
    assert first.result().json()["ran"] == "unknown"
    assert each.runs(marked) == 1


def test_owner_killed_after_outcome() -> None:
    """The recorded answer is given to the caller that repeats, without another run."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    first = _call(each, program_id, owner, marked).result()
    assert first.status == 200
    each.fleet.instances_by_id[owner].process.kill()
    each.wait_taken_over(program_id, owner)
    client = each.client(*each.others(owner))
    again = persist(lambda: client.tool(program_id, 1, REGISTER, {"m": marked}, key=marked))
    assert again.json() == first.json()
    assert each.runs(marked) == 1


def test_owner_suspended_past_its_lease() -> None:
    """The suspended owner wakes after the takeover: the call has run once, and nobody says no."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    each.fleet.inject("tool-1", hang=True)
    first = _call(each, program_id, owner, marked)
    wait_until(lambda: each.runs(marked) == 1, "the call at the tool")
    each.fleet.instances_by_id[owner].process.freeze()
    each.fleet.inject("tool-1")
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "unknown outcome-unknown", told
    each.fleet.instances_by_id[owner].process.thaw()
    assert first.result().json()["ran"] == "unknown"
    each.fleet.wait_ready(owner)
    woken = each.client(owner)
    late = persist(lambda: woken.tool(program_id, 1, REGISTER, {"m": marked}, key=marked))
    assert late.json()["kind"] == "outcome-unknown", late.body
    assert each.runs(marked) == 1


def test_owner_suspended_before_it_sends() -> None:
    """The owner sleeps with the intent on its way, and wakes to find that it is not the owner."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    _keep_intent_out(each, marked, silent=1.0)
    first = _call(each, program_id, owner, marked)
    wait_until(lambda: store_hits(each) > 0, "the intent on its way")
    each.fleet.instances_by_id[owner].process.freeze()
    each.fleet.inject_store()
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "yes", told
    each.fleet.instances_by_id[owner].process.thaw()
    assert _is_true(first)
    _wait_given_up(each, owner)
    assert each.runs(marked) == 1


def test_owner_suspended_between_intent_and_send() -> None:
    """The owner wakes with a durable intent and no right to act: it sends nothing."""
    each = world()
    marked = mark()
    program_id, owner = each.owned_program()
    first = _hold_intent(each, program_id, owner, marked)
    each.fleet.instances_by_id[owner].process.freeze()
    each.fleet.inject_store()
    told = _repeat_after_takeover(each, program_id, owner, marked)
    assert told == "unknown outcome-unknown", told
    each.fleet.instances_by_id[owner].process.thaw()
    assert first.result().json()["ran"] == "unknown"
    _wait_given_up(each, owner)
    assert each.runs(marked) == 0


def _is_true(made: Background) -> bool:
    """Tell whether a call that has run was not told that it has not."""
    reply = made.result()
    return reply.status == 200 or reply.json()["ran"] != "no"


def _wait_given_up(each: World, owner: str) -> None:
    """Wait until a former owner that goes on is ready and has no call under way."""
    each.fleet.wait_ready(owner)
    wait_until(lambda: calls_under_way(each, owner) == 0, f"no call under way at {owner}")


load_tests = load_functions(globals())
