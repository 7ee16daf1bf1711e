"""The rate limit of one account over all instances: loans from its owner, and takeover.

Time advances in ticks; the account's token bucket gains one token per tick up to its burst. The
owner of the account (the lender) lends tokens to two borrowers for `LOAN_TICKS`, which a borrower
counts from the time of its loan request. A lent token occupies space in the bucket until it is
returned or its loan has expired, so that the refill never replaces tokens that may still be spent.
A new lender does not know what its predecessor lent: it starts with an empty bucket and lends
nothing until every loan of the predecessor has expired.

A step is a tick, a takeover, or a borrower that borrows, spends or returns tokens. The invariant:
over every interval of ticks, the requests admitted are at most the tokens gained in the interval
plus the burst.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

BURST = 2
GAIN = 1
LOAN_TICKS = 2
LAST_TICK = 5
BORROWERS = (0, 1)


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # A new lender lends before the loans of its predecessor have expired.
    NO_WAIT_AFTER_TAKEOVER = "loans-not-waited-for-after-takeover"
    # A new lender starts with a full bucket and does not wait either.
    FULL_AFTER_TAKEOVER = "full-bucket-after-takeover"
    # The refill ignores the space that lent tokens occupy.
    REFILL_PAST_LOANS = "refill-ignores-what-is-lent"
    # Borrowers spend tokens of an expired loan.
    SPEND_EXPIRED = "expired-loan-is-spent"
    # A lender goes on lending after another has taken over.
    LAPSED_LENDER_LENDS = "lapsed-lender-lends"
    # The lender puts the tokens of an expired loan back into the bucket.
    EXPIRED_RETURNS = "expired-loan-returns-to-the-bucket"
    # A borrower can still spend a loan that it has returned.
    KEEP_RETURNED = "returned-loan-is-spent"


class Lender(NamedTuple):
    """The owner's bucket.

    `level` is the number of tokens in it, `lent` holds the expiry tick and tokens of each loan, and
    `lends_from` is the last tick at which a new lender leaves its bucket empty.
    """

    level: int
    lent: tuple[tuple[int, int], ...] = ()
    lends_from: int = 0


class Loan(NamedTuple):
    """The tokens that a borrower holds and the last tick at which it may spend them."""

    tokens: int = 0
    expires: int = 0


class State(NamedTuple):
    """The clock, the current and the former lender, the loans, and requests admitted by tick."""

    now: int = 0
    lender: Lender = Lender(level=BURST)
    former: Lender | None = None
    loans: tuple[Loan, ...] = (Loan(),) * len(BORROWERS)
    admitted: tuple[int, ...] = (0,) * (LAST_TICK + 1)


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        if state.now < LAST_TICK:
            yield "tick", self._tick(state)
        if state.former is None:
            yield "take over", self._take_over(state)
        for borrower in BORROWERS:
            yield from self._borrower(state, borrower)

    def _tick(self, state: State) -> State:
        now = state.now + 1
        former = None if state.former is None else self._refill(state.former, now)
        return state._replace(now=now, lender=self._refill(state.lender, now), former=former)

    def _refill(self, lender: Lender, now: int) -> Lender:
        """Drop the loans that have expired, counted as spent, and add the gain of one tick."""
        lent = tuple(loan for loan in lender.lent if loan[0] >= now)
        expired = sum(tokens for expires, tokens in lender.lent if expires < now)
        level = lender.level + (expired if self._fault is Fault.EXPIRED_RETURNS else 0)
        outstanding = sum(tokens for _, tokens in lent)
        if self._fault is Fault.REFILL_PAST_LOANS:
            outstanding = 0
        if now <= lender.lends_from:
            return lender._replace(lent=lent)
        capacity = max(0, BURST - level - outstanding)
        return lender._replace(level=level + min(GAIN, capacity), lent=lent)

    def _take_over(self, state: State) -> State:
        waits = self._fault not in (Fault.NO_WAIT_AFTER_TAKEOVER, Fault.FULL_AFTER_TAKEOVER)
        level = BURST if self._fault is Fault.FULL_AFTER_TAKEOVER else 0
        lends_from = state.now + LOAN_TICKS if waits else 0
        return state._replace(
            lender=Lender(level=level, lends_from=lends_from), former=state.lender
        )

    def _borrower(self, state: State, borrower: int) -> Iterator[Step]:
        loan = state.loans[borrower]
        is_valid = state.now <= loan.expires or self._fault is Fault.SPEND_EXPIRED
        if loan.tokens and is_valid:
            yield f"spend {borrower}", self._spend(state, borrower, loan)
            yield from self._return(state, borrower, loan)
        if state.lender.level and not (loan.tokens and is_valid):
            yield f"borrow {borrower}", self._borrow(state, borrower)
        former = state.former
        if self._fault is Fault.LAPSED_LENDER_LENDS and former and former.level:
            granted = self._grant(state, borrower, former.level)
            yield f"borrow from lapsed {borrower}", granted._replace(
                former=former._replace(level=0)
            )

    def _spend(self, state: State, borrower: int, loan: Loan) -> State:
        loans = _put(state.loans, borrower, loan._replace(tokens=loan.tokens - 1))
        admitted = _put(state.admitted, state.now, state.admitted[state.now] + 1)
        return state._replace(loans=loans, admitted=admitted)

    def _return(self, state: State, borrower: int, loan: Loan) -> Iterator[Step]:
        """Return the unspent tokens to the lender that lent them; a new lender rejects them."""
        entry = next((lent for lent in state.lender.lent if lent[0] == loan.expires), None)
        if entry is None or entry[1] < loan.tokens:
            return
        rest = list(state.lender.lent)
        rest.remove(entry)
        if entry[1] > loan.tokens:
            rest.append((entry[0], entry[1] - loan.tokens))
        lender = state.lender._replace(
            level=state.lender.level + loan.tokens, lent=tuple(sorted(rest))
        )
        kept = loan if self._fault is Fault.KEEP_RETURNED else Loan()
        yield f"return {borrower}", state._replace(
            lender=lender, loans=_put(state.loans, borrower, kept)
        )

    def _borrow(self, state: State, borrower: int) -> State:
        tokens = state.lender.level
        expires = state.now + LOAN_TICKS
        lent = tuple(sorted((*state.lender.lent, (expires, tokens))))
        granted = self._grant(state, borrower, tokens)
        return granted._replace(lender=state.lender._replace(level=0, lent=lent))

    def _grant(self, state: State, borrower: int, tokens: int) -> State:
        loan = Loan(tokens=tokens, expires=state.now + LOAN_TICKS)
        return state._replace(loans=_put(state.loans, borrower, loan))


def _is_rate_kept(state: State) -> bool:
    """Return whether the bound holds over every interval of ticks."""
    for first in range(state.now + 1):
        for last in range(first, state.now + 1):
            if sum(state.admitted[first : last + 1]) > GAIN * (last - first) + BURST:
                return False
    return True


@specification(
    {
        Fault.NO_WAIT_AFTER_TAKEOVER: "rate_is_kept",
        Fault.FULL_AFTER_TAKEOVER: "rate_is_kept",
        Fault.REFILL_PAST_LOANS: "rate_is_kept",
        Fault.SPEND_EXPIRED: "rate_is_kept",
        Fault.LAPSED_LENDER_LENDS: "rate_is_kept",
        Fault.EXPIRED_RETURNS: "rate_is_kept",
        Fault.KEEP_RETURNED: "rate_is_kept",
    }
)
def rate_loans(fault: Fault | None) -> Protocol:
    """Return the protocol of one account's loans, without the rule that a fault names."""
    return protocol("rate_loans", State(), _Steps(fault), {"rate_is_kept": _is_rate_kept})
