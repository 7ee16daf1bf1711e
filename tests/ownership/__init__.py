"""Tests of membership, shard ownership, recovery and group commit."""
