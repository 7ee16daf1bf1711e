"""Runs the command line as `python -m lagoonfold_ctl`."""

from lagoonfold_ctl import main

main()
