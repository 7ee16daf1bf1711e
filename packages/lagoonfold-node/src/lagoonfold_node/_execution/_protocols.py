"""What the execution needs of the ownership part."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Result

from lagoonfold import Epoch, InstanceId, ProgramId, Refusal, ShardId
from lagoonfold.records import Program, ProgramShard, Record, Turn

WaitDurable = Callable[[], Awaitable[Result[None, Refusal]]]


class ExecutionShard(Protocol):
    """A shard that this instance owns; `run_id` is the name under which it sends calls."""

    state: ProgramShard
    shard_id: ShardId
    epoch: Epoch
    run_id: str

    def holds_ownership(self) -> bool:
        """Tell whether this instance still owns the shard for certain."""

    def predates_ownership(self, program_id: ProgramId) -> bool:
        """Tell whether the program is older than this ownership of its shard."""

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
        """Wait until the journal could not be written for a while; return what callers are told."""

    async def wait_settled(self, call_id: str) -> None:
        """Wait until a call is no longer under way, or the shard has moved."""


class ShardLookup(Protocol):
    """The shards of the fleet as this instance knows them."""

    def owner_of(self, text: str) -> InstanceId | None:
        """Return the owner of a program or account."""

    def owner_lookup_refusal(self) -> Refusal | None:
        """Return what is told to those who wait for an owner, if no new one can be learned of."""

    def find_open_for(self, text: str) -> ExecutionShard | None:
        """Return the shard of a program or account if it is open here."""
