"""What instances say to each other."""

import msgspec

from lagoonfold.rates import Loan, LoanRequest, Shortage
from lagoonfold.resilience import PoisonNotice


class Heartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """That an instance lives, what it has under way and what it has seen.

    `sent_by_replica` counts requests under way by replica id, `paces` are slow replicas' paces;
    the revisions are those of the store up to which this instance has followed its views.
    `has_store` says whether it reaches the store; `notices` are of requests that crashed replicas.
    """

    instance: str
    start_id: str
    is_leaving: bool
    in_flight_by_replica: dict[str, int]
    slowdown_by_replica: dict[str, float]
    config_revision: int
    replica_revision: int
    store_reachable: bool
    poison_notices: tuple[PoisonNotice, ...] = ()


class TurnRequest(msgspec.Struct, frozen=True, tag="TurnAsk", array_like=True):
    """May this turn start? `max_tokens` is what it may produce at most, in tokens.

    `live` are the instances that the asker hears; an owner that hears others may not be the only
    one that is asked. `unable` are owners that cannot charge now: who is asked takes over from
    them.
    """

    program: str
    turn_id: str
    instance_id: str
    budget: int
    max_tokens: int
    retention_s: float
    live_instances: tuple[str, ...]
    unavailable_owners: tuple[str, ...] = ()


class TurnCreditRequest(msgspec.Struct, frozen=True, tag="TurnCover", array_like=True):
    """Raise the credit of a running turn, which may produce `max_tokens` tokens in all."""

    program: str
    turn_id: str
    max_tokens: int


class TurnEnd(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A turn has ended; `delivered_tokens` tokens of it went out to the caller."""

    program: str
    turn_id: str
    delivered_tokens: int


class TurnCredit(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The tokens that a turn may hand out in all, so far."""

    credit: int


class BudgetExhausted(msgspec.Struct, frozen=True, tag="BudgetSpent", array_like=True):
    """The program's budget does not hold the turn."""

    spent: int
    budget: int


class OwnerRedirect(msgspec.Struct, frozen=True, tag="OwnedBy", array_like=True):
    """Another live instance owns the program."""

    instance: str


class OwnerUnavailable(msgspec.Struct, frozen=True, tag="NotNow", array_like=True):
    """The owner cannot decide now, and why."""

    reason: str


class AccountLoanRequest(msgspec.Struct, frozen=True, tag="LoanAsk", array_like=True):
    """A borrower's ask for an account's rate; without a wish it only reports."""

    account: str
    borrower: str
    request: LoanRequest


class LoanGranted(msgspec.Struct, frozen=True, tag="LoanGiven", array_like=True):
    """A loan of an account's rate; `committed` are the asked programs that rate is committed to."""

    loan: Loan
    committed: tuple[str, ...] = ()


class LoanRefused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Nothing can be lent now; `committed` as for a loan."""

    shortage: Shortage
    committed: tuple[str, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag="Done", array_like=True):
    """The message was taken in."""


Message = (
    Heartbeat
    | TurnRequest
    | TurnCreditRequest
    | TurnEnd
    | TurnCredit
    | BudgetExhausted
    | OwnerRedirect
    | OwnerUnavailable
    | AccountLoanRequest
    | LoanGranted
    | LoanRefused
    | Ack
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of the call that it belongs to; an answer bears the same number."""

    number: int
    is_answer: bool
    message: Message
