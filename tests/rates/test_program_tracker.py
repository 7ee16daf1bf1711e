"""The order of an account's calls when they need more than its rate."""

from lagoonfold.rates import (
    RANK_CALL,
    RANK_PREFETCH,
    RANK_TURN,
    RANK_UNCOMMITTED,
    Borrower,
    CallPriority,
    Commitments,
    Lender,
    ProgramCall,
    ProgramNeed,
    ProgramTracker,
    RateLimit,
)
from lagoonfold.rates._commitments import MAX_COMMITMENT_S
from tests._suite import load_functions
from tests.rates._program_load import Outcome, ProgramLoad

SEEDS = range(4)


def _prioritize(
    tracker: ProgramTracker,
    program: str,
    *,
    is_turn: bool,
    time_left_s: float | None = 2.0,
    now_s: float = 10.0,
) -> CallPriority:
    call = ProgramCall(program_id=program, is_turn=is_turn, wait_s=0.8, time_left_s=time_left_s)
    return tracker.prioritize(call, now_s=now_s)


def _lender(*, rate_per_s: float, burst: float) -> Lender:
    limit = RateLimit(rate_per_s=rate_per_s, burst=burst)
    return Lender(limit=limit, epoch=1, now_s=0.0, is_new=True)


def test_committed_programs_go_first_and_their_tool_calls_before_turns() -> None:
    """A committed program's tool call ranks before its turn, and both before other programs."""
    tracker = ProgramTracker()
    _prioritize(tracker, "committed", is_turn=True)
    tracker.mark_committed("committed")
    tool = _prioritize(tracker, "committed", is_turn=False)
    turn = _prioritize(tracker, "committed", is_turn=True)
    other = _prioritize(tracker, "other", is_turn=False)
    assert (tool.rank, turn.rank, other.rank) == (RANK_CALL, RANK_TURN, RANK_UNCOMMITTED)
    assert 10.0 < turn.wait_until_s < 12.0


def test_earlier_soft_deadline_goes_first() -> None:
    """Calls of equal rank go in order of their programs' soft deadlines."""
    tracker = ProgramTracker()
    assert _prioritize(tracker, "soon", is_turn=True, time_left_s=1.0).tie_break == 11.0
    assert _prioritize(tracker, "later", is_turn=True, time_left_s=3.0).tie_break == 13.0


def test_call_without_a_soft_deadline_is_not_ranked_last() -> None:
    """A call without a soft deadline needs no commitment, so it keeps the rank of its kind."""
    priority = _prioritize(ProgramTracker(), "plain", is_turn=False, time_left_s=None)
    assert priority.rank == RANK_CALL


def test_programs_that_cannot_finish_in_time_are_ranked_last() -> None:
    """A program that is late, loops or has exhausted its budget ranks after the others."""
    tracker = ProgramTracker()
    for name in ("late", "looping", "exhausted"):
        _prioritize(tracker, name, is_turn=True)
        tracker.mark_committed(name)
    for _ in range(50):
        tracker.record_call("looping")
    tracker.mark_budget_exhausted("exhausted")
    assert _prioritize(tracker, "late", is_turn=True, now_s=12.1).rank == RANK_UNCOMMITTED
    assert _prioritize(tracker, "looping", is_turn=True).rank == RANK_UNCOMMITTED
    assert _prioritize(tracker, "exhausted", is_turn=True).rank == RANK_UNCOMMITTED
    assert all(tracker.need(name, now_s=12.1) is None for name in ("late", "looping", "exhausted"))


def test_need_shrinks_with_the_calls_made_and_ends_near_the_deadline() -> None:
    """A program needs the calls it has not made yet, and none if they can't be made in time."""
    tracker = ProgramTracker()
    _prioritize(tracker, "p", is_turn=True)
    before = tracker.need("p", now_s=10.0)
    for _ in range(4):
        tracker.record_call("p")
    after = tracker.need("p", now_s=10.5)
    assert before is not None and after is not None
    assert after.calls_left == before.calls_left - 4
    assert tracker.need("p", now_s=11.9) is None


def test_calls_of_a_program_are_estimated_from_those_before_it() -> None:
    """Programs with a refused call are left out, since they did not make all their calls."""

    def need_after(calls: int, *, is_refused: bool) -> int:
        tracker = ProgramTracker()
        for number in range(40):
            name, now_s = f"p{number}", 3.0 * number
            _prioritize(tracker, name, is_turn=True, now_s=now_s)
            for _ in range(calls):
                tracker.record_call(name)
            if is_refused:
                tracker.mark_refused(name)
        _prioritize(tracker, "next", is_turn=True, now_s=200.0)
        need = tracker.need("next", now_s=200.0)
        assert need is not None
        return need.calls_left

    usual = need_after(0, is_refused=True)
    assert need_after(1, is_refused=True) == usual
    assert need_after(1, is_refused=False) < usual < need_after(30, is_refused=False)


def test_rate_is_committed_while_it_covers_the_need() -> None:
    """A rate of twenty covers three of five programs that need ten calls in two seconds each."""
    limit = RateLimit(rate_per_s=20.0, burst=20)
    commitments = Commitments()
    needs = [ProgramNeed(program=f"p{n}", calls_left=10, time_left_s=2.0) for n in range(5)]
    committed = [commitments.try_commit(need, limit, level=0.0, now_s=0.0) for need in needs]
    assert committed == [True, True, True, False, False]
    assert commitments.try_commit(needs[0], limit, level=0.0, now_s=1.0)
    assert commitments.try_commit(needs[4], limit, level=0.0, now_s=1.5)


