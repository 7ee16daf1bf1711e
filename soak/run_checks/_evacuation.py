"""No request reaches a replica of an evacuated failure domain 5.0 s after the acknowledgement."""

from soak.run_checks._evidence import Arrival, Evidence
from soak.run_checks._registry import run_check

# A replica cannot observe when a request was sent, so 0.5 s are added to the bound of 5.0 s.
EVACUATE_S = 5.5
# A gateway that was suspended within this time is not in contact, and the bound does not hold.
CONTACT_S = 4.0


@run_check("evacuated", is_timed=True)
def find_evacuated_arrivals(evidence: Evidence) -> list[str]:
    """Return the requests that reached a replica of an evacuated failure domain too late."""
    return [
        f"{arrival.attempt} reached {arrival.replica} of {evacuation.zone}"
        f" {arrival.at_s - evacuation.acknowledged_s:.3f} s after the acknowledgement, from"
        f" {evidence.gateway_of(arrival)}"
        for evacuation in evidence.evacuations
        for arrival in evidence.checked_arrivals
        if arrival.zone == evacuation.zone
        and evacuation.acknowledged_s + EVACUATE_S < arrival.at_s < evacuation.removed_s
        and not _was_suspended(evidence, arrival)
    ]


def _was_suspended(evidence: Evidence, arrival: Arrival) -> bool:
    gateway = evidence.gateway_of(arrival)
    return any(
        freeze.gateway == gateway and freeze.begun_s < arrival.at_s < freeze.ended_s + CONTACT_S
        for freeze in evidence.freezes
    )
