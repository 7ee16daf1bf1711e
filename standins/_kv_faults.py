"""Faults of the key-value stand-in, set by `POST /_faults`.

    {"outage": "refuse"}                       every call gets 503 before it has any effect
    {"outage": "silent"}                       no call gets an answer or has an effect
    {"delay_s": 0.5}                           every call takes half a second longer
    {"delay_s": 0.5, "operations": ["txn"], "key_contains": "config/"}   only these do
    {"drop_answer": 0.3, "seed": 7}            3 of 10 calls take effect but get no answer
    {"refuse": 1.0, "operations": ["txn"], "remaining": 2}   the next two transactions get 503
    {"hold_answer": 1.0}                       answers wait until the next plan; calls have effect
    {"refuse": 1.0, "value_contains": "m-1"}   only calls that write a value with this text get 503
    {"mute_watches": true}                     watches stay open but tell of no change
    {}                                         no faults

An outage also breaks the open watches.
"""

import random
from dataclasses import dataclass
from enum import Enum

import msgspec


class Fate(Enum):
    """What happens to one call."""

    SERVE = "serve"
    REFUSE = "refuse"
    SILENT = "silent"
    DROP_ANSWER = "drop-answer"
    HOLD_ANSWER = "hold-answer"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCall:
    """What the filters of a plan look at in one call."""

    operation: str
    keys: tuple[str, ...] = ()
    values: tuple[bytes, ...] = ()


class FaultPlan(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults in force; the probabilities are per call, `remaining` counts faults left."""

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
    remaining: int = -1
    mute_watches: bool = False


@dataclass(slots=True)
class Faults:
    """Decides the fate of each call by the plan and a seeded generator; `hits` counts faults."""

    plan: FaultPlan
    _random: random.Random
    hits: int = 0

    @classmethod
    def of(cls, plan: FaultPlan) -> "Faults":
        """Return the faults of a plan with a generator from its seed."""
        return cls(plan, random.Random(plan.seed))

    def decide(self, call: StoreCall) -> Fate:
        """Return the fate of one call."""
        fate = self._fate(call)
        self.hits += fate is not Fate.SERVE
        return fate

    def _fate(self, call: StoreCall) -> Fate:
        plan = self.plan
        if plan.outage:
            return Fate.REFUSE if plan.outage == "refuse" else Fate.SILENT
        if not self._is_meant(call) or plan.remaining == 0:
            return Fate.SERVE
        fate = self._draw()
        if fate is not Fate.SERVE and plan.remaining > 0:
            plan.remaining -= 1
        return fate

    def delay_s(self, call: StoreCall) -> float:
        """Return how much longer one call takes, in seconds."""
        return self.plan.delay_s if self._is_meant(call) else 0.0

    def _is_meant(self, call: StoreCall) -> bool:
        """Tell whether the plan's filters let the faults apply to a call."""
        plan = self.plan
        if plan.operations and call.operation not in plan.operations:
            return False
        if plan.value_contains and not _holds(plan.value_contains, call.values):
            return False
        return any(plan.key_contains in key for key in call.keys) or not plan.key_contains

    def _draw(self) -> Fate:
        number = self._random.random()
        for share, fate in (
            (self.plan.refuse, Fate.REFUSE),
            (self.plan.drop_answer, Fate.DROP_ANSWER),
            (self.plan.silent, Fate.SILENT),
            (self.plan.hold_answer, Fate.HOLD_ANSWER),
        ):
            if number < share:
                return fate
            number -= share
        return Fate.SERVE


def _holds(text: str, values: tuple[bytes, ...]) -> bool:
    return any(text.encode() in value for value in values)