def test_long_program_does_not_block_short_ones() -> None:
    """A short program competes only with calls that a long one makes in the same time."""
    limit = RateLimit(rate_per_s=20.0, burst=20)
    commitments = Commitments()
    long_need = ProgramNeed(program="long", calls_left=60, time_left_s=10.0)
    short_need = ProgramNeed(program="short", calls_left=4, time_left_s=1.0)
    assert commitments.try_commit(long_need, limit, level=0.0, now_s=0.0)
    assert commitments.try_commit(short_need, limit, level=0.0, now_s=0.0)


def test_far_soft_deadline_holds_no_rate_for_hours() -> None:
    """A program due in a day holds rate like any other, and only for `MAX_COMMITMENT_S`."""
    limit = RateLimit(rate_per_s=20.0, burst=20)
    commitments = Commitments()
    day_s = 86_400.0
    need = ProgramNeed(program="day", calls_left=int(6 * day_s), time_left_s=day_s)
    assert commitments.try_commit(need, limit, level=0.0, now_s=0.0)
    assert abs(commitments.expected_calls(1.0, now_s=0.0) - 6.0) < 1e-6
    assert commitments.expected_calls(1.0, now_s=MAX_COMMITMENT_S) == 0


def test_lender_keeps_tokens_for_more_urgent_calls_elsewhere() -> None:
    """At one token per second, turns at one instance don't starve a tool call at another."""
    lender = _lender(rate_per_s=1.0, burst=1)
    turns, tool_calls = Borrower(), Borrower()
    lender.lend("a", turns.new_request(now_s=0.0, needed=1, rank=1), now_s=0.0).unwrap()
    assert lender.lend(
        "b", tool_calls.new_request(now_s=1.4, needed=1, rank=0), now_s=1.45
    ).is_err()
    assert lender.lend("a", turns.new_request(now_s=1.0, needed=1, rank=1), now_s=1.52).is_err()
    assert lender.lend(
        "a", turns.new_request(now_s=1.0, needed=1, rank=RANK_PREFETCH), now_s=1.52
    ).is_err()
    assert lender.lend("b", tool_calls.new_request(now_s=1.0, needed=1, rank=0), now_s=1.53).is_ok()


def test_lender_keeps_a_reserve_from_uncommitted_programs() -> None:
    """A burst of uncommitted calls leaves the reserve, which a committed call gets at once."""
    lender = _lender(rate_per_s=0.001, burst=10)
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=10, rank=RANK_UNCOMMITTED)
    assert lender.lend("a", request, now_s=0.0, reserved=4.0).unwrap().size == 6
    again = borrower.new_request(now_s=0.0, needed=1, rank=RANK_UNCOMMITTED)
    assert lender.lend("a", again, now_s=0.0, reserved=4.0).is_err()
    committed = borrower.new_request(now_s=0.0, needed=1, rank=RANK_TURN)
    assert lender.lend("a", committed, now_s=0.0, reserved=4.0).is_ok()


def test_reserve_is_what_committed_programs_need_soon() -> None:
    """Nothing is reserved without commitments, and never so much that other programs starve."""
    limit = RateLimit(rate_per_s=20.0, burst=10)
    commitments = Commitments()
    assert commitments.reserved(limit, now_s=0.0) == 0
    few = ProgramNeed(program="few", calls_left=8, time_left_s=2.0)
    assert commitments.try_commit(few, limit, level=10.0, now_s=0.0)
    assert commitments.reserved(limit, now_s=0.0) == 1.0
    many = ProgramNeed(program="many", calls_left=20, time_left_s=1.0)
    assert commitments.try_commit(many, limit, level=10.0, now_s=0.0)
    assert abs(commitments.reserved(limit, now_s=0.0) - 2.7) < 1e-9
    assert commitments.reserved(RateLimit(rate_per_s=1.0, burst=1), now_s=0.0) == 0


def _run_load(*, commits: bool, programs_per_s: float) -> Outcome:
    total = Outcome()
    limit = RateLimit(rate_per_s=14.0, burst=14)
    for seed in SEEDS:
        load = ProgramLoad(limit, commits=commits, seed=seed)
        outcome = load.run(programs_per_s=programs_per_s, duration_s=40.0)
        total.programs += outcome.programs
        total.in_time += outcome.in_time
        total.late += outcome.late
        total.failed += outcome.failed
    return total


def test_more_programs_of_an_overloaded_account_end_in_time() -> None:
    """Commitments help programs that need one and a half or three times their account's rate."""
    for programs_per_s in (1.8, 3.7):
        baseline = _run_load(commits=False, programs_per_s=programs_per_s)
        committed = _run_load(commits=True, programs_per_s=programs_per_s)
        assert committed.in_time >= 1.5 * baseline.in_time, (baseline, committed)


def test_account_within_its_rate_loses_nothing() -> None:
    """Commitments cost nothing when programs need half of their account's rate."""
    baseline = _run_load(commits=False, programs_per_s=0.6)
    committed = _run_load(commits=True, programs_per_s=0.6)
    assert committed.in_time >= 0.97 * baseline.in_time, (baseline, committed)
    assert committed.failed <= 0.02 * committed.programs, committed


def test_token_of_a_call_that_was_not_forwarded_is_refunded() -> None:
    """A call that is refused for its budget costs no token."""
    lender = _lender(rate_per_s=1.0, burst=2)
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=1)
    borrower.receive(request, lender.lend("a", request, now_s=0.0).unwrap(), now_s=0.0)
    assert borrower.take(now_s=0.1) and not borrower.take(now_s=0.1)
    borrower.refund(now_s=0.1)
    assert borrower.take(now_s=0.1) and not borrower.take(now_s=0.1)


load_tests = load_functions(globals())
