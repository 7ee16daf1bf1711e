"""Messages by which instances lend and borrow rate tokens."""

import msgspec

from lagoonfold.rates import Loan, LoanReport, LoanRequest, Shortage
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class RequestLoan(PeerMessage, tag="borrow-allowance"):
    """Sent by a borrower to the account's owner: a loan request, with reports of held loans.

    The answer is `LoanGranted`, `LoanRefused` or `CallRefused`.
    """

    account_id: str
    request: LoanRequest = msgspec.field(name="ask")


@peer_message
class LoanGranted(PeerMessage, tag="allowance-granted"):
    """The owner's answer to `RequestLoan`: a loan."""

    loan: Loan


@peer_message
class LoanRefused(PeerMessage, tag="allowance-short"):
    """The owner's answer to `RequestLoan` if it can lend nothing now."""

    shortage: Shortage


@peer_message
class ReportLoans(PeerMessage, tag="report-allowance"):
    """Sent by a borrower to the account's owner: what was spent of loans, and which are closed.

    There is no answer.
    """

    account_id: str
    reports: tuple[LoanReport, ...]
