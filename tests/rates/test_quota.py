"""The bound of a quota over windows, through changes of its owner and of its limit."""

from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from lagoonfold.rates import (
    ProgramCall,
    Quota,
    QuotaTerms,
    RateLimit,
    TokenQueue,
    TokenShortage,
)
from tests._suite import load_functions
from tests.rates._agent_load import TURN_DEADLINE_S

LIMIT = RateLimit(rate_per_s=4.0, burst=3)
TERMS = QuotaTerms(window_s=5.0, slack_calls=12)
STEPS = 200
WINDOW_CALLS = 4.0 * 5.0 + 3

PAUSES = st.lists(st.sampled_from([0.0, 0.0, 0.0, 0.01, 0.1, 0.5, 1.0, 6.0]), max_size=120)
DROPS = st.lists(st.booleans(), min_size=120, max_size=120)


def _most_in_a_window(taken_at_s: list[float]) -> int:
    """Return the most calls in any closed span of the window's length."""
    return max(
        (
            sum(first <= at_s <= first + TERMS.window_s for at_s in taken_at_s)
            for first in taken_at_s
        ),
        default=0,
    )


def _take_all(quota: Quota, now_s: float) -> list[float]:
    taken = []
    while quota.try_take(now_s=now_s):
        taken.append(now_s)
    return taken


@given(PAUSES)
def test_no_window_holds_more_calls_than_the_quota(pauses: list[float]) -> None:
    """A caller that takes every token it gets stays within rate x window + burst."""
    quota = Quota(LIMIT, TERMS, now_s=0.0, is_new=True)
    now_s, taken = 0.0, []
    for pause_s in pauses:
        now_s += pause_s
        taken += _take_all(quota, now_s)
    assert _most_in_a_window(taken) <= WINDOW_CALLS


@given(PAUSES, DROPS)
def test_changes_of_the_owner_add_no_more_than_the_slack(
    pauses: list[float], drops: list[bool]
) -> None:
    """Each owner starts empty and knows nothing of the owners before it."""
    quota = Quota(LIMIT, TERMS, now_s=0.0, is_new=True)
    now_s, taken = 0.0, []
    for pause_s, is_lost in zip(pauses, drops, strict=False):
        now_s += pause_s
        if is_lost:
            quota = Quota(LIMIT, TERMS, now_s=now_s)
        taken += _take_all(quota, now_s)
    assert _most_in_a_window(taken) <= WINDOW_CALLS + TERMS.slack_calls


def test_without_slack_a_window_is_a_bucket() -> None:
    """The burst is all that an idle account can use at once."""
    quota = Quota(LIMIT, QuotaTerms(window_s=5.0), now_s=0.0, is_new=True)
    assert len(_take_all(quota, 0.0)) == 3
    assert len(_take_all(quota, 0.5)) == 2
    assert len(_take_all(quota, 9.0)) == 3


def test_lowered_limit_binds_the_calls_after_it() -> None:
    """What was granted before does not count, and the bucket is cut at once."""
    quota = Quota(RateLimit(rate_per_s=40.0, burst=40), TERMS, now_s=0.0, is_new=True)
    assert len(_take_all(quota, 0.0)) == 52
    quota.change_limit(LIMIT, now_s=0.1)
    taken = [at_s for step in range(100) for at_s in _take_all(quota, 0.1 + step / 10)]
    assert 0 < _most_in_a_window(taken) <= WINDOW_CALLS


def test_wait_is_that_of_the_bucket_or_of_the_window() -> None:
    """The told wait is exact: just before it there is no token, and at its end there is one."""
    quota = Quota(LIMIT, TERMS, now_s=0.0, is_new=True)
    assert quota.wait_s(1, now_s=0.0) == 0.0
    now_s = 0.0
    for _ in range(60):
        _take_all(quota, now_s)
        wait_s = quota.wait_s(1, now_s=now_s)
        assert wait_s > 0 and not quota.try_take(now_s=now_s + 0.98 * wait_s)
        now_s += wait_s + 1e-6
        assert quota.available(now_s=now_s) >= 1 - 1e-3
    assert Quota(RateLimit(rate_per_s=0.0, burst=0), TERMS, now_s=0.0).wait_s(
        1, now_s=9.0
    ) == float("inf")


