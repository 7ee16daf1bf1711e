"""Each check over a whole run reports a planted fault, and nothing without one."""

from dataclasses import replace

from soak._records import Try
from soak.run_checks import (
    AccountLimit,
    Arrival,
    Evacuation,
    Evidence,
    Freeze,
    Stall,
    find_cold_excesses,
    find_evacuated_arrivals,
    find_exceeded_rates,
    find_repeated_runs,
)
from tests._suite import load_functions

LATE = Arrival(16.0, "a1", "r1", "zone-a")


def _evidence(*arrivals: Arrival, **options: object) -> Evidence:
    """Return evidence of arrivals, whose requests were all sent by the gateway g1."""
    tries = {each.attempt: Try(each.attempt, "g1", 0, each.at_s, "t") for each in arrivals}
    fields: dict = {"try_by_attempt": tries, **options}
    return Evidence(arrivals=list(arrivals), **fields)


def test_request_at_an_evacuated_replica_is_found() -> None:
    """A request is sent to a failure domain after it must have been left."""
    evacuations = [Evacuation("zone-a", 10.0, 20.0)]
    faults = find_evacuated_arrivals(_evidence(LATE, evacuations=evacuations))
    assert len(faults) == 1 and "a1 reached r1 of zone-a" in faults[0]
    allowed = (
        replace(LATE, at_s=15.4),
        replace(LATE, at_s=20.1),
        replace(LATE, zone="zone-b"),
    )
    for arrival in allowed:
        assert find_evacuated_arrivals(_evidence(arrival, evacuations=evacuations)) == []


def test_gateway_out_of_contact_is_not_held_to_the_evacuation() -> None:
    """The bound does not hold for one that was suspended, and holds again 4 s later."""
    options = {"evacuations": [Evacuation("zone-a", 0.0)]}
    for freeze, count in ((Freeze("g1", 15.0), 0), (Freeze("g1", 9.0, 11.9), 1)):
        evidence = _evidence(LATE, freezes=[freeze], **options)
        assert len(find_evacuated_arrivals(evidence)) == count
    assert len(find_evacuated_arrivals(_evidence(LATE, **options))) == 1


def test_previous_build_is_not_checked() -> None:
    """The bound does not hold for gateways of the previous build."""
    options = {"evacuations": [Evacuation("zone-a", 0.0)]}
    evidence = _evidence(LATE, old_gateways=frozenset({"g1"}), **options)
    assert find_evacuated_arrivals(evidence) == []


def test_cold_replica_with_too_many_requests_is_found() -> None:
    """A cold replica gets 46 requests in a second, where 45.5 are allowed."""
    cold = replace(LATE, started=1, is_cold=True)
    arrivals = [replace(cold, attempt=f"a{n}", at_s=10.0 + n * 0.02) for n in range(46)]
    assert len(find_cold_excesses(_evidence(*arrivals))) == 1
    assert find_cold_excesses(_evidence(*arrivals[:45])) == []
    assert find_cold_excesses(_evidence(*(replace(each, is_cold=False) for each in arrivals))) == []
    halves = [replace(each, started=2) for each in arrivals[23:]]
    assert find_cold_excesses(_evidence(*arrivals[:23], *halves)) == []
    assert find_cold_excesses(_evidence(*arrivals, stalls=[Stall(10.1, 10.3)])) == []


def _requests(count: int, from_s: float, gap_s: float) -> list[Arrival]:
    return [replace(LATE, attempt=f"a{n}", at_s=from_s + n * gap_s) for n in range(count)]


def test_account_above_its_rate_is_found() -> None:
    """An account gets more than (10 x 5 + 10) x 1.1 + 20 = 86 requests within 5 s."""
    limits = [AccountLimit("t", 0.0, 10.0, 10.0)]
    for arrivals, count in ((_requests(87, 8.0, 0.05), 1), (_requests(86, 8.0, 0.05), 0)):
        assert len(find_exceeded_rates(_evidence(*arrivals, limits=limits))) == count
    arrivals = _requests(100, 8.0, 0.06)  # 84 within any 5 s
    assert find_exceeded_rates(_evidence(*arrivals, limits=limits)) == []


def test_requests_sent_before_the_window_and_repeated_ones_count_once_at_most() -> None:
    """A queue that empties at once, and a second run, are no requests beyond the rate."""
    limits = [AccountLimit("t", 0.0, 10.0, 10.0)]
    arrivals = _requests(80, 8.0, 0.05)
    assert find_exceeded_rates(_evidence(*arrivals, *arrivals[:20], limits=limits)) == []
    evidence = _evidence(*_requests(100, 8.0, 0.01), limits=limits)
    assert len(find_exceeded_rates(evidence)) == 1
    for sent in evidence.try_by_attempt.values():
        sent.sent_s -= 6.0
    assert find_exceeded_rates(evidence) == []


def test_lowered_rate_is_checked_once_it_applies() -> None:
    """The earlier limit allows more only until the later one must be in force."""
    limits = [AccountLimit("t", 0.0, 40.0, 40.0), AccountLimit("t", 10.0, 10.0, 10.0)]
    for from_s, count in ((9.0, 0), (30.0, 1)):
        evidence = _evidence(*_requests(100, from_s, 0.04), limits=limits)
        assert len(find_exceeded_rates(evidence)) == count


def test_request_that_runs_twice_is_found() -> None:
    """Also one that has run although its status guarantees that it has not."""
    once = {"once_attempts": frozenset({"a1"})}
    assert find_repeated_runs(_evidence(LATE, **once)) == []
    again = replace(LATE, replica="r2")
    assert find_repeated_runs(_evidence(LATE, again)) == []
    assert find_repeated_runs(_evidence(LATE, again, **once)) == ["a1 ran at r1, r2"]
    evidence = _evidence(LATE, **once)
    evidence.try_by_attempt["a1"].status = 503
    assert find_repeated_runs(evidence) == ["a1 ran at r1 but was answered with 503"]


load_tests = load_functions(globals())
