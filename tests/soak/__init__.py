"""Tests of the checks of the soak run."""
