"""The lending side of the rate controller: one lender per account that this instance owns."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from lagoonfold import AccountId, ErrorKind, InstanceId, Refusal
from lagoonfold.config import Account
from lagoonfold.rates import Lender, Loan, LoanReport, LoanRequest, RateLimit, Shortage


@dataclass(frozen=True, slots=True, kw_only=True)
class LendingRight:
    """The right to lend for an account in one epoch.

    `since_s` is when the account's shard was opened here, on this process's clock.
    """

    epoch: int
    since_s: float


class AccountOwners(Protocol):
    """Look up the owners of accounts; consulted again before every loan."""

    def owner_of(self, account_id: AccountId) -> InstanceId | None:
        """Return the owning instance, or None while there is none."""

    def owner_lookup_refusal(self) -> Refusal | None:
        """Return the refusal for callers that wait for an owner, None if owners can be verified."""

    def lending_right(self, account_id: AccountId) -> LendingRight | None:
        """Return the right to lend if this instance owns the account and may act now, else None."""


class Lenders:
    """Hold the lenders by account; each epoch of ownership gets a new lender.

    A lender's clock starts at the opening of the account's shard here, not at the first loan
    request, so an account that was idle since then can use its burst.
    """

    def __init__(
        self,
        owners: AccountOwners,
        find_account: Callable[[AccountId], Account | None],
    ) -> None:
        self._owners = owners
        self._find_account = find_account
        self._lenders_by_account: dict[AccountId, tuple[int, RateLimit, Lender]] = {}

    def lend(
        self, borrower: InstanceId, account_id: AccountId, request: LoanRequest, *, now_s: float
    ) -> Result[Result[Loan, Shortage], Refusal]:
        """Return a loan or a shortage, or a refusal if this instance may not lend."""
        lender = self._lender(account_id, now_s)
        if lender is None:
            return Err(
                Refusal(
                    kind=ErrorKind.OWNER_UNAVAILABLE,
                    detail="the account's owner is changing",
                    retry_after_s=1.0,
                )
            )
        return Ok(lender.lend(borrower, request, now_s=now_s))

    def report(
        self,
        borrower: InstanceId,
        account_id: AccountId,
        reports: tuple[LoanReport, ...],
        *,
        now_s: float,
    ) -> None:
        """Apply a borrower's reports; the lender ignores those on loans of a former epoch."""
        lender = self._lender(account_id, now_s)
        if lender is not None:
            lender.report(borrower, reports, now_s=now_s)

    def _lender(self, account_id: AccountId, now_s: float) -> Lender | None:
        lending_right = self._owners.lending_right(account_id)
        account = self._find_account(account_id)
        if lending_right is None or account is None:
            self._lenders_by_account.pop(account_id, None)
            return None
        limit = RateLimit(rate_per_s=account.rate_per_s, burst=account.burst)
        known = self._lenders_by_account.get(account_id)
        if known is None or known[0] != lending_right.epoch:
            lender = Lender(limit=limit, epoch=lending_right.epoch, now_s=lending_right.since_s)
        else:
            lender = known[2]
            if known[1] != limit:
                lender.change_limit(limit, now_s=now_s)
        self._lenders_by_account[account_id] = (lending_right.epoch, limit, lender)
        return lender
