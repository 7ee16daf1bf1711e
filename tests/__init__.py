"""Tests of the lagoonfold workspace."""
