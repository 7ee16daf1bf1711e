"""The dispatcher's requests and placements."""

from dataclasses import dataclass
from enum import Enum

import trio

from lagoonfold import AccountId, CallId, ProgramId, UpstreamId
from lagoonfold.scheduling import MonitoredCall


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """A call that needs an upstream.

    `target` names the model, tool or plain service. `content_digest` is the digest of the content
    that the upstream runs, and is the same for a repeat. `deadline_s` is a time of the trio clock,
    `max_wait_s` is how long the profile allows a program's first call to queue, and `attained_s`
    is the service that the program has received so far, in upstream seconds. `avoid` contains the
    upstreams on which this call has failed already. `can_move` is set if the call may be resumed
    on another replica while it runs.
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
    """The tokens that a finished call used; all zero for tools and plain services."""

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

    The holder calls `succeed` or `fail`; otherwise the call counts as given up. The holder of a
    model call also calls `update_tokens` and `mark_backpressure` while the call runs, and ends the
    attempt when `move_requested` is set.
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
        """Record how many tokens the answer has so far."""
        if self.monitored_call is not None:
            self.monitored_call.tokens = tokens

    def mark_backpressure(self) -> None:
        """Mark that readers hold the answer back, so its throughput is not sampled."""
        if self.monitored_call is not None:
            self.monitored_call.is_reader_blocked = True

    def succeed(self, usage: CallUsage | None = None) -> None:
        """Record that the upstream ran the call to its end."""
        self.outcome = PlacementOutcome.FINISHED
        self.usage = usage or CallUsage()

    def fail(self, *, went_down: bool, broke_off: bool = False) -> None:
        """Record a failure of the upstream.

        Set `went_down` if the upstream no longer answers a probe, and `broke_off` if it answers
        but the connection broke.
        """
        if went_down:
            self.outcome = PlacementOutcome.WENT_DOWN
        else:
            self.outcome = PlacementOutcome.BROKE_OFF if broke_off else PlacementOutcome.FAILED
