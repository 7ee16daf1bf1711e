"""Tests of the placement of requests on replicas."""
