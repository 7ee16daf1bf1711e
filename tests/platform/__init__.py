"""Tests of the adapters to the platform against its stand-ins."""
