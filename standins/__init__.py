"""Stand-ins of outside systems and helpers that start fleets, for tests, demos and benchmarks."""
