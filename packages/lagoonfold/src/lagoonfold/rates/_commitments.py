"""The programs that an account's rate is committed to, kept by the account's owner.

Commitments matter when an account's programs need more than its rate, because its limit was lowered
or because it sends many times its usual load. Rate is committed to a program if its calls and the
calls that committed programs will make before its soft deadline fit into a share of the tokens
available by then. Other programs are served from the rest.
"""

from dataclasses import dataclass

from lagoonfold.rates._messages import ProgramNeed, RateLimit

COMMITTED_SHARE = 0.85  # of upcoming tokens; programs call faster than their soft deadlines require
RESERVE_SPAN_S = 0.25  # about a turn; the reserve covers committed calls of this time
MAX_RESERVE_SHARE = 0.3  # of the burst
MAX_COMMITMENT_S = 60.0  # several times a usual program; bounds what a far soft deadline can hold
FULL_LEVEL_SHARE = 0.9  # of the most tokens; above it committed programs leave tokens unused


@dataclass(frozen=True, slots=True)
class _Commitment:
    """Calls expected of a program, spread evenly from `start_s` to `end_s`."""

    calls: float
    start_s: float
    end_s: float

    def expected_calls(self, span_s: float, now_s: float) -> float:
        """Return the calls expected in the next `span_s` seconds."""
        left_s = max(0.0, self.end_s - now_s)
        return self.calls * min(span_s, left_s) / (self.end_s - self.start_s)


class Commitments:
    """Record which programs of one account have rate committed to them."""

    def __init__(self) -> None:
        self._commitment_by_program: dict[str, _Commitment] = {}

    def try_commit(
        self,
        need: ProgramNeed,
        limit: RateLimit,
        *,
        level: float,
        now_s: float,
        most: float | None = None,
    ) -> bool:
        """Commit rate to a program if enough is free; return whether it has a commitment.

        `level` is the number of tokens that can be lent now, `most` the largest that it can be (the
        burst if it is not given). While it is near that, the program's own calls are not counted.
        """
        self._drop_ended(now_s)
        if need.program in self._commitment_by_program:
            return True
        if need.time_left_s <= 0:
            return False
        available = COMMITTED_SHARE * (level + limit.rate_per_s * need.time_left_s)
        committed = self.expected_calls(need.time_left_s, now_s=now_s)
        is_full = level >= FULL_LEVEL_SHARE * (limit.burst if most is None else most)
        if committed + (0.0 if is_full else need.calls_left) > available:
            return False
        span_s = min(need.time_left_s, MAX_COMMITMENT_S)
        calls = need.calls_left * span_s / need.time_left_s
        self._commitment_by_program[need.program] = _Commitment(calls, now_s, now_s + span_s)
        return True

    def expected_calls(self, span_s: float, *, now_s: float) -> float:
        """Return the calls that committed programs are expected to make in `span_s` seconds."""
        commitments = self._commitment_by_program
        return sum(commitment.expected_calls(span_s, now_s) for commitment in commitments.values())

    def reserved(self, limit: RateLimit, *, now_s: float) -> float:
        """Return the tokens to withhold from programs without a commitment."""
        expected = self.expected_calls(RESERVE_SPAN_S, now_s=now_s)
        return min(expected, MAX_RESERVE_SHARE * max(0.0, limit.burst - 1))

    def _drop_ended(self, now_s: float) -> None:
        for program, commitment in tuple(self._commitment_by_program.items()):
            if now_s >= commitment.end_s:
                del self._commitment_by_program[program]
