"""The blackboard of a gateway instance.

| cell | written by | holds |
|---|---|---|
| `config` | configuration controller | the newest configuration and its routes |
| `replicas` | replica controller | the directory of replicas; written again with each change |
| `live` | member controller | the instances that are heard from, this one included |
| `stopping` | the stop | whether this instance is leaving |
"""

from dataclasses import dataclass, field

from lagoonfold import Cell
from lagoonfold.forwarding import ForwardConfig, ReplicaDirectory, RouteTable


@dataclass(frozen=True, slots=True)
class ConfigView:
    """A configuration in force with its routes, since `since_s` on the own clock."""

    config: ForwardConfig
    routes: RouteTable
    since_s: float


@dataclass(frozen=True, slots=True)
class LiveView:
    """The instances that take part now, by id, and since when this has not changed.

    `is_unbroken` says that none has been lost since this instance started, and none has come after
    all should have found each other: then nobody else can have owned what this instance owns.
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
    live: Cell[LiveView] = field(default_factory=lambda: Cell("live", LiveView((), 0.0)))
    stopping: Cell[bool] = field(default_factory=lambda: Cell("stopping", False))
