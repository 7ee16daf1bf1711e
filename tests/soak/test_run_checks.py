"""Each check over a whole run reports a planted fault, and nothing without one."""

from dataclasses import replace

from soak._records import Try
from soak.run_checks import Arrival, Evacuation, Evidence, Freeze, find_evacuated_arrivals
from tests._suite import load_functions

LATE = Arrival(16.0, "a1", "r1", "zone-a")


def _evidence(*arrivals: Arrival, **options: object) -> Evidence:
    """Return evidence of arrivals, whose requests were all sent by the gateway g1."""
    tries = {each.attempt: Try(each.attempt, "g1", 0, each.at_s) for each in arrivals}
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


load_tests = load_functions(globals())
