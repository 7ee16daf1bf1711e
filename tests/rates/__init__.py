"""Tests of lagoonfold.rates."""
