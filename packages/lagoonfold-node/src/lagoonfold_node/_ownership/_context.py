"""What the ownership controllers share: the store, the board, and this process's identity.

`OwnershipContext` reads the cells `lease`, `ownership` and `stopping`, and writes none.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from lagoonfold import (
    InstanceId,
    InstanceList,
    KeyValueStore,
    ProgramId,
    ShardId,
    StoreError,
    new_id,
)
from lagoonfold.membership import Member, ShardOwner, TableView
from lagoonfold_io.observe import EventLog, Metrics
from lagoonfold_node._board import Board

INSTANCES_PREFIX = "instances/"
ALLOCATOR_KEY = "allocator"
OWNERSHIP_KEY = "ownership"


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipSettings:
    """The settings of membership and recovery; times in seconds.

    A new owner waits `takeover_wait_s` after its predecessor's lease expired, and up to
    `handover_wait_s` for a live predecessor to release the shard, which is longer than the
    predecessor acts on a table that it can no longer verify. Records that arrive within
    `commit_interval_s` of the last call that wrote journal entries share the next call: the
    instance's own, or the failure domain's with `commits_through_committer`.
    """

    shard_count: int = 32
    lease_s: float = 9.0
    renew_s: float = 3.0
    takeover_wait_s: float = 1.0
    commit_interval_s: float = 0.005
    commits_through_committer: bool = False
    checkpoint_commits: int = 256
    ended_retention_s: float = 86_400.0

    @property
    def handover_wait_s(self) -> float:
        """Return the longest wait, in seconds, for a live predecessor to release a shard."""
        return self.lease_s + self.takeover_wait_s


def _new_incarnation() -> str:
    return new_id("run")


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipContext:
    """What all ownership controllers of one process use.

    `bus` is None without peers, `instance_list` without such a list. `on_expired` is called with
    each program whose wall time has run out, and its shard.
    """

    instance_id: InstanceId
    peer_address: str
    failure_domain: str
    store: KeyValueStore
    board: Board
    metrics: Metrics
    settings: OwnershipSettings = OwnershipSettings()
    bus: Any = None
    instance_list: InstanceList | None = None
    operator_address: str = ""
    on_expired: Callable[[ProgramId, Any], None] = lambda program_id, shard: None
    incarnation: str = field(default_factory=_new_incarnation)
    log: EventLog = field(default_factory=lambda: EventLog("ownership"))

    @property
    def member(self) -> Member:
        """Return this process's registration."""
        return Member(
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            address=self.peer_address,
            failure_domain=self.failure_domain,
            leaving=self.board.stopping.read(),
            operator_address=self.operator_address,
        )

    @property
    def run_id(self) -> str:
        """Return the id of this process."""
        return f"{self.instance_id}/{self.incarnation}"

    def has_lease(self) -> bool:
        """Return whether this instance's lease is unexpired on its own clock."""
        lease = self.board.lease.read()
        return lease is not None and lease.is_valid(trio.current_time())

    def table_view(self) -> TableView | None:
        """Return the ownership table as last read, None before the first read."""
        return self.board.ownership.read()

    def owner(self, shard_id: ShardId) -> ShardOwner | None:
        """Return the shard's owner in the table as last read, None before the first read."""
        view = self.table_view()
        return None if view is None else view.table.owner(shard_id)

    def is_table_fresh(self) -> bool:
        """Return whether the ownership table was verified within the last `lease_s` seconds."""
        view = self.table_view()
        if view is None:
            return False
        return trio.current_time() - view.verified_at_s < self.settings.lease_s

    def count_store_error(self, error: StoreError) -> None:
        """Count a failed call of the key-value service."""
        self.metrics.count("store_errors", error.kind.value)
