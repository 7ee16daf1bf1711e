"""Subsetting: the replicas of a large fleet that an instance considers and observes.

Each instance selects, for each model, the replicas that have the highest rendezvous weight with
it. The number of replicas that it observes is therefore bounded, however large the fleet, and a
replica that joins or leaves changes the candidates of few instances.

    choose_replica_subset(InstanceId("entry-1"), listed, per_model=16)
"""

from collections import defaultdict
from collections.abc import Iterable

from lagoonfold._ids import InstanceId, UpstreamId
from lagoonfold._ports import ListedInstance
from lagoonfold._rendezvous import rendezvous_weight

MAX_REPLICAS_PER_MODEL = 16


def choose_replica_subset(
    instance_id: InstanceId,
    listed: Iterable[ListedInstance],
    *,
    per_model: int = MAX_REPLICAS_PER_MODEL,
) -> frozenset[UpstreamId]:
    """Return the engines to consider: at most `per_model` for each model, none that is leaving."""
    engines_by_model: dict[str, list[ListedInstance]] = defaultdict(list)
    for engine in listed:
        if engine.role == "engine" and not engine.leaving:
            for model in engine.models:
                engines_by_model[model].append(engine)
    candidates: set[UpstreamId] = set()
    for engines in engines_by_model.values():
        ranked = sorted(
            engines,
            key=lambda engine: rendezvous_weight(instance_id, engine.instance_id),
            reverse=True,
        )
        candidates.update(UpstreamId(engine.instance_id) for engine in ranked[:per_model])
    return frozenset(candidates)
