"""What is asked of the dispatcher and what it gives."""

from dataclasses import dataclass
from enum import Enum

import trio

from lagoonfold import AccountId, CallId, ProgramId, UpstreamId
from lagoonfold.scheduling import MonitoredCall


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """A call that needs an upstream.

    `target` names the model, tool or plain service. `content_digest` is the digest of what the
    upstream will run, the same for a repeat. `deadline_s` is on the process's clock;
    `max_wait_s` is how long the profile lets a program's first call queue. `attained_s` is the
    service that the program has had. `avoid` are upstreams that have failed this call already.
    `can_move` says that the call may be resumed elsewhere while it runs.
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
    can_move: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallUsage:
    """What a finished call used, in tokens; all zero for tools and plain services."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class PlacementOutcome(Enum):
    """How a placed call ended."""

    FINISHED = "finished"
    FAILED = "failed"
    WENT_DOWN = "went-down"
    BROKE_OFF = "broke-off"
    GIVEN_UP = "given-up"


class Placement:
    """An upstream held for one call until the block of `Dispatcher.place` is left.

    The holder says how the call ended; one that says nothing has given it up. A model call's holder
    keeps `monitored_call` current, and ends its try when `move_requested` is set.
    """

    def __init__(self, *, upstream_id: UpstreamId, address: str, priority: int) -> None:
        self.upstream_id = upstream_id
        self.address = address
        self.priority = priority
        self.outcome = PlacementOutcome.GIVEN_UP
        self.usage = CallUsage()
        self.monitored_call: MonitoredCall | None = None
        self.move_requested = trio.Event()

    def update_tokens(self, tokens: int) -> None:
        """Note how many tokens the answer has by now."""
        if self.monitored_call is not None:
            self.monitored_call.tokens = tokens

    def mark_backpressure(self) -> None:
        """Note that readers hold the answer back, so that its pace says nothing."""
        if self.monitored_call is not None:
            self.monitored_call.is_reader_blocked = True

    def succeed(self, usage: CallUsage | None = None) -> None:
        """Note that the upstream ran the call to its end."""
        self.outcome = PlacementOutcome.FINISHED
        self.usage = usage or CallUsage()

    def fail(self, *, went_down: bool, broke_off: bool = False) -> None:
        """Note a failure of the upstream.

        `went_down` if it answers no probe any more, `broke_off` if it does but the connection
        broke.
        """
        if went_down:
            self.outcome = PlacementOutcome.WENT_DOWN
        else:
            self.outcome = PlacementOutcome.BROKE_OFF if broke_off else PlacementOutcome.FAILED
