"""Faults of the key-value stand-in, set by `POST /_faults`.

    {"outage": "refuse"}                       every call gets 503 and has no effect
    {"outage": "silent"}                       no call gets an answer or has an effect
    {"delay_s": 0.5}                           every call takes half a second longer
    {"delay_s": 0.5, "operations": ["txn"], "key_contains": "config/"}   only these calls do
    {"drop_answer": 0.3, "seed": 7}            3 of 10 calls take effect but get no answer
    {"refuse": 1.0, "operations": ["txn"], "remaining": 2}   the next two transactions get 503
    {"hold_answer": 1.0}                       calls take effect, answers wait for the next plan
    {"refuse": 1.0, "value_contains": "m-1"}   only calls that write a value with this text get 503
    {"hold_answer": 1.0, "armed_by": "m-1"}   no faults before a call writes a value with this text
    {"mute_watches": true}                     watches stay open but report no change
    {}                                         no faults

An outage also breaks the open watches.
"""

import random
from dataclasses import dataclass
from enum import Enum

import msgspec


class Outcome(Enum):
    """What happens to one call, a fault or none."""

    SERVE = "serve"
    REFUSE = "refuse"
    SILENT = "silent"
    DROP_ANSWER = "drop-answer"
    HOLD_ANSWER = "hold-answer"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCall:
    """The parts of one call that the filters of a plan match."""

    operation: str
    keys: tuple[str, ...] = ()
    values: tuple[bytes, ...] = ()


class FaultPlan(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults in effect.

    `refuse`, `drop_answer`, `silent` and `hold_answer` are probabilities per call. `operations`,
    `key_contains` and `value_contains` select the calls concerned. Calls before the first one that
    writes a value with the text `armed_by` get no fault. `remaining` is the number of faults still
    to be injected, without limit if negative.
    """

    outage: str = ""
    delay_s: float = 0.0
    drop_answer: float = 0.0
    refuse: float = 0.0
    silent: float = 0.0
    hold_answer: float = 0.0
    seed: int = 0
    operations: tuple[str, ...] = ()
    key_contains: str = ""
    value_contains: str = ""
    armed_by: str = ""
    remaining: int = -1
    mute_watches: bool = False


@dataclass(slots=True)
class Faults:
    """Decides by a plan and a seeded generator which fault each call gets; `hits` counts faults."""

    plan: FaultPlan
    _random: random.Random
    hits: int = 0

    @classmethod
    def of(cls, plan: FaultPlan) -> "Faults":
        """Return the faults of a plan, with a generator seeded from it."""
        return cls(plan, random.Random(plan.seed))

    def decide(self, call: StoreCall) -> Outcome:
        """Return the fault of one call and count it."""
        outcome = self._choose(call)
        self.hits += outcome is not Outcome.SERVE
        return outcome

    def _choose(self, call: StoreCall) -> Outcome:
        plan = self.plan
        if plan.outage:
            return Outcome.REFUSE if plan.outage == "refuse" else Outcome.SILENT
        if plan.armed_by and not _contains(plan.armed_by, call.values):
            return Outcome.SERVE
        plan.armed_by = ""
        if not self._matches(call) or plan.remaining == 0:
            return Outcome.SERVE
        outcome = self._draw()
        if outcome is not Outcome.SERVE and plan.remaining > 0:
            plan.remaining -= 1
        return outcome

    def delay_s(self, call: StoreCall) -> float:
        """Return the extra delay of one call in seconds."""
        return self.plan.delay_s if self._matches(call) else 0.0

    def _matches(self, call: StoreCall) -> bool:
        """Return whether a call matches the plan's filters."""
        plan = self.plan
        if plan.operations and call.operation not in plan.operations:
            return False
        if plan.value_contains and not _contains(plan.value_contains, call.values):
            return False
        return any(plan.key_contains in key for key in call.keys) or not plan.key_contains

    def _draw(self) -> Outcome:
        number = self._random.random()
        for probability, outcome in (
            (self.plan.refuse, Outcome.REFUSE),
            (self.plan.drop_answer, Outcome.DROP_ANSWER),
            (self.plan.silent, Outcome.SILENT),
            (self.plan.hold_answer, Outcome.HOLD_ANSWER),
        ):
            if number < probability:
                return outcome
            number -= probability
        return Outcome.SERVE


def _contains(text: str, values: tuple[bytes, ...]) -> bool:
    return any(text.encode() in value for value in values)
