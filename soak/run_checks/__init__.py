"""Checks over a whole run, each in a module of its own, without I/O."""

from soak.run_checks._evacuation import find_evacuated_arrivals
from soak.run_checks._evidence import Arrival, Evacuation, Evidence, Freeze
from soak.run_checks._registry import CHECK_BY_NAME, RunCheck, run_check

__all__ = [
    "CHECK_BY_NAME",
    "Arrival",
    "Evacuation",
    "Evidence",
    "Freeze",
    "RunCheck",
    "find_evacuated_arrivals",
    "run_check",
]
