"""Build the request by which the dispatcher places a program's call."""

from lagoonfold.config import RouteKind
from lagoonfold.scheduling import estimate_service_s
from lagoonfold_node._dispatch import PlacementRequest
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._running import RunningCall

DEFAULT_MAX_WAIT_S = 30.0


def placement_request(
    executor: Executor, running: RunningCall, *, prompt_tokens: int = 0
) -> PlacementRequest:
    """Return the placement request of a call.

    Its rank depends on the program's attained service and on the weights of the profile and of the
    account; the profile also limits how long a first call may wait.
    """
    configuration = executor.config.read().configuration
    program = running.shard.state.programs_by_id.get(running.program_id)
    profile = configuration.profiles_by_name.get(program.profile) if program else None
    account = configuration.accounts_by_id.get(running.account_id)
    used_tokens = program.used.tokens if program else 0
    weight = (profile.weight if profile else 1.0) * (account.weight if account else 1.0)
    attained_s = estimate_service_s(prompt_tokens=0, cached_tokens=0, completion_tokens=used_tokens)
    return PlacementRequest(
        call_id=running.call_id,
        program_id=running.program_id,
        account_id=running.account_id,
        target=running.route.target,
        content_digest=running.content_digest,
        deadline_s=running.deadline_s,
        is_model=running.route.kind is RouteKind.MODEL,
        is_first=running.operation.turn == 1,
        prompt_tokens=prompt_tokens,
        can_move=running.route.kind is RouteKind.MODEL and running.route.is_idempotent,
        attained_s=attained_s,
        weight=weight,
        max_wait_s=profile.max_wait_s if profile else DEFAULT_MAX_WAIT_S,
    )
