"""The messages of the instance where a request arrived to those that place it."""

from lagoonfold.placement import ReplicaPool
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import PlacementEnd, PlaceRequest
from lagoonfold_gateway.placing._dispatch import PlacementEvidence
from lagoonfold_gateway.placing._placement_needs import PlacementNeed


def make_request(
    instance_id: str,
    failure_domain: str,
    number: int,
    pool: ReplicaPool,
    need: PlacementNeed,
    hold_s: float,
) -> PlaceRequest:
    """Return the request of an instance for a place in a pool, with its number there."""
    wait_s = max(0.0, need.place_until_s - now_s())
    return PlaceRequest(
        instance=instance_id,
        number=number,
        service=pool.service,
        pool_index=pool.index,
        pool_count=pool.count,
        route=need.route,
        parts=tuple((part.part_id, part.tokens) for part in need.parts),
        excluded=tuple(need.excluded),
        only=need.only,
        failure_domain=failure_domain,
        rank=need.rank,
        soft_time_left_s=need.soft_deadline_s - now_s(),
        time_left_s=max(0.0, need.answer_deadline_s - now_s()),
        hold_s=min(hold_s, wait_s),
        expected_tokens=need.expected_tokens,
        wait_s=wait_s,
        version=need.version,
        affinity=need.affinity,
        prompt_tokens=need.prompt_tokens,
        output_tokens=need.output_tokens,
        is_hedge=need.is_hedge,
        account=need.account,
        is_begun=need.is_begun,
        program=need.program,
        waited_s=_waited_s(need),
        knows_busy=True,
    )


def make_end(instance_id: str, number: int, evidence: PlacementEvidence) -> PlacementEnd:
    """Return the report that the request of this number has ended."""
    return PlacementEnd(
        instance=instance_id,
        number=number,
        route=evidence.route,
        outcome=evidence.outcome.value if evidence.outcome is not None else None,
        reported_load=evidence.reported_load,
        answer_s=evidence.answer_s,
        event_s=evidence.event_s,
        is_stream=evidence.is_stream,
        names_no_limit=evidence.names_no_limit,
        cold_s=evidence.cold_s,
        reported_pace=evidence.reported_pace,
        reported_pace_age_s=evidence.reported_pace_age_s,
    )


def _waited_s(need: PlacementNeed) -> float | None:
    since_s = need.waiting_since_s
    return None if since_s is None else max(0.0, now_s() - since_s)
