"""Tests that a non-idempotent call runs at most once if its owner is killed or suspended.

The intent of a call is the journal entry by which its owner records that it will send the call.
"""

from dataclasses import dataclass

from standins._process import Process
from standins.client import Reply
from standins.fleet import wait_until
from tests._suite import load_functions
from tests.failure._probes import is_in_journal, running_calls, store_hits
from tests.failure._world import REGISTER, Background, Environment, new_marker, retry, world

MIN_WRITE_ATTEMPTS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class _Scenario:
    """A non-idempotent call, the first turn of a program, and the program's owner."""

    env: Environment
    marker: str
    program_id: str
    owner: str

    @classmethod
    def prepare(cls) -> "_Scenario":
        """Return a scenario in the shared environment, with nothing sent yet."""
        env = world()
        program_id, owner = env.create_program()
        return cls(env=env, marker=new_marker(), program_id=program_id, owner=owner)

    @property
    def owner_process(self) -> Process:
        """Return the owner's process."""
        return self.env.fleet.instances_by_id[self.owner].process

    def runs(self) -> int:
        """Return how often the call reached the tool."""
        return self.env.runs(self.marker)

    def state_at_tool(self) -> str:
        """Return the state of the call in the tool's log."""
        return self.env.seen("tool-1", self.marker)[0]["state"]

    def send(self, *instance_ids: str) -> Reply:
        """Send the call until the reply is final; a second `send` repeats the same call."""
        client = self.env.client(*instance_ids)
        body = {"m": self.marker}
        return retry(lambda: client.tool(self.program_id, 1, REGISTER, body, key=self.marker))

    def start(self) -> Background:
        """Send the call in the background, to an instance other than the owner."""
        other_instance = self.env.others(self.owner)[0]
        return Background(lambda: self.send(other_instance))

    def start_and_wait_at_tool(self, **fault: object) -> Background:
        """Inject a fault into the tool, send the call and wait until it has reached the tool."""
        self.env.fleet.inject("tool-1", **fault)
        first = self.start()
        wait_until(lambda: self.runs() == 1, "the call at the tool")
        return first

    def start_while_intent_fails(self, writes: int, **fault: object) -> Background:
        """Send the call while all writes of its intent fail; wait for that many writes."""
        self.env.fleet.inject_store(operations=["txn"], value_contains=self.marker, **fault)
        first = self.start()
        wait_until(lambda: store_hits(self.env) >= writes, "failed writes of the intent")
        return first

    def start_with_intent_stored(self) -> Background:
        """Send the call; its intent is stored, but the store withholds its answer to the owner."""
        self.env.fleet.inject_store(hold_answer=1.0, key_contains="/journal/", armed_by=self.marker)
        first = self.start()
        wait_until(lambda: is_in_journal(self.env, self.marker), "the intent in the journal")
        return first

    def repeat_after_takeover(self) -> str:
        """Wait for another owner and repeat the call there.

        Return "yes" if the reply is an answer, otherwise its `ran` and `kind`.
        """
        self.env.wait_taken_over(self.program_id, self.owner)
        reply = self.send(*self.env.others(self.owner))
        return "yes" if reply.status == 200 else f"{reply.json()['ran']} {reply.json()['kind']}"

    def wait_until_idle(self) -> None:
        """Wait until the resumed former owner is ready and executes no call."""
        self.env.fleet.wait_ready(self.owner)
        wait_until(
            lambda: running_calls(self.env, self.owner) == 0, f"no call under way at {self.owner}"
        )


def test_owner_killed_before_intent() -> None:
    """Nothing is sent while the intent can't be stored, so the repeated call runs once."""
    scenario = _Scenario.prepare()
    first = scenario.start_while_intent_fails(MIN_WRITE_ATTEMPTS, refuse=1.0)
    assert scenario.runs() == 0
    scenario.owner_process.kill()
    scenario.env.fleet.inject_store()
    outcome = scenario.repeat_after_takeover()
    assert outcome == "yes", outcome
    assert _admits_run(first)
    assert scenario.runs() == 1


