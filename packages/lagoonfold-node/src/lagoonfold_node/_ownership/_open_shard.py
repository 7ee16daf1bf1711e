"""A shard that this instance owns: its state, its journal, and group commit.

Records are applied to the state when they are queued, so that the next decision sees them, and
`commit` returns once they are durable. An answer that depends on a record is sent only after the
record's commit.
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

_STALLED_DETAIL = "the journal cannot be written"

WaitDurable = Callable[[], Awaitable[Result[None, Refusal]]]


class ShardStatus(Enum):
    """Whether the shard accepts calls, is being handed over, or was handed over or lost."""

    OPEN = "open"
    RELEASING = "releasing"
    GONE = "gone"


class OpenShard:
    """Hold one open shard; `run` commits its queued records."""

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
        """Return the id of this process, which is recorded as the executor of its calls."""
        return self._context.run_id

    def holds_ownership(self) -> bool:
        """Return whether this process is certain to be the owner at this moment.

        Check again after every await, immediately before each action that requires ownership.
        """
        if self.status is not ShardStatus.OPEN:
            return False
        if not self._context.has_lease() or not self._context.is_table_fresh():
            return False
        owner = self._context.owner(self.shard_id)
        return owner.run_id == self._context.run_id and owner.epoch == self.epoch

    def is_stalled(self) -> bool:
        """Return whether the journal is stalled, as `JournalAppender` defines it."""
        return self._appender.is_stalled()

    async def wait_stalled(self) -> Refusal:
        """Wait until the journal is stalled; return the refusal for its callers."""
        await self._appender.wait_stalled()
        return store_outage_refusal(_STALLED_DETAIL)

    def predates_ownership(self, program_id: ProgramId) -> bool:
        """Return whether the program already existed when this owner took over the shard."""
        return program_id in self._inherited_ids

    async def commit(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Apply records and return once they, or without records all earlier ones, are durable.

        A refusal means that the records may or may not become durable. A call whose `CallBegun` was
        refused must not be sent. `CallSettled` records are forwarded to the shard's new owner if it
        has moved. While the journal is stalled, commits of outcomes and of idempotent calls wait
        until it recovers. All others are refused, though records already queued stay queued.
        """
        return await self.submit(records)()

    def submit(self, records: tuple[Record, ...]) -> WaitDurable:
        """Apply records now, so that the next decision sees them.

        The returned function waits until they are durable, with the result of `commit`.
        """
        if self.status is not ShardStatus.OPEN:
            return partial(self._forward_or_refuse, records)
        refusal = self._commit_refusal(records)
        if refusal is not None:
            return partial(_return_refusal, refusal)
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
            return Err(store_outage_refusal(_STALLED_DETAIL))
        if not batch.is_durable:
            return await self._forward_or_refuse(records)
        self._context.metrics.record("commit", trio.current_time() - started_at_s)
        return Ok(None)

    async def read_history(
        self, program_id: ProgramId, *, wait_durable: bool = True
    ) -> Result[tuple[Turn, ...], Refusal]:
        """Return a program's turns, whose digest chain was checked.

        Without `wait_durable` the last turns may not be durable yet. Such a history may be used
        for a prompt, but not in an answer to a caller.
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
        """Return the names of the blobs that hold turns."""
        return tuple(sorted(segment_names(self.state)))

    async def read_turn(self, program: Program, turn: int) -> Result[Turn, Refusal]:
        """Return one turn of a program, for example to replay its answer, once it is durable."""
        recent = program.recent_turn(turn)
        if recent is not None:
            return (await self.commit(())).map(lambda _: recent)
        history = await self.read_history(program.program_id)
        return history.map(lambda turns: turns[turn - 1])

    async def wait_settled(self, call_id: str) -> None:
        """Wait until a call is no longer running, or the shard was handed over or lost."""
        running = {call.call_id for call in self.state.running_calls()}
        if call_id not in running or self.status is ShardStatus.GONE:
            return
        await self._settled_by_call.setdefault(call_id, trio.Event()).wait()

    async def run(self) -> None:
        """Commit queued records until the shard is handed over or lost."""
        async with trio.open_nursery() as nursery:
            while self.status is not ShardStatus.GONE:
                await self._queue.wait()
                await self._appender.wait_until_due()
                if self._queue:
                    await self._commit_next(nursery)
            nursery.cancel_scope.cancel()

    async def release(self) -> None:
        """Hand the shard over: refuse new calls, then commit all records and a `ShardReleased`."""
        if self.status is not ShardStatus.OPEN:
            return
        self.status = ShardStatus.RELEASING
        batch = self._enqueue((ShardReleased(self.epoch),))
        await batch.done.wait()

    def _commit_refusal(self, records: tuple[Record, ...]) -> Refusal | None:
        """Return why records must not be queued, None if they may; settled calls always may."""
        if only_settle_calls(records):
            return None
        if not self.holds_ownership():
            return self._not_owner_refusal()
        if not self.is_stalled() or may_wait_out_stall(records):
            return None
        return store_outage_refusal(_STALLED_DETAIL)

    def _not_owner_refusal(self) -> Refusal:
        owner = self._context.owner(self.shard_id)
        if owner is not None and owner.run_id == self._context.run_id:
            return store_outage_refusal("the lease or the ownership cannot be verified")
        return shard_moved_refusal(self.shard_id)

    def _enqueue(self, records: tuple[Record, ...]) -> Batch | None:
        """Apply and queue records; return the batch to wait for, None if all are durable."""
        if not records:
            return self._queue.last()
        batch = self._queue.last()
        for record in chain.from_iterable(split_record(each) for each in records):
            self.state.apply(record)
            self._signal_settled(record)
            batch = self._queue.add(record)
        return batch

    def _signal_settled(self, record: Record) -> None:
        if isinstance(record, CallSettled | CallInterrupted):
            event = self._settled_by_call.pop(record.call_id, None)
            if event is not None:
                event.set()

    async def _commit_next(self, nursery: trio.Nursery) -> None:
        batch = self._queue.mark_first_sent()
        plan = None
        if self._is_checkpoint_due():
            plan = self._checkpointer.plan(self.state, self._appender.next_sequence + 1)
        appended = await self._appender.append(tuple(batch.records))
        if appended is AppendResult.FENCED:
            self._context.metrics.count("shards_fenced")
            self._close(ShardStatus.GONE)
            return
        self._queue.mark_first_durable()
        self._context.metrics.count("commits")
        self._context.metrics.count("committed_records", amount=len(batch.records))
        self._schedule.record_commit(batch.size_bytes)
        if isinstance(batch.records[-1], ShardReleased):
            self._close(ShardStatus.GONE)
        elif plan is not None:
            self._schedule.start()
            nursery.start_soon(self._store_checkpoint, plan)

    def _is_checkpoint_due(self) -> bool:
        """Return whether to plan a checkpoint now; the state must not go beyond the first batch."""
        is_quiet = len(self._queue) == 1 and self.status is ShardStatus.OPEN
        return is_quiet and self._schedule.is_due()

    async def _store_checkpoint(self, plan: CheckpointPlan) -> None:
        stored = await self._checkpointer.store(self.state, plan)
        self._schedule.finish(is_stored=isinstance(stored, Ok))
        if isinstance(stored, Err):
            self._context.count_store_error(stored.err_value)
        else:
            self._context.metrics.count("checkpoints")

    def _close(self, status: ShardStatus) -> None:
        """Set the final status and release all waiters.

        The new owner decides about records that are not durable.
        """
        self.status = status
        self._queue.abandon()
        for event in self._settled_by_call.values():
            event.set()
        self._settled_by_call.clear()

    async def _forward_or_refuse(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Forward records that settle calls to the new owner; refuse all others."""
        if only_settle_calls(records):
            return await self._forwarder.settle(records)
        return Err(shard_moved_refusal(self.shard_id))


async def _return_refusal(refusal: Refusal) -> Result[None, Refusal]:
    return Err(refusal)
