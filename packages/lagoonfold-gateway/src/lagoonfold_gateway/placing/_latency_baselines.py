"""The typical latencies of the routes, learned from answers."""

SAMPLE_WEIGHT = 0.05  # share of the latest sample; the average settles after some 20 answers
INITIAL_BASELINE_S = 0.1  # before the first answer; near the engines' published latencies


class LatencyBaselines:
    """Holds moving averages in seconds by route and measure, such as "answer" or "event"."""

    def __init__(self) -> None:
        self._average_s_by_key: dict[tuple[str, str], float] = {}

    def get(self, route: str, measure: str) -> float:
        """Return the typical latency of a measure on a route, in seconds."""
        return self._average_s_by_key.get((route, measure), INITIAL_BASELINE_S)

    def record(self, route: str, measure: str, seconds: float) -> float:
        """Add a sample; return its ratio to the average before it."""
        key = (route, measure)
        baseline_s = self._average_s_by_key.get(key)
        if baseline_s is None:
            self._average_s_by_key[key] = seconds
            return 1.0
        ratio = seconds / max(baseline_s, 1e-6)
        # A sample counts as twice the average at most, so that a slow replica hardly raises it.
        self._average_s_by_key[key] = baseline_s + SAMPLE_WEIGHT * (
            min(seconds, 2 * baseline_s) - baseline_s
        )
        return ratio
