"""Checks over a whole run, each in a module of its own, without I/O."""

from soak.run_checks._cold import COLD_PER_S, find_cold_excesses
from soak.run_checks._evacuation import find_evacuated_arrivals
from soak.run_checks._evidence import AccountLimit, Arrival, Evacuation, Evidence, Freeze, Stall
from soak.run_checks._rates import find_exceeded_rates
from soak.run_checks._registry import CHECK_BY_NAME, RunCheck, run_check
from soak.run_checks._runs_once import find_repeated_runs

__all__ = [
    "CHECK_BY_NAME",
    "COLD_PER_S",
    "AccountLimit",
    "Arrival",
    "Evacuation",
    "Evidence",
    "Freeze",
    "RunCheck",
    "Stall",
    "find_cold_excesses",
    "find_evacuated_arrivals",
    "find_exceeded_rates",
    "find_repeated_runs",
    "run_check",
]
