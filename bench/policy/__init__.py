"""Experiments that compare the scheduling policies of the library on simulated engines.

They simulate the engines and the program load, but not the network, the store or the processes of
a cluster. Time is simulated, so a seed determines a run completely.

    python -m bench.policy order --workload brunner --seeds 5
"""
