"""The decisions that a run of the model is made with, and the calls that they are about."""

from collections.abc import Callable
from dataclasses import dataclass

from lagoonfold import Refusal, UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """The decisions that a run is made with, by their names in the registries."""

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
    """A call of a program on its way through a scheduler."""

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
