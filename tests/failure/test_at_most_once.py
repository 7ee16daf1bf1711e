"""A non-idempotent call while its owner is killed or suspended at each step."""

from dataclasses import dataclass

from standins._process import Process
from standins.client import Reply
from standins.fleet import wait_until
from tests._suite import load_functions
from tests.failure._probes import calls_under_way, is_stored, store_hits
from tests.failure._world import REGISTER, Background, World, mark, persist, world

MIN_TRIES = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    """A non-idempotent call as the first turn of a program, and the instance that owns it."""

    each: World
    marked: str
    program_id: str
    owner: str

    @classmethod
    def prepare(cls) -> "_Attempt":
        """Return an attempt in the shared world, with nothing sent yet."""
        each = world()
        program_id, owner = each.owned_program()
        return cls(each=each, marked=mark(), program_id=program_id, owner=owner)

    @property
    def owner_process(self) -> Process:
        """Return the owner's process."""
        return self.each.fleet.instances_by_id[self.owner].process

    def runs(self) -> int:
        """Return how often the call reached the tool."""
        return self.each.runs(self.marked)

    def state_at_tool(self) -> str:
        """Return what became of the call at the tool, as the tool's log says."""
        return self.each.seen("tool-1", self.marked)[0]["state"]

    def send(self, *instance_ids: str) -> Reply:
        """Make the call, until it is told something final; a repeat is the same."""
        client = self.each.client(*instance_ids)
        body = {"m": self.marked}
        return persist(lambda: client.tool(self.program_id, 1, REGISTER, body, key=self.marked))

    def start(self) -> Background:
        """Make the call in the background, entering beside its owner."""
        beside = self.each.others(self.owner)[0]
        return Background(lambda: self.send(beside))

    def start_at_tool(self, **fault: object) -> Background:
        """Make the call and wait until it is at the tool, which has a fault."""
        self.each.fleet.inject("tool-1", **fault)
        first = self.start()
        wait_until(lambda: self.runs() == 1, "the call at the tool")
        return first

    def start_without_intent(self, tries: int, **fault: object) -> Background:
        """Make the call while each write of its intent fails, and wait for such writes."""
        self.each.fleet.inject_store(operations=["txn"], value_contains=self.marked, **fault)
        first = self.start()
        wait_until(lambda: store_hits(self.each) >= tries, "the intent tried in vain")
        return first

    def start_with_intent(self) -> Background:
        """Make the call; its intent is stored while the service tells its owner nothing of it."""
        self.each.fleet.inject_store(hold_answer=1.0, key_contains="/journal/")
        first = self.start()
        wait_until(lambda: is_stored(self.each, self.marked), "the intent in the journal")
        return first

    def repeat_after_takeover(self) -> str:
        """Wait for another owner, repeat the call there, and return what it says about the run."""
        self.each.wait_taken_over(self.program_id, self.owner)
        reply = self.send(*self.each.others(self.owner))
        return "yes" if reply.status == 200 else f"{reply.json()['ran']} {reply.json()['kind']}"

    def wait_given_up(self) -> None:
        """Wait until a former owner that goes on is ready and has no call under way."""
        self.each.fleet.wait_ready(self.owner)
        wait_until(
            lambda: calls_under_way(self.each, self.owner) == 0,
            f"no call under way at {self.owner}",
        )


def test_owner_killed_before_intent() -> None:
    """Nothing was sent while the intent was refused, so the repeated call runs, once."""
    attempt = _Attempt.prepare()
    first = attempt.start_without_intent(MIN_TRIES, refuse=1.0)
    assert attempt.runs() == 0
    attempt.owner_process.kill()
    attempt.each.fleet.inject_store()
    told = attempt.repeat_after_takeover()
    assert told == "yes", told
    assert _is_true(first)
    assert attempt.runs() == 1


