"""The blackboard of a gateway instance.

| cell | written by | holds |
|---|---|---|
| `config` | configuration controller | the newest configuration and its routes |
| `replicas` | replica controller | the directory of replicas; written again with each change |
| `evacuations` | evacuation controller | the evacuated failure domains |
| `live` | member controller | the live instances, this one included |
| `capacities` | member controller | the processor cores of the live instances by id |
| `disks` | disk controller | the disks that hold kept turns; None until they are known |
| `stopping` | `Gateway.stop` | whether this instance is leaving |
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonfold import Cell
from lagoonfold.forwarding import ForwardConfig, ReplicaDirectory, RouteTable
from lagoonfold.histories import Disk


@dataclass(frozen=True, slots=True)
class ConfigView:
    """A configuration and its routes, in force since `since_s` on this instance's clock."""

    config: ForwardConfig
    routes: RouteTable
    since_s: float


@dataclass(frozen=True, slots=True)
class EvacuationView:
    """The failure domains whose replicas get no new requests.

    `restored_s_by_domain` has when evacuations ended, on this instance's clock.
    """

    domains: frozenset[str] = frozenset()
    restored_s_by_domain: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LiveView:
    """The ids of the live instances and the time of their last change.

    `is_stable_since_start` means that since this instance started none was lost, and none joined
    after the time in which all find each other. Then no other instance can have owned what this
    one owns.
    """

    ids: tuple[str, ...]
    since_s: float
    is_stable_since_start: bool = True


@dataclass(frozen=True, slots=True)
class GatewayBoard:
    """All cells of one instance."""

    config: Cell[ConfigView | None] = field(default_factory=lambda: Cell("config", None))
    replicas: Cell[ReplicaDirectory] = field(
        default_factory=lambda: Cell("replicas", ReplicaDirectory())
    )
    evacuations: Cell[EvacuationView] = field(
        default_factory=lambda: Cell("evacuations", EvacuationView())
    )
    live: Cell[LiveView] = field(default_factory=lambda: Cell("live", LiveView((), 0.0)))
    capacities: Cell[Mapping[str, float]] = field(default_factory=lambda: Cell("capacities", {}))
    disks: Cell[tuple[Disk, ...] | None] = field(default_factory=lambda: Cell("disks", None))
    stopping: Cell[bool] = field(default_factory=lambda: Cell("stopping", False))
