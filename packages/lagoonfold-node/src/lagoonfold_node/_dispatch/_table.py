"""The state of each listed upstream, as this instance knows it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonfold import InstanceId, ListedInstance, UpstreamId
from lagoonfold.resilience import CircuitBreaker, RetryBudget
from lagoonfold.scheduling import (
    MAX_REPLICAS_PER_MODEL,
    CachedPrefixes,
    ReplicaLoad,
    choose_replica_subset,
)

LOAD_LAG_S = 1.0
UNREPORTED_SLOTS = 64


@dataclass(slots=True, kw_only=True)
class UpstreamState:
    """One upstream: its entry in the list, load, circuit breaker and retry budget.

    `next_event` is the number of the last cache event that was read.
    """

    listed: ListedInstance
    load: ReplicaLoad
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    retries: RetryBudget = field(default_factory=RetryBudget)
    next_event: int = 0


class UpstreamTable:
    """The upstreams by id, updated from the instance list.

    An upstream that is no longer listed is dropped with its load and breaker. One that is leaving
    stays, since calls may still run there, but gets no new calls. For each model, at most
    `per_model` engines are candidates of this instance.
    """

    def __init__(self, instance_id: InstanceId, *, per_model: int = MAX_REPLICAS_PER_MODEL) -> None:
        self._instance_id = instance_id
        self._per_model = per_model
        self._candidates: frozenset[UpstreamId] = frozenset()
        self.states_by_id: dict[UpstreamId, UpstreamState] = {}
        self.prefixes = CachedPrefixes()

    def update(self, listed_by_id: Mapping[UpstreamId, ListedInstance]) -> None:
        """Replace the list; an upstream with a new address starts with a new state."""
        for upstream_id in tuple(self.states_by_id):
            if upstream_id not in listed_by_id:
                del self.states_by_id[upstream_id]
                self.prefixes.forget_upstream(upstream_id)
        for upstream_id, listed in listed_by_id.items():
            state = self.states_by_id.get(upstream_id)
            if state is not None and state.listed.address == listed.address:
                state.listed = listed
            else:
                self.states_by_id[upstream_id] = _new_state(upstream_id, listed)
                self.prefixes.forget_upstream(upstream_id)
        self._candidates = choose_replica_subset(
            self._instance_id, listed_by_id.values(), per_model=self._per_model
        )

    @property
    def instance_id(self) -> InstanceId:
        """The instance that this table belongs to."""
        return self._instance_id

    def candidates(self) -> list[UpstreamState]:
        """Return the engines that this instance polls and sends calls to."""
        return [self.states_by_id[upstream_id] for upstream_id in sorted(self._candidates)]

    def engine_ids(self) -> tuple[UpstreamId, ...]:
        """Return the ids of all listed engines, including those that are leaving."""
        return tuple(
            upstream_id
            for upstream_id, state in self.states_by_id.items()
            if state.listed.role == "engine"
        )

    def serving(self, target: str, *, is_model: bool) -> list[UpstreamState]:
        """Return the upstreams that may serve a model or service and are not leaving."""
        return [
            state
            for upstream_id, state in self.states_by_id.items()
            if not state.listed.leaving
            and _serves(state.listed, target, is_model)
            and (not is_model or upstream_id in self._candidates)
        ]


def _serves(listed: ListedInstance, target: str, is_model: bool) -> bool:
    if is_model:
        return listed.role == "engine" and target in listed.models
    return listed.role in ("tool", "service") and listed.service == target


def _new_state(upstream_id: UpstreamId, listed: ListedInstance) -> UpstreamState:
    load = ReplicaLoad(upstream_id, slots=UNREPORTED_SLOTS, lag_s=LOAD_LAG_S)
    return UpstreamState(listed=listed, load=load)