def test_owner_killed_between_intent_and_send() -> None:
    """A recovered intent may have been sent: its outcome is unknown, and it is never run again."""
    attempt = _Attempt.prepare()
    first = attempt.start_with_intent()
    assert attempt.runs() == 0
    attempt.owner_process.kill()
    attempt.each.fleet.inject_store()
    told = attempt.repeat_after_takeover()
    assert told == "unknown outcome-unknown", told
    assert first.result().json()["ran"] == "unknown"
    assert attempt.runs() == 0


def test_owner_killed_after_send() -> None:
    """The outcome is unknown: it is said so, and the call is never run again."""
    attempt = _Attempt.prepare()
    first = attempt.start_at_tool(hang=True)
    attempt.owner_process.kill()
    attempt.each.fleet.inject("tool-1")
    told = attempt.repeat_after_takeover()
    assert told == "unknown outcome-unknown", told
    assert first.result().json()["ran"] == "unknown"
    assert attempt.runs() == 1


def test_owner_killed_between_answer_and_outcome() -> None:
    """The upstream has answered, but the answer was not recorded: unknown, and not run again."""
    attempt = _Attempt.prepare()
    first = attempt.start_at_tool(hold=True)
    attempt.each.fleet.inject_store(refuse=1.0, operations=["txn"], key_contains="journal")
    attempt.each.fleet.inject("tool-1")
    wait_until(lambda: attempt.state_at_tool() == "answered", "the tool's answer")
    attempt.owner_process.kill()
    attempt.each.fleet.inject_store()
    told = attempt.repeat_after_takeover()
    assert told == "unknown outcome-unknown", told
    assert first.result().json()["ran"] == "unknown"
    assert attempt.runs() == 1


def test_owner_killed_after_outcome() -> None:
    """The recorded answer is given to the caller that repeats, without another run."""
    attempt = _Attempt.prepare()
    first = attempt.start().result()
    assert first.status == 200
    attempt.owner_process.kill()
    attempt.each.wait_taken_over(attempt.program_id, attempt.owner)
    again = attempt.send(*attempt.each.others(attempt.owner))
    assert again.json() == first.json()
    assert attempt.runs() == 1


def test_owner_suspended_past_its_lease() -> None:
    """The suspended owner wakes after the takeover: the call has run once, and nobody says no."""
    attempt = _Attempt.prepare()
    first = attempt.start_at_tool(hang=True)
    attempt.owner_process.freeze()
    attempt.each.fleet.inject("tool-1")
    told = attempt.repeat_after_takeover()
    assert told == "unknown outcome-unknown", told
    attempt.owner_process.thaw()
    assert first.result().json()["ran"] == "unknown"
    attempt.each.fleet.wait_ready(attempt.owner)
    late = attempt.send(attempt.owner)
    assert late.json()["kind"] == "outcome-unknown", late.body
    assert attempt.runs() == 1


def test_owner_suspended_before_it_sends() -> None:
    """The owner sleeps with the intent on its way, and wakes to find that it is not the owner."""
    attempt = _Attempt.prepare()
    first = attempt.start_without_intent(1, silent=1.0)
    attempt.owner_process.freeze()
    attempt.each.fleet.inject_store()
    told = attempt.repeat_after_takeover()
    assert told == "yes", told
    attempt.owner_process.thaw()
    assert _is_true(first)
    attempt.wait_given_up()
    assert attempt.runs() == 1


def test_owner_suspended_between_intent_and_send() -> None:
    """The owner wakes with a durable intent and no right to act: it sends nothing."""
    attempt = _Attempt.prepare()
    first = attempt.start_with_intent()
    attempt.owner_process.freeze()
    attempt.each.fleet.inject_store()
    told = attempt.repeat_after_takeover()
    assert told == "unknown outcome-unknown", told
    attempt.owner_process.thaw()
    assert first.result().json()["ran"] == "unknown"
    attempt.wait_given_up()
    assert attempt.runs() == 0


def _is_true(made: Background) -> bool:
    """Tell whether a call that has run was not told that it has not."""
    reply = made.result()
    return reply.status == 200 or reply.json()["ran"] != "no"


load_tests = load_functions(globals())
