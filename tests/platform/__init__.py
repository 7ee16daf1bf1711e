"""Tests of the platform adapters against stand-ins of the platform's services."""
