"""Tests of the daemon's parts with in-process fakes."""
