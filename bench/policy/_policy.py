"""The policies of a simulated scheduler and the calls that it schedules."""

from collections.abc import Callable
from dataclasses import dataclass

from lagoonfold import Refusal, UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """The scheduling policies of a run.

    `order`, `chooser`, `cache` and `admission` are names in the registries of the library.
    `allowance` is the chooser's overcommit factor. `counts_sent` adds the calls sent since the last
    load report to the load of a replica. `sees_pace` turns on the detection of slow replicas by
    their throughput; with `shares_pace` the instances exchange ejection notices, and with
    `moves_calls` they move calls off ejected replicas.
    """

    order: str = "fair-least-attained"
    chooser: str = "memory-bound"
    cache: str = "keep"
    admission: str = "always-queue"
    has_priorities: bool = True
    has_weights: bool = True
    allowance: float = 1.0
    max_wait_s: float = 1e6
    counts_sent: bool = True
    sees_pace: bool = True
    shares_pace: bool = True
    moves_calls: bool = True


BASELINE = Policy(order="first-come", chooser="round-robin", has_priorities=False, sees_pace=False)


@dataclass(slots=True, kw_only=True, eq=False)
class ModelCall:
    """A model call of a program and its state in the scheduler."""

    call_id: str
    program_id: str
    account: int
    prompt_tokens: int
    completion_tokens: int
    attained_s: float
    is_first: bool
    deadline_s: float
    imported_tokens: int
    on_done: Callable[[UpstreamId, int], None]
    on_refused: Callable[[Refusal], None]
    on_failed: Callable[[], None]
    sent_s: float = 0.0
    computed_tokens: int = 0
    generated_tokens: int = 0
    is_moved: bool = False
