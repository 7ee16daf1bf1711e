"""How long requests of a route usually take, learnt from answers."""

SAMPLE_WEIGHT = 0.05  # share of the latest sample; some 20 answers of a route settle it
INITIAL_BASELINE_S = 0.1  # before the first answer; of the size of the sheets' objectives


class LatencyBaselines:
    """Moving averages in seconds, by route and by what is measured."""

    def __init__(self) -> None:
        self._average_s_by_key: dict[tuple[str, str], float] = {}

    def get(self, route: str, measure: str) -> float:
        """Return the usual time of a measure on a route."""
        return self._average_s_by_key.get((route, measure), INITIAL_BASELINE_S)

    def record(self, route: str, measure: str, seconds: float) -> float:
        """Take in a sample; return it in proportion to what was usual before it."""
        key = (route, measure)
        baseline_s = self._average_s_by_key.get(key)
        if baseline_s is None:
            self._average_s_by_key[key] = seconds
            return 1.0
        ratio = seconds / max(baseline_s, 1e-6)
        # A slow replica must not make slowness usual: a sample counts at twice the average at most.
        self._average_s_by_key[key] = baseline_s + SAMPLE_WEIGHT * (
            min(seconds, 2 * baseline_s) - baseline_s
        )
        return ratio
