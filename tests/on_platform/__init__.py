"""Tests of on platform."""
