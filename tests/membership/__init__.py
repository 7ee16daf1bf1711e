"""Tests of leases, the ownership table and the placement of shards."""
