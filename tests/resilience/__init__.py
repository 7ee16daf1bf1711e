"""Tests of lagoonfold.resilience."""
