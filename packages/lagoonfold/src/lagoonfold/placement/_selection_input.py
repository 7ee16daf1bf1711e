"""The properties of a request that affect the choice of its replica."""

from collections.abc import Collection
from dataclasses import dataclass

from lagoonfold.forwarding import Replica
from lagoonfold.placement._prompt_cache_index import PromptPart


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionInput:
    """The properties of a request that affect the selection.

    `typical_latency_s` is that of its route, `parts` its prompt if it has one, and `failure_domain`
    that of the instance that sends it. The replicas in `excluded` must not be selected; `only`, if
    it is set, is the only one that may be, and so are replicas of `version`, if that is set.
    Requests of the same `affinity` concern the same object. `expected_tokens` is how many it is
    expected to generate, None if that is not known. The most that it may generate is
    `output_tokens`, the length of its prompt `prompt_tokens`; both are 0 if they are not known.
    With `is_hedge` it is a second attempt, which only a clearly free replica gets. With
    `by_reports` the instance that selects does not know what others place, and a replica counts for
    at least the requests that it has reported within the last second.
    """

    typical_latency_s: float
    parts: tuple[PromptPart, ...] = ()
    excluded: Collection[str] = ()
    only: str | None = None
    failure_domain: str = ""
    expected_tokens: int | None = None
    version: str | None = None
    affinity: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    is_hedge: bool = False
    by_reports: bool = False

    @property
    def is_restricted(self) -> bool:
        """Return whether some replicas must not be selected."""
        return bool(self.excluded) or self.only is not None or self.version is not None

    def allows(self, replica: Replica) -> bool:
        """Return whether a replica may be selected."""
        is_usable = replica.replica_id not in self.excluded
        is_usable = is_usable and self.only in (None, replica.replica_id)
        return is_usable and self.version in (None, replica.version)
