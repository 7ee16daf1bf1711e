"""The command line `lagoonfold` for operators."""

from lagoonfold_ctl._main import main

__all__ = ["main"]
