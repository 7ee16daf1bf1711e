"""Tests of the simulation that compares the policies."""
