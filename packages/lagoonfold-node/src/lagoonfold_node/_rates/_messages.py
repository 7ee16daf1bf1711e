"""What instances say to each other about allowances."""

import msgspec

from lagoonfold.rates import Loan, LoanReport, LoanRequest, Shortage
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class RequestLoan(PeerMessage, tag="borrow-allowance"):
    """Asks the account's owner for a loan, with reports of the loans held."""

    account_id: str
    request: LoanRequest = msgspec.field(name="ask")


@peer_message
class LoanGranted(PeerMessage, tag="allowance-granted"):
    """The loan that answers an ask."""

    loan: Loan


@peer_message
class LoanRefused(PeerMessage, tag="allowance-short"):
    """Nothing can be lent now."""

    shortage: Shortage


@peer_message
class ReportLoans(PeerMessage, tag="report-allowance"):
    """Tells the account's owner what was spent of loans, and gives back what is closed."""

    account_id: str
    reports: tuple[LoanReport, ...]
