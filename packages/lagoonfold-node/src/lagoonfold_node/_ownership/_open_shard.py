"""A shard that this instance owns: its state, its journal's end, and group commit.

Records are applied as soon as they are committed to the queue, so that the next decision sees
them, and `commit` returns once they are durable. An answer that rests on a record is given only
after the commit that holds it.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial
from itertools import chain

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, ProgramId, Refusal, ShardId
from lagoonfold.records import (
    CallInterrupted,
    CallSettled,
    CheckpointPlan,
    Program,
    ProgramShard,
    Record,
    ShardReleased,
    Turn,
    segment_names,
    split_record,
)
from lagoonfold_node._ownership._batches import Batch, BatchQueue
from lagoonfold_node._ownership._blob_stores import BlobStore
from lagoonfold_node._ownership._checkpoint_schedule import CheckpointSchedule
from lagoonfold_node._ownership._checkpointer import Checkpointer
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._history import HistoryReader
from lagoonfold_node._ownership._journal_appender import AppendResult, JournalAppender
from lagoonfold_node._ownership._outcome_forwarder import OutcomeForwarder
from lagoonfold_node._ownership._refusals import shard_moved_refusal, store_outage_refusal
from lagoonfold_node._ownership._stall_policy import may_wait_out_stall, only_settle_calls

_STALLED = "the journal cannot be written"

WaitDurable = Callable[[], Awaitable[Result[None, Refusal]]]


class ShardStatus(Enum):
    """Whether the owner takes calls, is handing over, or has handed over or lost the shard."""

    OPEN = "open"
    RELEASING = "releasing"
    GONE = "gone"


class OpenShard:
    """One open shard; `run` is its committing task."""

    def __init__(
        self,
        context: OwnershipContext,
        blobs: BlobStore,
        shard_id: ShardId,
        state: ProgramShard,
        appender: JournalAppender,
        checkpointer: Checkpointer,
    ) -> None:
        self.shard_id = shard_id
        self.epoch = appender.epoch
        self.state = state
        self.status = ShardStatus.OPEN
        self._context = context
        self._history = HistoryReader(context, blobs, shard_id)
        self._appender = appender
        self._checkpointer = checkpointer
        self._forwarder = OutcomeForwarder(context, shard_id)
        self._queue = BatchQueue()
        self._schedule = CheckpointSchedule(context.settings.checkpoint_commits)
        self._settled_by_call: dict[str, trio.Event] = {}
        self._inherited_ids = frozenset(state.programs_by_id)

    @property
    def run_id(self) -> str:
        """Return the name under which this process sends calls."""
        return self._context.run_id

    def holds_ownership(self) -> bool:
        """Tell whether this process certainly is the owner at this moment.

        Ask again after every wait, immediately before each act.
        """
        if self.status is not ShardStatus.OPEN:
            return False
        if not self._context.has_lease() or not self._context.is_table_fresh():
            return False
        owner = self._context.owner(self.shard_id)
        return owner.run_id == self._context.run_id and owner.epoch == self.epoch

    def is_stalled(self) -> bool:
        """Tell whether the journal could not be written for a while."""
        return self._appender.is_stalled()

    async def wait_stalled(self) -> Refusal:
        """Wait until the journal is stalled; return what its callers are told."""
        await self._appender.wait_stalled()
        return store_outage_refusal(_STALLED)

    def predates_ownership(self, program_id: ProgramId) -> bool:
        """Tell whether the program is older than this ownership of its shard."""
        return program_id in self._inherited_ids

    async def commit(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Apply records and return when they are durable; without records, when all before are.

        A refusal means that the records may or may not become durable. A call whose `CallBegun` was
        refused must not be sent. `CallSettled` records reach the shard's new owner if it has moved.
        While the journal is stalled, outcomes and idempotent calls are waited for as long as it
        takes, and everything else is refused, though it stays queued.
        """
        return await self.submit(records)()

    def submit(self, records: tuple[Record, ...]) -> WaitDurable:
        """Apply records now, so that the next decision sees them.

        The returned function waits until they are durable, with the result of `commit`.
        """
        if self.status is not ShardStatus.OPEN:
            return partial(self._commit_elsewhere, records)
        refusal = self._refuse_commit(records)
        if refusal is not None:
            return partial(_refused, refusal)
        return partial(self._wait_durable, self._enqueue(records), records)

    async def _wait_durable(
        self, batch: Batch | None, records: tuple[Record, ...]
    ) -> Result[None, Refusal]:
        if batch is None:
            return Ok(None)
        started_at_s = trio.current_time()
        if may_wait_out_stall(records):
            await batch.done.wait()
        elif not await self._appender.wait_unless_stalled(batch.done):
            self._context.metrics.count("stalled_commits")
            return Err(store_outage_refusal(_STALLED))
        if not batch.is_durable:
            return await self._commit_elsewhere(records)
        self._context.metrics.record("commit", trio.current_time() - started_at_s)
        return Ok(None)

    async def read_history(
        self, program_id: ProgramId, *, wait_durable: bool = True
    ) -> Result[tuple[Turn, ...], Refusal]:
        """Return a program's turns, whose digest chain was checked.

        Without `wait_durable` the last turns may still be on their way to the journal: that is
        enough for a prompt, not for an answer to a caller.
        """
        program = self.state.programs_by_id.get(program_id)
        if program is None:
            detail = f"no program {program_id}"
            return Err(Refusal(kind=ErrorKind.NOT_FOUND, detail=detail))
        if wait_durable:
            durable = await self.commit(())
            if isinstance(durable, Err):
                return durable
        return await self._history.read(program)

    @property
    def checkpointed_sequence(self) -> int:
        """Return the first journal entry that the stored checkpoint does not cover."""
        return self._checkpointer.next_sequence

    def segment_names(self) -> tuple[str, ...]:
        """Return the names of the bulk values that hold turns."""
        return tuple(sorted(segment_names(self.state)))

    async def read_turn(self, program: Program, turn: int) -> Result[Turn, Refusal]:
        """Return one turn of a program, as for the replay of a call."""
        recent = program.recent_turn(turn)
        if recent is not None:
            return (await self.commit(())).map(lambda _: recent)
        history = await self.read_history(program.program_id)
        return history.map(lambda turns: turns[turn - 1])

    async def wait_settled(self, call_id: str) -> None:
        """Wait until a call is no longer under way, or the shard has moved."""
        running = {call.call_id for call in self.state.running_calls()}
        if call_id not in running or self.status is ShardStatus.GONE:
            return
        await self._settled_by_call.setdefault(call_id, trio.Event()).wait()

    async def run(self) -> None:
        """Commit what is queued until the shard is gone."""
        async with trio.open_nursery() as nursery:
            while self.status is not ShardStatus.GONE:
                await self._queue.wait()
                await self._appender.wait_until_due()
                if self._queue:
                    await self._commit_next(nursery)
            nursery.cancel_scope.cancel()

    async def release(self) -> None:
        """Hand the shard over: refuse new calls, make all records durable, and say so."""
        if self.status is not ShardStatus.OPEN:
            return
        self.status = ShardStatus.RELEASING
        batch = self._enqueue((ShardReleased(self.epoch),))
        await batch.done.wait()

    def _refuse_commit(self, records: tuple[Record, ...]) -> Refusal | None:
        """Return why records may not be queued; the settling of a call always may."""
        if only_settle_calls(records):
            return None
        if not self.holds_ownership():
            return self._why_not_owner()
        if not self.is_stalled() or may_wait_out_stall(records):
            return None
        return store_outage_refusal(_STALLED)

    def _why_not_owner(self) -> Refusal:
        owner = self._context.owner(self.shard_id)
        if owner is not None and owner.run_id == self._context.run_id:
            return store_outage_refusal("the lease or the ownership cannot be verified")
        return shard_moved_refusal(self.shard_id)

    def _enqueue(self, records: tuple[Record, ...]) -> Batch | None:
        """Apply and queue records; return the batch to wait for, None if all is durable."""
        if not records:
            return self._queue.last()
        batch = self._queue.last()
        for record in chain.from_iterable(split_record(each) for each in records):
            self.state.apply(record)
            self._note_settled(record)
            batch = self._queue.add(record)
        return batch

    def _note_settled(self, record: Record) -> None:
        if isinstance(record, CallSettled | CallInterrupted):
            event = self._settled_by_call.pop(record.call_id, None)
            if event is not None:
                event.set()

    async def _commit_next(self, nursery: trio.Nursery) -> None:
        batch = self._queue.send_first()
        plan = None
        if self._is_checkpoint_due():
            plan = self._checkpointer.plan(self.state, self._appender.next_sequence + 1)
        appended = await self._appender.append(tuple(batch.records))
        if appended is AppendResult.FENCED:
            self._context.metrics.count("shards_fenced")
            self._go(ShardStatus.GONE)
            return
        self._queue.finish_first()
        self._context.metrics.count("commits")
        self._context.metrics.count("committed_records", amount=len(batch.records))
        self._schedule.note_commit(batch.size_bytes)
        if isinstance(batch.records[-1], ShardReleased):
            self._go(ShardStatus.GONE)
        elif plan is not None:
            self._schedule.start()
            nursery.start_soon(self._store_checkpoint, plan)

    def _is_checkpoint_due(self) -> bool:
        """Tell whether to plan a checkpoint; the state must hold no records beyond one batch."""
        is_quiet = len(self._queue) == 1 and self.status is ShardStatus.OPEN
        return is_quiet and self._schedule.is_due()

    async def _store_checkpoint(self, plan: CheckpointPlan) -> None:
        stored = await self._checkpointer.store(self.state, plan)
        self._schedule.finish(is_stored=isinstance(stored, Ok))
        if isinstance(stored, Err):
            self._context.count_store_error(stored.err_value)
        else:
            self._context.metrics.count("checkpoints")

    def _go(self, status: ShardStatus) -> None:
        """End all waiting; what is not durable is the new owner's to decide."""
        self.status = status
        self._queue.abandon()
        for event in self._settled_by_call.values():
            event.set()
        self._settled_by_call.clear()

    async def _commit_elsewhere(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Take the settling of a call to the new owner; refuse everything else."""
        if only_settle_calls(records):
            return await self._forwarder.settle(records)
        return Err(shard_moved_refusal(self.shard_id))


async def _refused(refusal: Refusal) -> Result[None, Refusal]:
    return Err(refusal)
