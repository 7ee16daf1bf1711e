"""Experiments that choose a policy: the library's decisions against a plain model of engines.

It is no simulator of the cluster. Time is an input; one run is decided by its seed alone.

    python -m bench.policy order --workload brunner --seeds 5
"""
