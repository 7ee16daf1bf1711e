"""How long requests of a route usually take, learnt from answers."""

WEIGHT = 0.05  # share of the latest sample; some 20 answers of a route settle it
FIRST_GUESS_S = 0.1  # before the first answer; of the size of the sheets' objectives


class UsualTimes:
    """Moving averages in seconds, by route and by what is measured."""

    def __init__(self) -> None:
        self._seconds_by_subject: dict[tuple[str, str], float] = {}

    def get(self, route: str, measure: str) -> float:
        """Return the usual time of a measure on a route."""
        return self._seconds_by_subject.get((route, measure), FIRST_GUESS_S)

    def note(self, route: str, measure: str, seconds: float) -> float:
        """Take in a sample; return it in proportion to what was usual before it."""
        subject = (route, measure)
        usual_s = self._seconds_by_subject.get(subject)
        if usual_s is None:
            self._seconds_by_subject[subject] = seconds
            return 1.0
        ratio = seconds / max(usual_s, 1e-6)
        # A slow replica must not make slowness usual: a sample counts at twice the average at most.
        self._seconds_by_subject[subject] = usual_s + WEIGHT * (min(seconds, 2 * usual_s) - usual_s)
        return ratio
