"""What an attempt shows of its replica, for the owner of its placement and for the log."""

from result import Err, Result

from lagoonfold.forwarding import AttemptOutcome, RouteKind
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.attempts._upstream_attempt import SUCCESS_BELOW, AttemptFailure
from lagoonfold_gateway.hedging import Claim
from lagoonfold_gateway.placing import Placement, PlacementEvidence


def evidence_of(
    ended: Result[None, AttemptFailure] | None,
    seen: RequestState,
    placement: Placement,
    claim: Claim,
    took_s: float,
) -> PlacementEvidence:
    """Return what an attempt shows of its replica; `ended` is None if it was cancelled.

    One that its hedge has overtaken was slow; without that, a slow replica would seem usual.
    """
    route = seen.route
    is_stream = route.kind is RouteKind.STREAM
    if ended is None:
        is_slow = claim.is_overtaken and not placement.is_hedge
        return PlacementEvidence(
            route=route.name, outcome=None, answer_s=took_s if is_slow else None
        )
    if isinstance(ended, Err):
        failure = ended.err_value
        is_evidence = failure.shows_fault and not seen.is_path_fault
        outcome = failure.outcome if is_evidence else None
        return PlacementEvidence(route=route.name, outcome=outcome)
    return PlacementEvidence(
        route=route.name,
        outcome=AttemptOutcome.ANSWERED,
        # A stream tells the load of its first event, which has changed by its end.
        reported_load=None if is_stream else seen.reported_load,
        reported_pace=seen.reported_pace,
        reported_pace_age_s=max(0.0, took_s - (seen.head_s or 0.0)),
        answer_s=took_s,
        event_s=seen.event_s,
        is_stream=is_stream,
        parts=seen.parsed.parts,
        names_no_limit=seen.status < SUCCESS_BELOW and not seen.named_limits,
        cold_s=None if seen.cold_until_s is None else max(0.0, seen.cold_until_s - now_s()),
    )


def describe_replica(placement: Placement) -> str:
    """Return the replica of an attempt and why it was selected, for the log."""
    selection = placement.selection
    return (
        f"{selection.replica.replica_id} version={selection.replica.version or None}"
        f" by={placement.owner or 'self'} load={selection.requests}"
    )


def describe_answer(placement: Placement, seen: RequestState) -> str:
    """Return what the answer of an attempt has shown, for the log."""
    selection = placement.selection
    head = "None" if seen.head_s is None else f"{seen.head_s:.3f}"
    return (
        f"told={seen.reported_load} pace={selection.slowdown:.2f}"
        f" told_pace={seen.reported_pace}"
        f" uncached={selection.uncached_tokens} head={head}"
        f" limit={','.join(seen.named_limits) or None} via={seen.via}"
        f" answer={seen.answer_kind}"
    )


def describe_hedging(placement: Placement, claim: Claim) -> str:
    """Return how two attempts side by side concern this one, for the end of its log line."""
    return " hedge" * placement.is_hedge + " overtaken" * claim.is_overtaken
