"""The engine of a replica: how fast it is at a time, and which requests its token memory holds."""

import random
from dataclasses import dataclass, field

MAX_PERMANENT_PACE = 2.4  # times the usual time, of the slowest replica of a service
NOISE_STEP_S = 0.6  # the noise of the pace is correlated over this time
NOISE = (0.7, 1.5)


def pace_at(seed: int, replica_id: str, at_s: float) -> float:
    """Return how long work takes at a time, where 1 is normal.

    The value drifts between values drawn for every `NOISE_STEP_S`; replicas differ permanently.
    """
    permanent = random.Random(f"{seed}/{replica_id}/pace").uniform(1.0, MAX_PERMANENT_PACE)
    step, share = divmod(at_s / NOISE_STEP_S, 1.0)
    before, after = (
        random.Random(f"{seed}/{replica_id}/{number}").uniform(*NOISE)
        for number in (int(step), int(step) + 1)
    )
    return permanent * (before + (after - before) * share)


@dataclass(frozen=True, slots=True)
class TokenClaim:
    """The tokens of a request: of its prompt's parts by their ids, and of everything else."""

    tokens_by_part: dict[str, int]
    other_tokens: int


@dataclass(slots=True)
class TokenMemory:
    """The claims of running requests, oldest first. The newest that do not fit are preempted.

    memory = TokenMemory(1_000)
    memory.claim_by_run[1] = TokenClaim({"p": 500}, 200)
    memory.claim_by_run[2] = TokenClaim({"p": 500}, 400)  # holds the same part
    memory.preempted()    # {2}
    """

    capacity_tokens: int
    claim_by_run: dict[int, TokenClaim] = field(default_factory=dict)

    def preempted(self) -> set[int]:
        """Return the runs that have to wait until older ones end."""
        tokens_by_part: dict[str, int] = {}
        other_tokens, runs = 0, set()
        for run_id, claim in self.claim_by_run.items():
            parts = tokens_by_part | claim.tokens_by_part
            others = other_tokens + claim.other_tokens
            if sum(parts.values()) + others > self.capacity_tokens:
                runs.add(run_id)
            else:
                tokens_by_part, other_tokens = parts, others
        return runs


def read_claim(token_count: str, prompt_prefix: str) -> TokenClaim:
    """Return the claim of a request from its header fields, such as "654,72" and "a:512,b:142"."""
    counts = [int(each) for each in token_count.split(",") if each]
    pairs = (each.partition(":") for each in prompt_prefix.split(",") if each)
    tokens_by_part = {part: int(tokens) for part, _, tokens in pairs}
    return TokenClaim(tokens_by_part, max(0, sum(counts) - sum(tokens_by_part.values())))
