"""Which calls of an account go first when its rate does not hold them all."""

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


def _claim(
    book: ProgramTracker,
    program: str,
    *,
    is_turn: bool,
    time_left_s: float | None = 2.0,
    now_s: float = 10.0,
) -> CallPriority:
    call = ProgramCall(program_id=program, is_turn=is_turn, timeout_s=2.0, time_left_s=time_left_s)
    return book.prioritize(call, now_s=now_s)


def _lender(*, rate_per_s: float, burst: float) -> Lender:
    limit = RateLimit(rate_per_s=rate_per_s, burst=burst)
    return Lender(limit=limit, epoch=1, now_s=0.0, is_new=True)


def test_committed_programs_go_first_and_their_tools_before_their_turns() -> None:
    """A committed program's tool, its turn, then any call of a program that was not taken in."""
    book = ProgramTracker()
    _claim(book, "taken", is_turn=True)
    book.mark_committed("taken")
    tool = _claim(book, "taken", is_turn=False)
    turn = _claim(book, "taken", is_turn=True)
    other = _claim(book, "other", is_turn=False)
    assert (tool.rank, turn.rank, other.rank) == (RANK_CALL, RANK_TURN, RANK_UNCOMMITTED)
    assert 10.0 < turn.wait_until_s < 12.0


def test_program_that_should_be_done_sooner_goes_first() -> None:
    """Among calls of a rank the program's own time decides."""
    book = ProgramTracker()
    assert _claim(book, "soon", is_turn=True, time_left_s=1.0).tie_break == 11.0
    assert _claim(book, "later", is_turn=True, time_left_s=3.0).tie_break == 13.0


def test_call_without_a_program_objective_is_not_put_behind() -> None:
    """A single call has no program whose need could be weighed."""
    claim = _claim(ProgramTracker(), "plain", is_turn=False, time_left_s=None)
    assert claim.rank == RANK_CALL


def test_programs_without_hope_lose_their_place() -> None:
    """A program that is late, loops or has spent its budget goes behind the others."""
    book = ProgramTracker()
    for name in ("late", "looping", "spent"):
        _claim(book, name, is_turn=True)
        book.mark_committed(name)
    for _ in range(50):
        book.record_call("looping")
    book.mark_budget_exhausted("spent")
    assert _claim(book, "late", is_turn=True, now_s=12.1).rank == RANK_UNCOMMITTED
    assert _claim(book, "looping", is_turn=True).rank == RANK_UNCOMMITTED
    assert _claim(book, "spent", is_turn=True).rank == RANK_UNCOMMITTED
    assert all(book.need(name, now_s=12.1) is None for name in ("late", "looping", "spent"))


def test_need_shrinks_with_the_calls_made_and_ends_with_the_time() -> None:
    """What is asked for is what the program has not had yet, while there is time for it."""
    book = ProgramTracker()
    _claim(book, "p", is_turn=True)
    before = book.need("p", now_s=10.0)
    for _ in range(4):
        book.record_call("p")
    after = book.need("p", now_s=10.5)
    assert before is not None and after is not None
    assert after.calls_left == before.calls_left - 4
    assert book.need("p", now_s=11.9) is None


def test_rate_is_committed_while_it_holds_what_is_needed() -> None:
    """Load: programs of ten calls in two seconds each, at a rate of twenty."""
    limit = RateLimit(rate_per_s=20.0, burst=20)
    commitments = Commitments()
    needs = [ProgramNeed(program=f"p{n}", calls_left=10, time_left_s=2.0) for n in range(5)]
    taken = [commitments.try_commit(need, limit, level=0.0, now_s=0.0) for need in needs]
    assert taken == [True, True, True, False, False]
    assert commitments.try_commit(needs[0], limit, level=0.0, now_s=1.0)
    assert commitments.try_commit(needs[4], limit, level=0.0, now_s=1.5)


def test_long_program_does_not_shut_short_ones_out() -> None:
    """Only what a long program needs within the short one's time stands against it."""
    limit = RateLimit(rate_per_s=20.0, burst=20)
    commitments = Commitments()
    long = ProgramNeed(program="long", calls_left=60, time_left_s=10.0)
    short = ProgramNeed(program="short", calls_left=4, time_left_s=1.0)
    assert commitments.try_commit(long, limit, level=0.0, now_s=0.0)
    assert commitments.try_commit(short, limit, level=0.0, now_s=0.0)


