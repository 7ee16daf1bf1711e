"""The operators' command line of lagoonfold."""

from lagoonfold_ctl._main import main

__all__ = ["main"]
