"""Which calls of an account go first when its rate does not hold them all."""

from lagoonfold.rates import RANK_AHEAD, Borrower, Lender, ProgramBook, RateLimit
from tests._suite import load_functions


def _claim(book: ProgramBook, program: str, *, is_turn: bool):
    return book.claim(program, is_turn=is_turn, limit_s=2.0, now_s=10.0)


def test_tools_go_before_turns_and_programs_that_loop_last() -> None:
    """A program that has made many calls stands behind one that has made few."""
    book = ProgramBook()
    for _ in range(50):
        looping = _claim(book, "loop", is_turn=True)
    fresh = _claim(book, "new", is_turn=True)
    tool = _claim(book, "loop", is_turn=False)
    assert (fresh.rank, fresh.calls_before) < (looping.rank, looping.calls_before)
    assert tool.rank < fresh.rank
    assert 10.0 < fresh.due_s < 12.0


def test_lender_keeps_tokens_for_more_urgent_calls_elsewhere() -> None:
    """Load: one token a second, turns at one instance and a tool's call at another."""
    lender = Lender(limit=RateLimit(rate_per_s=1.0, burst=1), epoch=1, now_s=0.0, is_new=True)
    turns, tools = Borrower(), Borrower()
    lender.lend("a", turns.ask(now_s=0.0, needed=1, rank=1), now_s=0.0).unwrap()
    assert lender.lend("b", tools.ask(now_s=1.4, needed=1, rank=0), now_s=1.45).is_err()
    assert lender.lend("a", turns.ask(now_s=1.0, needed=1, rank=1), now_s=1.52).is_err()
    assert lender.lend("a", turns.ask(now_s=1.0, needed=1, rank=RANK_AHEAD), now_s=1.52).is_err()
    assert lender.lend("b", tools.ask(now_s=1.0, needed=1, rank=0), now_s=1.53).is_ok()


def test_token_of_a_call_that_was_not_forwarded_comes_back() -> None:
    """A call that the budget refuses costs no rate."""
    lender = Lender(limit=RateLimit(rate_per_s=1.0, burst=2), epoch=1, now_s=0.0, is_new=True)
    borrower = Borrower()
    ask = borrower.ask(now_s=0.0, needed=1)
    borrower.receive(ask, lender.lend("a", ask, now_s=0.0).unwrap(), now_s=0.0)
    assert borrower.take(now_s=0.1) and not borrower.take(now_s=0.1)
    borrower.give_back(now_s=0.1)
    assert borrower.take(now_s=0.1) and not borrower.take(now_s=0.1)


load_tests = load_functions(globals())
