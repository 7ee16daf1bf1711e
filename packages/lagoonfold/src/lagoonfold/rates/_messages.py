"""The messages between lender and borrower."""

import msgspec

RANK_CALL = 0  # a tool call, which fails its program if refused
RANK_TURN = 1  # a turn, which its program repeats if refused
RANK_UNCOMMITTED = 2  # a call of a program without a commitment
RANK_PREFETCH = 9  # a loan request without waiting calls; waiting calls elsewhere go first


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """An account's limit over all instances: tokens per second and bucket size in tokens."""

    rate_per_s: float
    burst: float


class LoanReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A borrower's report of the tokens spent of one loan so far.

    The borrower spends no more of a closed loan, and its unspent tokens return to the lender.
    Reports may be lost, repeated or reordered, since `spent` only grows.
    """

    loan_id: str
    spent: int
    is_closed: bool


class ProgramNeed(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The calls a program still has to make to be done in `time_left_s` seconds."""

    program: str
    calls_left: int
    time_left_s: float


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a loan, numbered by the borrower.

    `needed` is the number of calls waiting now, `wanted` the number of tokens to lend if available,
    which covers the demand expected soon. `rank` is the rank of the first waiting call, or
    `RANK_PREFETCH` if none waits. `programs` lists programs that need a commitment.
    """

    number: int
    needed: int
    wanted: int
    reports: tuple[LoanReport, ...] = ()
    rank: int = 0
    programs: tuple[ProgramNeed, ...] = ()


class Loan(msgspec.Struct, frozen=True, kw_only=True):
    """Lent tokens, which may be spent until `ttl_s` seconds after the loan request was sent."""

    loan_id: str
    size: int
    ttl_s: float


class Shortage(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a loan request when nothing can be lent now.

    `retry_after_s` is the time in seconds until a token will be available if no other instance
    borrows it. `is_takeover` is set while loans of the account's former owner may not have expired.
    """

    retry_after_s: float
    is_takeover: bool = False
