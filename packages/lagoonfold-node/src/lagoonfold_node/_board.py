"""The blackboard of one instance: the cells through which its controllers share state.

Each cell has one writer, named in docs/ARCHITECTURE.md; any controller may read any cell.

    board = Board()
    board.stopping.subscribe(lambda stopping: caller_api.server.begin_shutdown())
    board.members.read()["entry-2"].peer_address
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from lagoonfold import Cell, InstanceId, ListedInstance, ShardId, UpstreamId
from lagoonfold.config import ConfigView


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberInfo:
    """A live instance of the fleet, read from its entry in the key-value service."""

    instance_id: InstanceId
    peer_address: str
    failure_domain: str
    is_leaving: bool = False


def _cell(name: str, value: Any) -> Any:
    return field(default_factory=lambda: Cell(name, value))


@dataclass(slots=True, kw_only=True)
class Board:
    """The cells; those declared as `Any` hold types of the subpackages that write them."""

    config: Cell[ConfigView] = _cell("config", ConfigView())
    lease: Cell[Any] = _cell("lease", None)
    ownership: Cell[Any] = _cell("ownership", None)
    members: Cell[Mapping[InstanceId, MemberInfo]] = _cell("members", {})
    shards: Cell[Mapping[ShardId, Any]] = _cell("shards", {})
    upstreams: Cell[Mapping[UpstreamId, ListedInstance]] = _cell("upstreams", {})
    allowances: Cell[Any] = _cell("allowances", None)
    stopping: Cell[bool] = _cell("stopping", False)
