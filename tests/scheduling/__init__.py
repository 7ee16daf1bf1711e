"""Tests of lagoonfold.scheduling."""
