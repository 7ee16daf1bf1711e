"""Which programs an account's rate is committed to, at the account's owner.

The load that this answers: an account whose programs need more than its rate, because its limit was
lowered or it sends many times its usual. A program is taken in while what it needs and what the
committed ones need in its time fit into a share of the tokens that there will be. The others are
served from what is left.
"""

from dataclasses import dataclass

from lagoonfold.rates._messages import ProgramNeed, RateLimit

COMMITTED_SHARE = 0.75  # of the tokens to come; programs run faster than their objective asks
RESERVE_S = 0.25  # what committed programs need for so long is kept from others: a loan's life
MAX_RESERVE = 0.3  # share of the burst that may be kept
MAX_COMMITMENT_S = 60.0  # several times the usual program; an absurd objective holds no more
FULL_LEVEL = 0.9  # share of the burst at which the committed programs leave tokens unused


@dataclass(frozen=True, slots=True)
class _Commitment:
    calls: float
    from_s: float
    until_s: float

    def calls_within(self, span_s: float, now_s: float) -> float:
        """Return the calls of the next seconds, taken as spread evenly over the program's time."""
        left_s = max(0.0, self.until_s - now_s)
        return self.calls * min(span_s, left_s) / (self.until_s - self.from_s)


class Commitments:
    """The programs of one account that are to be done in time."""

    def __init__(self) -> None:
        self._commitment_by_program: dict[str, _Commitment] = {}

    def try_commit(
        self, need: ProgramNeed, limit: RateLimit, *, level: float, now_s: float
    ) -> bool:
        """Tell whether rate is committed to a program, and commit it where there is enough.

        `level` is how many tokens could be lent now.
        """
        self._drop_ended(now_s)
        if need.program in self._commitment_by_program:
            return True
        if need.time_left_s <= 0:
            return False
        to_come = COMMITTED_SHARE * (level + limit.rate_per_s * need.time_left_s)
        committed = self.calls_within(need.time_left_s, now_s=now_s)
        is_full = level >= FULL_LEVEL * limit.burst
        if committed + (0.0 if is_full else need.calls_left) > to_come:
            return False
        span_s = min(need.time_left_s, MAX_COMMITMENT_S)
        calls = need.calls_left * span_s / need.time_left_s
        self._commitment_by_program[need.program] = _Commitment(calls, now_s, now_s + span_s)
        return True

    def calls_within(self, span_s: float, *, now_s: float) -> float:
        """Return the calls that the committed programs are expected to make in that time."""
        held_by_program = self._commitment_by_program
        return sum(held.calls_within(span_s, now_s) for held in held_by_program.values())

    def reserved(self, limit: RateLimit, *, now_s: float) -> float:
        """Return the tokens to keep from programs that no rate is committed to."""
        expected = self.calls_within(RESERVE_S, now_s=now_s)
        return min(expected, MAX_RESERVE * max(0.0, limit.burst - 1))

    def _drop_ended(self, now_s: float) -> None:
        for program, held in tuple(self._commitment_by_program.items()):
            if now_s >= held.until_s:
                del self._commitment_by_program[program]
