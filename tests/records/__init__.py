"""Tests of the records of programs."""