def test_absurd_objective_holds_no_rate_for_hours() -> None:
    """A program that may take a day is weighed like any other, and forgotten like any other."""
    limit = RateLimit(rate_per_s=20.0, burst=20)
    commitments = Commitments()
    day_s = 86_400.0
    need = ProgramNeed(program="day", calls_left=int(6 * day_s), time_left_s=day_s)
    assert commitments.try_commit(need, limit, level=0.0, now_s=0.0)
    assert abs(commitments.calls_within(1.0, now_s=0.0) - 6.0) < 1e-6
    assert commitments.calls_within(1.0, now_s=MAX_COMMITMENT_S) == 0


def test_lender_keeps_tokens_for_more_urgent_calls_elsewhere() -> None:
    """Load: one token a second, turns at one instance and a tool's call at another."""
    lender = _lender(rate_per_s=1.0, burst=1)
    turns, tools = Borrower(), Borrower()
    lender.lend("a", turns.new_request(now_s=0.0, needed=1, rank=1), now_s=0.0).unwrap()
    assert lender.lend("b", tools.new_request(now_s=1.4, needed=1, rank=0), now_s=1.45).is_err()
    assert lender.lend("a", turns.new_request(now_s=1.0, needed=1, rank=1), now_s=1.52).is_err()
    assert lender.lend(
        "a", turns.new_request(now_s=1.0, needed=1, rank=RANK_PREFETCH), now_s=1.52
    ).is_err()
    assert lender.lend("b", tools.new_request(now_s=1.0, needed=1, rank=0), now_s=1.53).is_ok()


def test_lender_keeps_a_reserve_from_uncommitted_programs() -> None:
    """Load: a burst of uncommitted calls; what is kept goes to a committed call at once."""
    lender = _lender(rate_per_s=0.001, burst=10)
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=10, rank=RANK_UNCOMMITTED)
    assert lender.lend("a", request, now_s=0.0, reserved=4.0).unwrap().size == 6
    again = borrower.new_request(now_s=0.0, needed=1, rank=RANK_UNCOMMITTED)
    assert lender.lend("a", again, now_s=0.0, reserved=4.0).is_err()
    committed = borrower.new_request(now_s=0.0, needed=1, rank=RANK_TURN)
    assert lender.lend("a", committed, now_s=0.0, reserved=4.0).is_ok()


def test_reserve_is_what_committed_programs_need_soon() -> None:
    """Without committed programs nothing is kept, and never so much that others starve."""
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


def _play(*, commits: bool, programs_per_s: float) -> Outcome:
    total = Outcome()
    limit = RateLimit(rate_per_s=14.0, burst=14)
    for seed in SEEDS:
        load = ProgramLoad(limit, commits=commits, seed=seed)
        played = load.play(programs_per_s=programs_per_s, seconds=40.0)
        total.programs += played.programs
        total.in_time += played.in_time
        total.late += played.late
        total.failed += played.failed
    return total


def test_more_programs_of_an_overloaded_account_end_in_time() -> None:
    """Load: programs that need one and a half times and three times their account's rate."""
    for programs_per_s in (1.8, 3.7):
        plain = _play(commits=False, programs_per_s=programs_per_s)
        committed = _play(commits=True, programs_per_s=programs_per_s)
        assert committed.in_time >= 1.5 * plain.in_time, (plain, committed)


def test_account_within_its_rate_loses_nothing() -> None:
    """Load: programs that need half of their account's rate."""
    plain = _play(commits=False, programs_per_s=0.6)
    committed = _play(commits=True, programs_per_s=0.6)
    assert committed.in_time >= 0.97 * plain.in_time, (plain, committed)
    assert committed.failed <= 0.02 * committed.programs, committed


def test_token_of_a_call_that_was_not_forwarded_comes_back() -> None:
    """A call that the budget refuses costs no rate."""
    lender = _lender(rate_per_s=1.0, burst=2)
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=1)
    borrower.receive(request, lender.lend("a", request, now_s=0.0).unwrap(), now_s=0.0)
    assert borrower.take(now_s=0.1) and not borrower.take(now_s=0.1)
    borrower.refund(now_s=0.1)
    assert borrower.take(now_s=0.1) and not borrower.take(now_s=0.1)


load_tests = load_functions(globals())
