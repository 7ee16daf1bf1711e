"""Handlers of the allowance messages; the node that they are called with has a `RateGate`."""

from typing import Protocol

import trio
from result import Err

from lagoonfold import AccountId, InstanceId
from lagoonfold_node._peers import CallRefused, InboundCall, handles
from lagoonfold_node._rates._gate import RateGate
from lagoonfold_node._rates._messages import (
    AllowanceGranted,
    AllowanceShort,
    BorrowAllowance,
    ReportAllowance,
)


class HasRates(Protocol):
    """What the handlers need of the node."""

    rates: RateGate


@handles(BorrowAllowance)
async def _lend(node: HasRates, call: InboundCall, message: BorrowAllowance) -> None:
    account_id = AccountId(message.account_id)
    answer = node.rates.lend(InstanceId(call.sender), account_id, message.request)
    if isinstance(answer, Err):
        call.reply(CallRefused.of(answer.err_value))
    elif isinstance(answer.ok_value, Err):
        call.reply(AllowanceShort(shortage=answer.ok_value.err_value))
    else:
        call.reply(AllowanceGranted(loan=answer.ok_value.ok_value))


@handles(ReportAllowance)
async def _take_report(node: HasRates, call: InboundCall, message: ReportAllowance) -> None:
    node.rates.lenders.report(
        InstanceId(call.sender),
        AccountId(message.account_id),
        message.reports,
        now_s=trio.current_time(),
    )
