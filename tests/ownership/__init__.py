"""Tests of the controllers that own shards."""
