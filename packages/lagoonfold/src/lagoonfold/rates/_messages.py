"""What lender and borrower say to each other."""

import msgspec

RANK_CALL = 0  # a call of a tool: the program fails with it
RANK_TURN = 1  # a turn, which its program repeats
RANK_UNCOMMITTED = 2  # a call of a program that the account's rate does not hold in time
RANK_PREFETCH = 9  # an ask ahead of need: any call that waits elsewhere goes first


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """An account's limit over all instances: tokens a second and tokens at once."""

    rate_per_s: float
    burst: float


class LoanReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a borrower has spent of one loan so far.

    A closed loan will not be spent from again; its rest goes back to the lender. Reports may be
    lost, repeated or reordered: `spent` only grows.
    """

    loan_id: str
    spent: int
    is_closed: bool


class ProgramNeed(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a program still needs of its account's rate to be done in `time_left_s` seconds."""

    program: str
    calls_left: int
    time_left_s: float


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a loan, numbered by the borrower.

    `needed` calls are waiting now; `wanted` adds the demand expected within a loan's life.
    `rank` is that of the first waiting call, `RANK_PREFETCH` where none waits. `programs` are those
    that the owner has not committed rate to.
    """

    number: int
    needed: int
    wanted: int
    reports: tuple[LoanReport, ...] = ()
    rank: int = 0
    programs: tuple[ProgramNeed, ...] = ()


class Loan(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens lent; they may be spent until `ttl_s` seconds after the ask was sent."""

    loan_id: str
    size: int
    ttl_s: float


class Shortage(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing can be lent now.

    `retry_after_s` is when one token will be there if nobody else takes it; `is_takeover` says
    that the lender still waits for loans of the account's former owner.
    """

    retry_after_s: float
    is_takeover: bool = False
