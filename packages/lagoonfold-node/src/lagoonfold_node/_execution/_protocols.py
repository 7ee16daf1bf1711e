"""The interfaces through which this sub-package uses shard ownership."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Result

from lagoonfold import Epoch, InstanceId, ProgramId, Refusal, ShardId
from lagoonfold.records import Program, ProgramShard, Record, Turn

WaitDurable = Callable[[], Awaitable[Result[None, Refusal]]]


class ExecutionShard(Protocol):
    """A shard that this instance owns.

    `run_id` identifies the process that sends the calls; it is stored in their begin records.
    """

    state: ProgramShard
    shard_id: ShardId
    epoch: Epoch
    run_id: str

    def holds_ownership(self) -> bool:
        """Return whether this instance certainly still owns the shard."""

    def predates_ownership(self, program_id: ProgramId) -> bool:
        """Return whether the program was created before this instance took the shard over."""

    def submit(self, records: tuple[Record, ...]) -> WaitDurable:
        """Apply records now; the returned function waits until they are durable."""

    async def commit(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Apply records now and wait until they are durable."""

    async def read_history(
        self, program_id: ProgramId, *, wait_durable: bool = True
    ) -> Result[tuple[Turn, ...], Refusal]:
        """Return a program's whole history, checked against its digest chain."""

    async def read_turn(self, program: Program, turn: int) -> Result[Turn, Refusal]:
        """Return one turn of a program."""

    async def wait_stalled(self) -> Refusal:
        """Wait until the journal is stalled; return the refusal to send to callers."""

    async def wait_settled(self, call_id: str) -> None:
        """Wait until a call has settled, or the shard has moved to another owner."""


class ShardLookup(Protocol):
    """The owners of all shards, as far as this instance knows them, and the shards open here."""

    def owner_of(self, text: str) -> InstanceId | None:
        """Return the owner of a program or account, or None if it has none."""

    def owner_lookup_refusal(self) -> Refusal | None:
        """Return the refusal to use if this instance can't learn of a new owner, else None."""

    def find_open_for(self, text: str) -> ExecutionShard | None:
        """Return the shard of a program or account if it is open here, else None."""
