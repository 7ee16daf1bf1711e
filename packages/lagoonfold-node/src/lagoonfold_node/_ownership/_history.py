"""Reads a program's history from segments and memory, and checks its digest chain."""

from result import Err, Result

from lagoonfold import ErrorKind, Refusal, ShardId
from lagoonfold.records import Program, Turn, check_history, read_turns
from lagoonfold_node._ownership._blob_stores import BlobStore
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._refusals import store_outage_refusal


class HistoryReader:
    """Read the histories of the programs of one shard."""

    def __init__(self, context: OwnershipContext, blobs: BlobStore, shard_id: ShardId) -> None:
        self._context = context
        self._blobs = blobs
        self._shard_id = shard_id

    async def read(self, program: Program) -> Result[tuple[Turn, ...], Refusal]:
        """Return the program's turns as of the moment of the call."""
        segments, recent = program.segments, tuple(program.recent_turns)
        history_digest = program.history_digest
        turns: list[Turn] = []
        for ref in segments:
            read = await self._blobs.get(self._shard_id, ref.name)
            if isinstance(read, Err):
                detail = f"history of {program.program_id}: {read.err_value.detail}"
                return Err(store_outage_refusal(detail))
            packed = read_turns(ref, read.ok_value)
            if isinstance(packed, Err):
                return self._refuse_damaged(packed.err_value)
            turns.extend(packed.ok_value)
        checked = check_history(program.program_id, (*turns, *recent), history_digest)
        return self._refuse_damaged(checked.err_value) if isinstance(checked, Err) else checked

    def _refuse_damaged(self, detail: str) -> Err[Refusal]:
        self._context.log.error("history.damaged", shard=self._shard_id, detail=detail)
        self._context.metrics.count("damaged_histories")
        return Err(Refusal(kind=ErrorKind.INTERNAL, detail=detail))
