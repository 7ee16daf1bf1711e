"""What may be done after a try of a forwarded request has failed.

A request that may run only once is sent on only while it is certain that no upstream has begun
it; a status that promises "not run" is given only then. A request that may be repeated goes to at
most `max_upstreams` upstreams that ran it; upstreams that did not run it do not count, and a lost
answer may be asked for again at the upstream that lost it.
"""

from dataclasses import dataclass, field
from enum import Enum

MAX_REPEATS_OF_LOST = 2  # per request; a third loss in a row is a fault of the request or the path


class AttemptOutcome(Enum):
    """How a try ended."""

    ANSWERED = "answered"
    FULL = "full"
    MISDIRECTED = "misdirected"
    UNREACHED = "unreached"
    LOST = "lost"

    @property
    def is_not_run(self) -> bool:
        """Tell whether the upstream certainly has not begun the request."""
        return self in (AttemptOutcome.FULL, AttemptOutcome.MISDIRECTED, AttemptOutcome.UNREACHED)


class RetryDecision(Enum):
    """What follows a failed try."""

    ANY_UPSTREAM = "elsewhere"
    SAME_OR_GONE = "same-or-gone"
    FAIL = "fail"


@dataclass(slots=True, kw_only=True)
class AttemptHistory:
    """The tries of one request: where it may have run, and how often an answer was lost."""

    may_repeat: bool
    max_upstreams: int
    may_have_run: set[str] = field(default_factory=set)
    losses: int = 0

    @property
    def has_not_run(self) -> bool:
        """Tell whether no upstream can have begun the request; a try under way counts as begun."""
        return not self.may_have_run

    def record_sent(self, upstream_id: str) -> None:
        """Count the request as possibly run, from before its first byte leaves."""
        self.may_have_run.add(upstream_id)

    def record_outcome(
        self, upstream_id: str, outcome: AttemptOutcome, *, may_have_run_before: bool
    ) -> RetryDecision:
        """Take in the end of a try and return what may follow.

        `may_have_run_before` says that an earlier try may have run at the same upstream.
        """
        if outcome.is_not_run:
            if not may_have_run_before:
                self.may_have_run.discard(upstream_id)
            return self._where_next()
        self.losses += 1
        if not self.may_repeat or self.losses > MAX_REPEATS_OF_LOST:
            return RetryDecision.FAIL
        return self._where_next()

    def _where_next(self) -> RetryDecision:
        """Return whether another upstream may get the request, or only those that had it."""
        is_used_up = len(self.may_have_run) >= self.max_upstreams
        return RetryDecision.SAME_OR_GONE if is_used_up else RetryDecision.ANY_UPSTREAM
