"""The order of a placement at the owner of a pool, from the message that asks for it."""

from lagoonfold.placement import PlacementOrder
from lagoonfold_gateway._messages import PlaceRequest

SESSION_PART_INDEX = 1  # first part of a prompt that sessions of a route don't share


def order_of(request: PlaceRequest, *, now_s: float) -> PlacementOrder:
    """Return the order of a request that is received now.

    A request from an earlier release tells no program, account and wait: it counts as begun.
    """
    return PlacementOrder(
        rank=request.rank,
        tie_break=now_s + request.soft_time_left_s,
        wait_until_s=now_s + _wait_s(request),
        may_wait=request.hold_s > 0,
        is_begun=request.is_begun,
        account=request.account,
        program=request.program,
        caller=_caller(request),
        waited_s=request.waited_s,
        answer_until_s=now_s + request.time_left_s,
    )


def _caller(request: PlaceRequest) -> str | None:
    """Return what a caller is known by when it returns: its program, or account and session."""
    if request.program is not None:
        return f"program/{request.program}"
    if request.account is None or len(request.parts) <= SESSION_PART_INDEX:
        return None
    return f"session/{request.account}/{request.parts[SESSION_PART_INDEX][0]}"


def _wait_s(request: PlaceRequest) -> float:
    """Return for how long a request may wait; an earlier release tells only its whole time."""
    return request.time_left_s if request.wait_s is None else request.wait_s
