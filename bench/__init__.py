"""Load tests, cost measurements and policy experiments.

Each command starts what it needs, prints its results and ends by itself.
"""
