"""A shard that this instance owns: its state, its journal's end, and group commit.

Records are applied as soon as they are committed to the queue, so that the next decision sees
them, and `commit` returns once they are durable. An answer that rests on a record is given only
after the commit that holds it.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, ProgramId, Ran, Refusal, ShardId
from lagoonfold.records import (
    MAX_ENTRY_BYTES,
    Begun,
    CheckpointPlan,
    Program,
    ProgramShard,
    Record,
    Released,
    Settled,
    Turn,
    bulk_names,
    check_history,
    read_turns,
    size_of,
)
from lagoonfold_node._ownership._appender import Appended, Appender
from lagoonfold_node._ownership._bulk import BulkStore
from lagoonfold_node._ownership._checkpointer import Checkpointer
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._forwarder import Forwarder

MOVED_RETRY_S = 0.5
OUTAGE_RETRY_S = 5.0
STALL_LIMIT_S = 1.0
CHECKPOINT_BYTES = 2_000_000
_CHECKPOINT_RETRY_S = 5.0


WaitDurable = Callable[[], Awaitable[Result[None, Refusal]]]


class ShardStatus(Enum):
    """Whether the owner takes calls, is handing over, or has handed over or lost the shard."""

    OPEN = "open"
    RELEASING = "releasing"
    GONE = "gone"


@dataclass(slots=True, eq=False)
class _Batch:
    """Records that go into one journal entry."""

    records: list[Record] = field(default_factory=list)
    size_bytes: int = 0
    done: trio.Event = field(default_factory=trio.Event)
    is_sent: bool = False
    is_durable: bool = False


class OpenShard:
    """One open shard; `run` is its committing task."""

    def __init__(
        self,
        context: OwnershipContext,
        bulk: BulkStore,
        shard_id: ShardId,
        state: ProgramShard,
        appender: Appender,
        checkpointer: Checkpointer,
    ) -> None:
        self.shard_id = shard_id
        self.epoch = appender.epoch
        self.state = state
        self.status = ShardStatus.OPEN
        self._context = context
        self._bulk = bulk
        self._appender = appender
        self._checkpointer = checkpointer
        self._forwarder = Forwarder(context, shard_id)
        self._queue: deque[_Batch] = deque()
        self._wake = trio.Event()
        self._commits_since_checkpoint = 0
        self._bytes_since_checkpoint = 0
        self._next_checkpoint_at_s = 0.0
        self._last_commit_at_s = float("-inf")
        self._settled_by_call: dict[str, trio.Event] = {}

    @property
    def executor(self) -> str:
        """Return the name under which this process sends calls."""
        return self._context.run_id

    def may_act(self) -> bool:
        """Tell whether this process certainly is the owner at this moment.

        Ask again after every wait, immediately before each act.
        """
        if self.status is not ShardStatus.OPEN:
            return False
        if not self._context.has_lease() or not self._context.is_table_fresh():
            return False
        owner = self._context.owner(self.shard_id)
        return owner.run_id == self._context.run_id and owner.epoch == self.epoch

    async def commit(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Apply records and return when they are durable; without records, when all before are.

        A refusal means that the records may or may not become durable. A call whose `Begun` was
        refused must not be sent. `Settled` records reach the shard's new owner if it has moved.
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
        self, batch: _Batch | None, records: tuple[Record, ...]
    ) -> Result[None, Refusal]:
        if batch is None:
            return Ok(None)
        started_at_s = trio.current_time()
        await batch.done.wait()
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
            return _refuse(ErrorKind.NOT_FOUND, f"no program {program_id}")
        segments, recent = program.segments, tuple(program.recent_turns)
        last_link = program.last_link
        durable = await self.commit(()) if wait_durable else Ok(None)
        if isinstance(durable, Err):
            return durable
        turns: list[Turn] = []
        for ref in segments:
            read = await self._bulk.get(self.shard_id, ref.name)
            if isinstance(read, Err):
                return _outage(f"history of {program_id}: {read.err_value.detail}")
            packed = read_turns(ref, read.ok_value)
            if isinstance(packed, Err):
                return self._damaged(packed.err_value)
            turns.extend(packed.ok_value)
        checked = check_history(program_id, (*turns, *recent), last_link)
        return self._damaged(checked.err_value) if isinstance(checked, Err) else checked

    @property
    def checkpointed_sequence(self) -> int:
        """Return the first journal entry that the stored checkpoint does not cover."""
        return self._checkpointer.next_sequence

    def bulk_names(self) -> tuple[str, ...]:
        """Return the names of the bulk values that hold turns."""
        return tuple(sorted(bulk_names(self.state)))

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
                await self._wait_for_batch()
                if self._queue:
                    await self._commit_next(nursery)
            nursery.cancel_scope.cancel()

    async def release(self) -> None:
        """Hand the shard over: refuse new calls, make all records durable, and say so."""
        if self.status is not ShardStatus.OPEN:
            return
        self.status = ShardStatus.RELEASING
        batch = self._enqueue((Released(self.epoch),))
        await batch.done.wait()

    def _refuse_commit(self, records: tuple[Record, ...]) -> Refusal | None:
        """Return why records may not be queued; the settling of a call always may."""
        if sum(size_of(record) for record in records) > MAX_ENTRY_BYTES:
            detail = f"records of more than {MAX_ENTRY_BYTES} bytes"
            return Refusal(kind=ErrorKind.BODY_TOO_LARGE, detail=detail, ran=_ran(records))
        if records and all(isinstance(record, Settled) for record in records):
            return None
        if not self.may_act():
            return _moved(self.shard_id)
        failing_since_s = self._appender.failing_since_s
        if failing_since_s is None or trio.current_time() - failing_since_s < STALL_LIMIT_S:
            return None
        return _outage("the journal cannot be written").err_value

    def _enqueue(self, records: tuple[Record, ...]) -> _Batch | None:
        """Apply and queue records; return the batch to wait for, None if all is durable."""
        if not records:
            return self._queue[-1] if self._queue else None
        for record in records:
            self.state.apply(record)
            self._note_settled(record)
        size_bytes = sum(size_of(record) for record in records)
        batch = self._batch_for(size_bytes)
        batch.records.extend(records)
        batch.size_bytes += size_bytes
        self._wake.set()
        return batch

    def _batch_for(self, size_bytes: int) -> _Batch:
        """Return the last batch if it has room and is not on its way, else a new one."""
        last = self._queue[-1] if self._queue else None
        if last is None or last.is_sent or last.size_bytes + size_bytes > MAX_ENTRY_BYTES:
            self._queue.append(_Batch())
        return self._queue[-1]

    def _note_settled(self, record: Record) -> None:
        if not isinstance(record, Begun) and hasattr(record, "call_id"):
            event = self._settled_by_call.pop(record.call_id, None)
            if event is not None:
                event.set()

    async def _wait_for_batch(self) -> None:
        if not self._queue:
            self._wake = trio.Event()
            await self._wake.wait()
        await trio.sleep_until(self._last_commit_at_s + self._context.settings.commit_interval_s)
        self._last_commit_at_s = trio.current_time()

    async def _commit_next(self, nursery: trio.Nursery) -> None:
        batch = self._queue[0]
        batch.is_sent = True
        plan = None
        if self._is_checkpoint_due(batch):
            plan = self._checkpointer.plan(self.state, self._appender.next_sequence + 1)
        appended = await self._appender.append(tuple(batch.records))
        if appended is Appended.FENCED:
            self._context.metrics.count("shards_fenced")
            self._go(ShardStatus.GONE)
            return
        self._queue.popleft()
        batch.is_durable = True
        batch.done.set()
        self._context.metrics.count("commits")
        self._context.metrics.count("committed_records", amount=len(batch.records))
        self._commits_since_checkpoint += 1
        self._bytes_since_checkpoint += batch.size_bytes
        if isinstance(batch.records[-1], Released):
            self._go(ShardStatus.GONE)
        elif plan is not None:
            self._next_checkpoint_at_s = trio.current_time() + _CHECKPOINT_RETRY_S
            nursery.start_soon(self._store_checkpoint, plan)

    def _is_checkpoint_due(self, batch: _Batch) -> bool:
        """Tell whether to plan a checkpoint; the state must hold no records beyond the batch."""
        if len(self._queue) > 1 or trio.current_time() < self._next_checkpoint_at_s:
            return False
        if self.status is not ShardStatus.OPEN:
            return False
        many = self._commits_since_checkpoint >= self._context.settings.checkpoint_commits
        return many or self._bytes_since_checkpoint >= CHECKPOINT_BYTES

    async def _store_checkpoint(self, plan: CheckpointPlan) -> None:
        commits, size_bytes = self._commits_since_checkpoint, self._bytes_since_checkpoint
        self._next_checkpoint_at_s = float("inf")
        stored = await self._checkpointer.store(self.state, plan)
        self._next_checkpoint_at_s = trio.current_time()
        if isinstance(stored, Err):
            self._next_checkpoint_at_s += _CHECKPOINT_RETRY_S
            self._context.count_store_error(stored.err_value)
            return
        self._commits_since_checkpoint -= commits
        self._bytes_since_checkpoint -= size_bytes
        self._context.metrics.count("checkpoints")

    def _go(self, status: ShardStatus) -> None:
        """End all waiting; what is not durable is the new owner's to decide."""
        self.status = status
        for batch in self._queue:
            batch.done.set()
        self._queue.clear()
        for event in self._settled_by_call.values():
            event.set()
        self._settled_by_call.clear()

    async def _commit_elsewhere(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Take the settling of a call to the new owner; refuse everything else."""
        if records and all(isinstance(record, Settled) for record in records):
            return await self._forwarder.settle(records)
        return Err(_moved(self.shard_id))

    def _damaged(self, detail: str) -> Err[Refusal]:
        self._context.log.error("history.damaged", shard=self.shard_id, detail=detail)
        self._context.metrics.count("damaged_histories")
        return _refuse(ErrorKind.INTERNAL, detail)


def _ran(records: tuple[Record, ...]) -> Ran:
    """Return what a caller may conclude from a failed commit: a settled call has run."""
    return Ran.UNKNOWN if any(isinstance(record, Settled) for record in records) else Ran.NO


async def _refused(refusal: Refusal) -> Result[None, Refusal]:
    return Err(refusal)


def _moved(shard_id: ShardId) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"shard {shard_id} is not owned here",
        retry_after_s=MOVED_RETRY_S,
    )


def _refuse(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=kind, detail=detail))


def _outage(detail: str) -> Err[Refusal]:
    kind = ErrorKind.PLATFORM_UNAVAILABLE
    return Err(Refusal(kind=kind, detail=detail, retry_after_s=OUTAGE_RETRY_S))
