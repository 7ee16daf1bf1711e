"""Token budgets of programs that carry their own history, kept over all instances."""

from lagoonfold.budgets._ledger import BudgetRecord, ProgramLedger
from lagoonfold.budgets._tally import TurnTally

__all__ = ["BudgetRecord", "ProgramLedger", "TurnTally"]
