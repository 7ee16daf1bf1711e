"""Model-checked specifications of the core protocols.

Each module specifies one protocol as a state machine, with its invariants and with faults that
each break one of them. `python -m models` explores every reachable state and prints the number of
states, whether each invariant holds, and whether each fault is caught.
"""

from models import (
    at_most_once,
    budget_charges,
    configuration_log,
    configuration_views,
    kept_turns,
    ownership,
    rate_loans,
)
from models._specification import (
    SPECIFICATIONS_BY_NAME,
    Finding,
    Specification,
    check_faulty,
    check_sound,
)

__all__ = [
    "SPECIFICATIONS_BY_NAME",
    "Finding",
    "Specification",
    "at_most_once",
    "budget_charges",
    "check_faulty",
    "check_sound",
    "configuration_log",
    "configuration_views",
    "kept_turns",
    "ownership",
    "rate_loans",
]
