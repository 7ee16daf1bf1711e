"""What agents of an account get when their programs need more than its rate, or less."""

from lagoonfold.rates import RateLimit
from tests._suite import load_functions
from tests.rates._agent_load import AgentLoad

SEEDS = range(4)
DURATION_S = 60.0
TURNS_S = (0.2, 0.6)  # of programs that make seven and three calls for each second of their aim
RATES_PER_S = (12.0, 30.0)


def _share_in_time(rate_per_s: float, turn_s: float, overload: float) -> float:
    """Return the share of the programs' worth that is done in time."""
    limit = RateLimit(rate_per_s=rate_per_s, burst=rate_per_s)
    loads = [AgentLoad(limit, turn_s, overload, seed) for seed in SEEDS]
    for load in loads:
        load.run(DURATION_S)
    return sum(load.worth for load in loads) / sum(load.owed for load in loads)


def test_overloaded_account_finishes_three_quarters_of_what_its_rate_can_serve() -> None:
    """What begins is finished, and the rest is refused before it uses tokens."""
    overload = 1.5
    for rate_per_s in RATES_PER_S:
        for turn_s in TURNS_S:
            share = _share_in_time(rate_per_s, turn_s, overload)
            assert share >= 0.75 / overload, (rate_per_s, turn_s, share)


def test_account_with_rate_to_spare_finishes_its_programs() -> None:
    """No program is refused for the sake of others that the rate can serve as well."""
    for rate_per_s in RATES_PER_S:
        for turn_s in TURNS_S:
            share = _share_in_time(rate_per_s, turn_s, 0.4)
            assert share >= 0.9, (rate_per_s, turn_s, share)


load_tests = load_functions(globals())
