"""Generates the programs of two workloads: chains of model calls with tool pauses between them."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

ACCOUNT_SHARES = (0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02)


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnPlan:
    """A model call: the tokens added to the prompt, the tokens generated and the pause after it."""

    new_tokens: int
    completion_tokens: int
    pause_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramPlan:
    """All turns of a program; the scheduler sees only one turn at a time."""

    program_id: str
    account: int
    kind: str
    arrives_s: float
    turns: tuple[TurnPlan, ...]

    def ideal_latency_s(self, *, prefill_tokens_per_s: float, decode_tokens_per_s: float) -> float:
        """Return the program's latency on an idle engine that caches the whole prefix."""
        total_s = 0.0
        for turn in self.turns:
            total_s += turn.new_tokens / prefill_tokens_per_s
            total_s += turn.completion_tokens / decode_tokens_per_s + turn.pause_s
        return total_s - self.turns[-1].pause_s


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """A mix of kinds of programs that arrive for `span_s` seconds."""

    name: str
    span_s: float
    shares_by_kind: dict[str, float]
    make_by_kind: dict[str, Callable[[random.Random], tuple[TurnPlan, ...]]]


def _pause(rng: random.Random, median_s: float) -> float:
    return min(60.0, rng.lognormvariate(0.0, 0.7) * median_s)


def _turns(
    rng: random.Random,
    count: int,
    first_tokens: tuple[int, int],
    new_tokens: tuple[int, int],
    completion_tokens: tuple[int, int],
    pause_s: float,
) -> tuple[TurnPlan, ...]:
    return tuple(
        TurnPlan(
            new_tokens=rng.randint(*(new_tokens if number else first_tokens)),
            completion_tokens=rng.randint(*completion_tokens),
            pause_s=_pause(rng, pause_s),
        )
        for number in range(count)
    )


def _field_query(rng: random.Random) -> tuple[TurnPlan, ...]:
    return _turns(rng, rng.randint(1, 3), (400, 1500), (100, 400), (60, 200), 1.0)


def _conversion(rng: random.Random) -> tuple[TurnPlan, ...]:
    return _turns(rng, rng.randint(10, 40), (8000, 20000), (400, 1500), (150, 400), 4.0)


def _draft(rng: random.Random) -> tuple[TurnPlan, ...]:
    return _turns(rng, rng.randint(1, 2), (600, 1500), (100, 300), (100, 250), 1.0)


def _backlog(rng: random.Random) -> tuple[TurnPlan, ...]:
    return _turns(rng, rng.randint(40, 200), (2000, 6000), (200, 500), (80, 200), 1.5)


WORKLOADS_BY_NAME = {
    "brunner": Workload(
        name="brunner",
        span_s=1800.0,
        shares_by_kind={"field-query": 0.88, "conversion": 0.12},
        make_by_kind={"field-query": _field_query, "conversion": _conversion},
    ),
    "corrib": Workload(
        name="corrib",
        span_s=1800.0,
        shares_by_kind={"draft": 0.94, "backlog": 0.06},
        make_by_kind={"draft": _draft, "backlog": _backlog},
    ),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Surge:
    """An interval in which arrivals are multiplied, for one account or for all (-1)."""

    factor: float
    from_s: float
    to_s: float
    account: int = -1

    def factor_at(self, when_s: float, account: int) -> float:
        """Return the arrival factor of an account at a time."""
        applies = self.from_s <= when_s < self.to_s and self.account in (-1, account)
        return self.factor if applies else 1.0


def make_programs(
    workload: Workload, *, programs_per_s: float, seed: int, surge: Surge | None = None
) -> Iterator[ProgramPlan]:
    """Yield the programs of a run by account, in the order of arrival.

    Arrivals are a Poisson process. With a surge they are drawn at its rate, and the excess outside
    the surge is dropped.
    """
    for account, share in enumerate(ACCOUNT_SHARES):
        rng = random.Random(f"{seed}/{account}")
        peak = surge.factor if surge is not None else 1.0
        when_s, number = 0.0, 0
        while True:
            when_s += rng.expovariate(programs_per_s * share * max(1.0, peak))
            if when_s >= workload.span_s:
                break
            factor = surge.factor_at(when_s, account) if surge is not None else 1.0
            if rng.random() * max(1.0, peak) >= factor:
                continue
            kinds = list(workload.shares_by_kind)
            kind = rng.choices(kinds, list(workload.shares_by_kind.values()))[0]
            number += 1
            yield ProgramPlan(
                program_id=f"{account}-{number}",
                account=account,
                kind=kind,
                arrives_s=when_s,
                turns=workload.make_by_kind[kind](rng),
            )