def test_owner_killed_between_intent_and_send() -> None:
    """A call with a recovered intent may have been sent: it is unknown and never runs again."""
    scenario = _Scenario.prepare()
    first = scenario.start_with_intent_stored()
    assert scenario.runs() == 0
    scenario.owner_process.kill()
    scenario.env.fleet.inject_store()
    outcome = scenario.repeat_after_takeover()
    assert outcome == "unknown outcome-unknown", outcome
    assert first.result().json()["ran"] == "unknown"
    assert scenario.runs() == 0


def test_owner_killed_after_send() -> None:
    """The owner dies while the tool runs the call: it is reported as unknown, never run again."""
    scenario = _Scenario.prepare()
    first = scenario.start_and_wait_at_tool(hang=True)
    scenario.owner_process.kill()
    scenario.env.fleet.inject("tool-1")
    outcome = scenario.repeat_after_takeover()
    assert outcome == "unknown outcome-unknown", outcome
    assert first.result().json()["ran"] == "unknown"
    assert scenario.runs() == 1


def test_owner_killed_between_answer_and_outcome() -> None:
    """The tool's answer was not recorded: the call is reported as unknown, never run again."""
    scenario = _Scenario.prepare()
    first = scenario.start_and_wait_at_tool(hold=True)
    scenario.env.fleet.inject_store(refuse=1.0, operations=["txn"], key_contains="journal")
    scenario.env.fleet.inject("tool-1")
    wait_until(lambda: scenario.state_at_tool() == "answered", "the tool's answer")
    scenario.owner_process.kill()
    scenario.env.fleet.inject_store()
    outcome = scenario.repeat_after_takeover()
    assert outcome == "unknown outcome-unknown", outcome
    assert first.result().json()["ran"] == "unknown"
    assert scenario.runs() == 1


def test_owner_killed_after_outcome() -> None:
    """A caller that repeats the call gets the recorded answer, without another run."""
    scenario = _Scenario.prepare()
    first = scenario.start().result()
    assert first.status == 200
    scenario.owner_process.kill()
    scenario.env.wait_taken_over(scenario.program_id, scenario.owner)
    repeated = scenario.send(*scenario.env.others(scenario.owner))
    assert repeated.json() == first.json()
    assert scenario.runs() == 1


def test_owner_suspended_past_its_lease() -> None:
    """The owner resumes after the takeover: the call has run once, and no reply denies it."""
    scenario = _Scenario.prepare()
    first = scenario.start_and_wait_at_tool(hang=True)
    scenario.owner_process.freeze()
    scenario.env.fleet.inject("tool-1")
    outcome = scenario.repeat_after_takeover()
    assert outcome == "unknown outcome-unknown", outcome
    scenario.owner_process.thaw()
    assert first.result().json()["ran"] == "unknown"
    scenario.env.fleet.wait_ready(scenario.owner)
    late_reply = scenario.send(scenario.owner)
    assert late_reply.json()["kind"] == "outcome-unknown", late_reply.body
    assert scenario.runs() == 1


def test_owner_suspended_before_it_sends() -> None:
    """The owner is suspended while it writes the intent and resumes without ownership.

    The repeated call runs once at the new owner; the former owner sends nothing.
    """
    scenario = _Scenario.prepare()
    first = scenario.start_while_intent_fails(1, silent=1.0)
    scenario.owner_process.freeze()
    scenario.env.fleet.inject_store()
    outcome = scenario.repeat_after_takeover()
    assert outcome == "yes", outcome
    scenario.owner_process.thaw()
    assert _admits_run(first)
    scenario.wait_until_idle()
    assert scenario.runs() == 1


def test_owner_suspended_between_intent_and_send() -> None:
    """The owner resumes with a durable intent but without ownership: it sends nothing."""
    scenario = _Scenario.prepare()
    first = scenario.start_with_intent_stored()
    scenario.owner_process.freeze()
    scenario.env.fleet.inject_store()
    outcome = scenario.repeat_after_takeover()
    assert outcome == "unknown outcome-unknown", outcome
    scenario.owner_process.thaw()
    assert first.result().json()["ran"] == "unknown"
    scenario.wait_until_idle()
    assert scenario.runs() == 0


def _admits_run(request: Background) -> bool:
    """Return whether the reply to a call that has run doesn't claim that it has not run."""
    reply = request.result()
    return reply.status == 200 or reply.json()["ran"] != "no"


load_tests = load_functions(globals())
