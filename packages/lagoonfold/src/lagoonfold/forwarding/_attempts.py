"""Decides what may follow a failed attempt of a forwarded request.

A request that may run only once is attempted again only while it is certain that no upstream has
begun it; a status that promises "not run" is returned only then. A request that may be repeated
may run at no more than `max_upstreams` upstreams; upstreams that did not run it do not count. The
upstream that lost an answer may receive the request again.
"""

from dataclasses import dataclass, field
from enum import Enum

MAX_LOST_ANSWERS = 2  # per request; a third loss points to the request or the network path


class AttemptOutcome(Enum):
    """How an attempt ended.

    `FULL`: the upstream refused the request without running it, or this instance has no connection
    left for it. `MISDIRECTED`: another replica has the address. `UNREACHED`: nothing was sent.
    `LOST`: the request may have run, but its answer did not arrive whole or was not valid.
    """

    ANSWERED = "answered"
    FULL = "full"
    MISDIRECTED = "misdirected"
    UNREACHED = "unreached"
    LOST = "lost"

    @property
    def is_not_run(self) -> bool:
        """Return whether the upstream certainly has not begun the request."""
        return self in (AttemptOutcome.FULL, AttemptOutcome.MISDIRECTED, AttemptOutcome.UNREACHED)


class RetryDecision(Enum):
    """What may follow a failed attempt.

    `ANY_UPSTREAM` allows another attempt at any upstream, `FAIL` allows none. `SAME_OR_GONE` is
    returned in place of `ANY_UPSTREAM` once the request may have run at `max_upstreams` upstreams.
    """

    ANY_UPSTREAM = "elsewhere"
    SAME_OR_GONE = "same-or-gone"
    FAIL = "fail"


@dataclass(slots=True, kw_only=True)
class AttemptHistory:
    """The attempts of one request: where it may have run and how many answers were lost."""

    may_repeat: bool
    max_upstreams: int
    may_have_run: set[str] = field(default_factory=set)
    losses: int = 0

    @property
    def has_not_run(self) -> bool:
        """Return whether no upstream can have begun the request; one in flight counts as begun."""
        return not self.may_have_run

    def record_sent(self, upstream_id: str) -> None:
        """Record that an upstream may have run the request; call this before sending any byte."""
        self.may_have_run.add(upstream_id)

    def record_outcome(
        self, upstream_id: str, outcome: AttemptOutcome, *, may_have_run_before: bool
    ) -> RetryDecision:
        """Record how an attempt ended and return what may follow.

        `may_have_run_before` states that an earlier attempt may have run at the same upstream.
        """
        if outcome.is_not_run:
            if not may_have_run_before:
                self.may_have_run.discard(upstream_id)
            return self._next_decision()
        self.losses += 1
        if not self.may_repeat or self.losses > MAX_LOST_ANSWERS:
            return RetryDecision.FAIL
        return self._next_decision()

    def _next_decision(self) -> RetryDecision:
        """Return the decision for a request that may be attempted again."""
        has_reached_limit = len(self.may_have_run) >= self.max_upstreams
        return RetryDecision.SAME_OR_GONE if has_reached_limit else RetryDecision.ANY_UPSTREAM
