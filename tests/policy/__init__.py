"""Tests of the model that the policies are compared in."""