def test_returned_token_can_be_taken_again() -> None:
    """A call that is refused for its budget costs no token."""
    quota = Quota(RateLimit(rate_per_s=0.001, burst=2), QuotaTerms(), now_s=0.0, is_new=True)
    assert len(_take_all(quota, 0.0)) == 2
    quota.give_back(taken_s=0.0, now_s=0.1)
    assert len(_take_all(quota, 0.1)) == 1


def test_token_that_comes_back_late_leaves_those_taken_since_in_the_window() -> None:
    """The last token taken was given back in place of the one that came back."""
    quota = Quota(RateLimit(rate_per_s=0.001, burst=3), QuotaTerms(), now_s=0.0, is_new=True)
    assert quota.try_take(now_s=0.0) and quota.try_take(now_s=4.0)
    quota.give_back(taken_s=0.0, now_s=4.5)
    quota.give_back(taken_s=0.0, now_s=4.6)
    assert len(_take_all(quota, 5.1)) == 2


def _call(program: str, *, wait_s: float = 1.0, time_left_s: float | None = 2.0) -> ProgramCall:
    return ProgramCall(program_id=program, is_turn=True, wait_s=wait_s, time_left_s=time_left_s)


def test_call_that_would_wait_too_long_is_refused_at_once() -> None:
    """At 4 calls a second, the third waiting call is due after 0.75 s."""
    queue: TokenQueue[str] = TokenQueue(LIMIT, QuotaTerms(), now_s=0.0)
    for name in ("a", "b"):
        assert queue.request(name, _call(name, time_left_s=None), now_s=0.0).unwrap() is False
    refused = queue.request("c", _call("c", wait_s=0.7, time_left_s=None), now_s=0.0)
    assert refused.err_value.shortage is TokenShortage.EMPTY
    assert abs(refused.err_value.retry_after_s - 0.75) < 1e-6
    assert abs(queue.next_grant_s(now_s=0.0) - 0.25) < 1e-6
    assert list(queue.grant(now_s=0.26)) == ["a"] and list(queue.grant(now_s=0.51)) == ["b"]


def test_withdrawn_call_gets_no_token() -> None:
    """The token goes to the next one."""
    queue: TokenQueue[str] = TokenQueue(LIMIT, QuotaTerms(), now_s=0.0)
    for name in ("a", "b"):
        queue.request(name, _call(name, time_left_s=None), now_s=0.0).unwrap()
    queue.withdraw("a")
    assert list(queue.grant(now_s=0.26)) == ["b"] and not len(queue)


def test_tokens_are_withheld_from_programs_without_a_commitment() -> None:
    """A program that cannot be in time gets what committed programs will not need soon."""
    queue: TokenQueue[str] = TokenQueue(
        RateLimit(rate_per_s=0.5, burst=20), QuotaTerms(), now_s=0.0, is_new=True
    )
    assert queue.request("c", _call("committed", time_left_s=1.5), now_s=0.0).unwrap()
    assert queue.is_committed("committed") and queue.reserved(now_s=0.0) > 1
    granted = 0
    while queue.request("l", _call("late", wait_s=0.0, time_left_s=0.0), now_s=0.0).is_ok():
        granted += 1
    refused = queue.request("l", _call("late", wait_s=0.0, time_left_s=0.0), now_s=0.0)
    assert granted > 0 and refused.err_value.shortage is TokenShortage.WITHHELD
    assert queue.request("c", _call("committed", time_left_s=1.5), now_s=0.0).unwrap()


def test_late_program_is_not_starved_by_tokens_that_committed_programs_leave_unused() -> None:
    """It is served within a turn's time, though new programs are committed to all the while."""
    limit = RateLimit(rate_per_s=10.0, burst=10)
    queue: TokenQueue[str] = TokenQueue(limit, QuotaTerms(slack_calls=20), now_s=0.0, is_new=True)
    served_s, withheld = 0.0, 0
    for step in range(STEPS):
        now_s = step * 0.1
        if step % 5 == 0:
            queue.request("c", _call(f"p{step}", time_left_s=4.0), now_s=now_s)
        late = _call("late", wait_s=0.0, time_left_s=0.0)
        if step % 4 == 0 and queue.request("l", late, now_s=now_s) == Ok(True):
            served_s = now_s
        assert now_s - served_s <= TURN_DEADLINE_S, (served_s, now_s)
        withheld += queue.reserved(now_s=now_s) > queue.available(now_s=now_s)
    assert withheld > STEPS / 2, withheld


load_tests = load_functions(globals())
