"""Token budgets, enforced across all instances, of programs that carry their own history."""

from lagoonfold.budgets._credit_meter import TurnCreditMeter
from lagoonfold.budgets._first_grants import FirstGrants
from lagoonfold.budgets._ledger import BudgetRecord, ProgramLedger

__all__ = ["BudgetRecord", "FirstGrants", "ProgramLedger", "TurnCreditMeter"]
