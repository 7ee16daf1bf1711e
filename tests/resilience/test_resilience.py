"""Retries, breakers, poison and progress."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from lagoonfold import Ran, UpstreamId
from lagoonfold.resilience import (
    MAX_DISCONNECTS_PER_DIGEST,
    MAX_INCIDENTS_PER_DIGEST,
    BreakerState,
    CircuitBreaker,
    FailedAttempt,
    PoisonNotice,
    PoisonRegistry,
    ProgressDeadline,
    RetryBudget,
    RetryStop,
    backoff_s,
    decide_retry,
)
from tests._suite import load_functions

_UPSTREAMS = tuple(UpstreamId(f"e-{number}") for number in range(5))


def _decide(failed: FailedAttempt, budget: RetryBudget | None = None) -> Result:
    budget = budget or RetryBudget()
    return decide_retry(
        failed,
        account_budget=budget,
        upstream_budget=RetryBudget(),
        rng=random.Random(1),
        now_s=0.0,
    )


def _failed(**changes: object) -> FailedAttempt:
    values = {"attempt": 1, "ran": Ran.UNKNOWN, "is_idempotent": True, "deadline_s": 10.0}
    return FailedAttempt(**{**values, **changes})


def test_non_idempotent_is_retried_only_if_it_did_not_run() -> None:
    """A call that may have run is never made again unless it is idempotent."""
    assert _decide(_failed(is_idempotent=False)) == Err(RetryStop.NOT_IDEMPOTENT)
    assert isinstance(_decide(_failed(is_idempotent=False, ran=Ran.NO)), Ok)


def test_no_retry_past_the_deadline_or_for_poison() -> None:
    """Deadline, attempts and poison end the retries."""
    assert _decide(_failed(deadline_s=0.0)) == Err(RetryStop.DEADLINE)
    assert _decide(_failed(attempt=4)) == Err(RetryStop.ATTEMPTS)
    assert _decide(_failed(is_poisonous=True)) == Err(RetryStop.POISONOUS)


def test_retries_are_a_share_of_first_tries() -> None:
    """When all tries fail, retries add a tenth of the load beyond the saved-up tokens."""
    budget = RetryBudget(share=0.1, max_tokens=10.0)
    retries = 0
    for _ in range(1000):
        budget.credit_first_attempt()
        retries += isinstance(_decide(_failed(), budget), Ok)
    assert retries <= 0.1 * 1000 + 10


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 50), st.integers(0, 1000))
def test_jitter_is_bounded(attempt: int, seed: int) -> None:
    """A delay lies between zero and the capped exponential bound."""
    bound_s = min(2.0, 0.05 * 2 ** (attempt - 1))
    assert 0.0 <= backoff_s(attempt, random.Random(seed)) <= bound_s


def test_breaker_opens_probes_and_closes() -> None:
    """Three failures open it; one probe passes after the pause, and its success closes it."""
    breaker = CircuitBreaker()
    for _ in range(3):
        breaker.record_failure(now_s=0.0)
    assert breaker.state(now_s=1.0) is BreakerState.OPEN
    assert breaker.state(now_s=2.0) is BreakerState.HALF_OPEN
    breaker.record_sent(now_s=2.0)
    assert not breaker.allows(now_s=2.0)
    breaker.record_failure(now_s=2.1)
    assert breaker.state(now_s=5.0) is BreakerState.OPEN
    breaker.record_sent(now_s=6.2)
    breaker.record_success()
    assert breaker.state(now_s=6.3) is BreakerState.CLOSED


def test_breaker_opens_on_scattered_failures() -> None:
    """An upstream that fails every third call never fails thrice in a row but is put aside."""
    breaker = CircuitBreaker()
    for number in range(20):
        if number % 3 == 0:
            breaker.record_failure(now_s=0.0)
        else:
            breaker.record_success()
        if not breaker.allows(now_s=0.0):
            break
    assert breaker.state(now_s=0.0) is BreakerState.OPEN


def test_late_failures_do_not_prolong_an_open_breaker() -> None:
    """Calls sent before it opened, which fail later, don't put the probe off."""
    breaker = CircuitBreaker()
    for moment in (0.0, 0.0, 0.0, 1.5):
        breaker.record_failure(now_s=moment)
    assert breaker.state(now_s=2.0) is BreakerState.HALF_OPEN


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4)), max_size=60))
def test_a_poisonous_request_takes_down_at_most_two(trace: list[tuple[bool, int]]) -> None:
    """Any number of copies, started and crashed in any order, take down two at most."""
    registry = PoisonRegistry()
    running: set[UpstreamId] = set()
    down = 0
    for moment, (starts, index) in enumerate(trace):
        upstream_id = _UPSTREAMS[index]
        allowed = registry.allowed_upstreams("d", _UPSTREAMS, now_s=moment)
        if starts and upstream_id in allowed:
            registry.record_started("d", upstream_id)
            running.add(upstream_id)
        elif not starts and upstream_id in running:
            running.discard(upstream_id)
            down += 1
            _crash(registry, "d", upstream_id, f"{upstream_id}@{moment}", now_s=moment)
    assert down <= MAX_INCIDENTS_PER_DIGEST


