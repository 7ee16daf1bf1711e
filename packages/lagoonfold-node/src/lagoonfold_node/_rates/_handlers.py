"""Handlers of loan requests and loan reports, which run on the account's owner."""

from typing import Protocol

import trio
from result import Err

from lagoonfold import AccountId, InstanceId
from lagoonfold_node._peers import CallRefused, InboundCall, handles
from lagoonfold_node._rates._messages import (
    LoanGranted,
    LoanRefused,
    ReportLoans,
    RequestLoan,
)
from lagoonfold_node._rates._rate_limiter import RateLimiter


class HasRates(Protocol):
    """The part of the node that these handlers use."""

    rates: RateLimiter


@handles(RequestLoan)
async def _lend(node: HasRates, call: InboundCall, message: RequestLoan) -> None:
    account_id = AccountId(message.account_id)
    answer = node.rates.lend(InstanceId(call.sender), account_id, message.request)
    if isinstance(answer, Err):
        call.reply(CallRefused.from_refusal(answer.err_value))
    elif isinstance(answer.ok_value, Err):
        call.reply(LoanRefused(shortage=answer.ok_value.err_value))
    else:
        call.reply(LoanGranted(loan=answer.ok_value.ok_value))


@handles(ReportLoans)
async def _apply_report(node: HasRates, call: InboundCall, message: ReportLoans) -> None:
    node.rates.lenders.report(
        InstanceId(call.sender),
        AccountId(message.account_id),
        message.reports,
        now_s=trio.current_time(),
    )
