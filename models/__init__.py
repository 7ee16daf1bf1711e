"""Small specifications of the core protocols, checked over every reachable state.

Each module specifies one protocol and the faults that its invariants must catch. `python -m models`
checks all of them and prints the number of states, the invariants and the mutants.
"""

from models import (
    at_most_once,
    budget_charges,
    configuration_log,
    configuration_views,
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
    "ownership",
    "rate_loans",
]