def _crash(
    registry: PoisonRegistry,
    digest: str,
    upstream_id: UpstreamId,
    incident: str,
    *,
    now_s: float,
    seen: bool = True,
) -> None:
    while upstream_id in registry._record(digest).running_by_upstream:
        registry.record_ended(digest, upstream_id, now_s=now_s, is_finished=False)
    notice = PoisonNotice(
        digest=digest, upstream_id=upstream_id, incident_id=incident, is_confirmed=seen
    )
    registry.add_notice(notice, now_s=now_s)


def test_innocent_request_is_told_from_the_poisonous() -> None:
    """Two requests blamed for one incident are not sent to one upstream again."""
    registry = PoisonRegistry()
    for digest in ("poisonous", "innocent"):
        registry.record_started(digest, _UPSTREAMS[0])
        _crash(registry, digest, _UPSTREAMS[0], "incident-1", now_s=0.0)
    registry.record_started("poisonous", _UPSTREAMS[1])
    assert _UPSTREAMS[1] not in registry.allowed_upstreams("innocent", _UPSTREAMS, now_s=1.0)


def test_notices_from_peers_count_once() -> None:
    """A repeated notice is no news; two incidents make a digest poisonous on a peer."""
    registry = PoisonRegistry()
    first = PoisonNotice(digest="d", upstream_id="e-0", incident_id="a")
    second = PoisonNotice(digest="d", upstream_id="e-0", incident_id="b")
    assert registry.add_notice(first, now_s=0.0)
    assert not registry.add_notice(first, now_s=0.0)
    assert not registry.is_poisonous("d", now_s=0.0)
    registry.add_notice(second, now_s=0.0)
    assert registry.is_poisonous("d", now_s=0.0)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 4)), min_size=60, max_size=90))
def test_breaks_are_bounded_apart(trace: list[tuple[int, int]]) -> None:
    """Of crashes that a probe sees or, mostly, does not: two are seen at most, few more not."""
    registry = PoisonRegistry()
    running: set[UpstreamId] = set()
    ended = Counter()
    for moment, (chance, index) in enumerate(trace):
        upstream_id = _UPSTREAMS[index]
        if upstream_id in running:
            running.discard(upstream_id)
            ended[chance == 0] += 1
            incident = f"{upstream_id}@{moment}"
            _crash(registry, "d", upstream_id, incident, now_s=moment, seen=chance == 0)
        elif upstream_id in registry.allowed_upstreams("d", _UPSTREAMS, now_s=moment):
            registry.record_started("d", upstream_id)
            running.add(upstream_id)
    assert ended[True] <= MAX_INCIDENTS_PER_DIGEST
    assert ended[False] < MAX_DISCONNECTS_PER_DIGEST + MAX_INCIDENTS_PER_DIGEST


def test_breaks_make_no_suspect_and_a_finished_run_clears_them() -> None:
    """Upstreams that live blame nobody; breaks count from the last run to the end."""
    registry = PoisonRegistry()
    for number in range(MAX_DISCONNECTS_PER_DIGEST):
        assert not registry.is_poisonous("d", now_s=1.0)
        registry.record_started("d", _UPSTREAMS[0])
        _crash(registry, "d", _UPSTREAMS[0], f"break-{number}", now_s=1.0, seen=False)
    assert registry.is_poisonous("d", now_s=1.0)
    registry.record_ended("d", _UPSTREAMS[0], now_s=2.0, is_finished=True)
    assert registry.allowed_upstreams("d", _UPSTREAMS, now_s=3.0) == frozenset(_UPSTREAMS)


def test_confirmed_notice_outweighs_the_break_of_its_incident() -> None:
    """Of two notices of one incident, in either order, the confirmed one counts."""
    for order in ((False, True), (True, False)):
        registry = PoisonRegistry()
        for number in range(MAX_INCIDENTS_PER_DIGEST):
            for seen in order:
                _crash(registry, "d", _UPSTREAMS[number], f"i-{number}", now_s=0.0, seen=seen)
        assert registry.is_poisonous("d", now_s=0.0)


def test_proven_request_spreads_over_all_upstreams() -> None:
    """A request that has run to its end may run on all upstreams at once."""
    registry = PoisonRegistry()
    registry.record_started("d", _UPSTREAMS[0])
    registry.record_ended("d", _UPSTREAMS[0], now_s=0.0, is_finished=True)
    for upstream_id in _UPSTREAMS[:3]:
        registry.record_started("d", upstream_id)
    assert registry.allowed_upstreams("d", _UPSTREAMS, now_s=1.0) == frozenset(_UPSTREAMS)


def test_silence_ends_before_the_deadline() -> None:
    """Progress moves the moment of giving up, never past the call's deadline."""
    deadline = ProgressDeadline(
        now_s=0.0, deadline_s=10.0, first_byte_s=4.0, progress_timeout_s=2.0
    )
    assert deadline.is_progress_timeout(now_s=4.0)
    deadline.note_progress(now_s=3.0)
    assert not deadline.is_over(now_s=4.5)
    deadline.note_progress(now_s=9.5)
    assert deadline.is_over(now_s=10.0)
    assert not deadline.is_progress_timeout(now_s=10.0)


load_tests = load_functions(globals())
