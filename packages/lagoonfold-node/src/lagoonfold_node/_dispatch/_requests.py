"""What is asked of the dispatcher and what it gives."""

from dataclasses import dataclass
from enum import Enum

from lagoonfold import AccountId, CallId, ProgramId, UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """A call that needs an upstream.

    `target` names the model, tool or plain service. `content_digest` is the digest of what the
    upstream will run, the same for a repeat. `deadline_s` is on the process's clock;
    `max_wait_s` is how long the profile lets a program's first call queue. `attained_s` is the
    service that the program has had. `avoid` are upstreams that have failed this call already.
    """

    call_id: CallId
    program_id: ProgramId
    account_id: AccountId
    target: str
    content_digest: str
    deadline_s: float
    is_model: bool = True
    is_first: bool = True
    prompt_tokens: int = 0
    attained_s: float = 0.0
    weight: float = 1.0
    max_wait_s: float = 30.0
    avoid: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceUsage:
    """What a finished call used, in tokens; all zero for tools and plain services."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class Outcome(Enum):
    """How a placed call ended."""

    FINISHED = "finished"
    FAILED = "failed"
    WENT_DOWN = "went-down"
    GIVEN_UP = "given-up"


class Placement:
    """An upstream held for one call until the block of `Dispatcher.place` is left.

    The holder says how the call ended; one that says nothing has given it up.
    """

    def __init__(self, *, upstream_id: UpstreamId, address: str, priority: int) -> None:
        self.upstream_id = upstream_id
        self.address = address
        self.priority = priority
        self.outcome = Outcome.GIVEN_UP
        self.usage = ServiceUsage()

    def succeed(self, usage: ServiceUsage | None = None) -> None:
        """Note that the upstream ran the call to its end."""
        self.outcome = Outcome.FINISHED
        self.usage = usage or ServiceUsage()

    def fail(self, *, went_down: bool) -> None:
        """Note a failure of the upstream; `went_down` if its connection broke or fell silent."""
        self.outcome = Outcome.WENT_DOWN if went_down else Outcome.FAILED
