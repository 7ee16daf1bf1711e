"""Sends journal entries through the failure domain's committer.

The committer is the member that `committer_of` selects, usually the same one on all instances of
the failure domain. It sends the entries that arrive within an interval in one call, and neither
decides anything nor keeps state. If it does not answer within `ANSWER_TIMEOUT_S`, the owner sends
the entries itself, before its journal counts as stalled. A copy that the committer sends late finds
the key present, or creates the same entry once.
"""

import msgspec
import trio
from result import Err, Ok

from lagoonfold import ErrorKind, InstanceId, NewEntry, Refusal, StoreError, StoreErrorKind
from lagoonfold.membership import committer_of
from lagoonfold.records import is_journal_key
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._journal_writer import (
    MAX_SHARED_BYTES,
    CreateResult,
    JournalTransport,
)
from lagoonfold_node._peers import CallRefused, InboundCall, PeerMessage, handles, peer_message

ANSWER_TIMEOUT_S = 1.0
EXCLUDE_S = 10.0  # after a call that the committer did not answer
_KINDS_BY_VALUE = {kind.value: kind for kind in StoreErrorKind}


class EntryToCreate(msgspec.Struct, frozen=True, array_like=True):
    """A journal entry to create if its key is absent."""

    key: str
    value: bytes


@peer_message
class CreateEntries(PeerMessage, tag="carry-entries"):
    """Sent by a shard's owner to the committer: create these journal entries in its next call.

    The answer is `EntriesCreated`, or `CallRefused` if a key is not one of a journal.
    """

    entries: tuple[EntryToCreate, ...]


@peer_message
class EntriesCreated(PeerMessage, tag="entries-carried"):
    """The committer's answer to `CreateEntries`.

    `errors` has the kind of error for each entry in their order, empty if the entry was created.
    """

    errors: tuple[str, ...]


class CommitterJournalTransport:
    """Send entries through the committer; `direct` sends those that leave from this instance."""

    def __init__(self, context: OwnershipContext, direct: JournalTransport) -> None:
        self._context = context
        self._direct = direct
        self._excluded_until_s_by_id: dict[InstanceId, float] = {}

    async def wait_for_rate_limit(self) -> None:
        """Return at once: the committer, or the writer behind `direct`, applies the rate limit."""

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create entries through the committer.

        More than `MAX_SHARED_BYTES` of values, and entries for which there is no committer, are
        sent directly.
        """
        committer = self._committer()
        is_large = sum(len(entry.value) for entry in entries) > MAX_SHARED_BYTES
        if committer is None or committer == self._context.instance_id or is_large:
            self._count_sent("own", entries)
            return await self._direct.create_all(entries)
        results = await self._request_creation(committer, entries)
        if results is not None:
            self._count_sent("committer", entries)
            return results
        self._count_sent("committer-lost", entries)
        self._excluded_until_s_by_id[committer] = trio.current_time() + EXCLUDE_S
        return await self._direct.create_all(entries)

    async def _request_creation(
        self, committer: InstanceId, entries: tuple[NewEntry, ...]
    ) -> tuple[CreateResult, ...] | None:
        """Return the committer's results, None if it sent no valid answer."""
        entries_to_create = tuple(EntryToCreate(entry.key, entry.value) for entry in entries)
        message = CreateEntries(entries=entries_to_create)
        answer = await self._context.bus.request(committer, message, ANSWER_TIMEOUT_S)
        if isinstance(answer, Err) or len(answer.ok_value.errors) != len(entries):
            return None
        return tuple(_to_result(error, committer) for error in answer.ok_value.errors)

    def _committer(self) -> InstanceId | None:
        view = self._context.table_view()
        if view is None or self._context.bus is None:
            return None
        now = trio.current_time()
        excluded = {name for name, until in self._excluded_until_s_by_id.items() if now < until}
        return committer_of(view.table.members, self._context.failure_domain, excluded=excluded)

    def _count_sent(self, reason: str, entries: tuple[NewEntry, ...]) -> None:
        self._context.metrics.count("journal_entries_sent", reason, amount=len(entries))


def _to_result(error: str, committer: InstanceId) -> CreateResult:
    if not error:
        return Ok(None)
    kind = _KINDS_BY_VALUE.get(error, StoreErrorKind.LOST_ANSWER)
    return Err(StoreError(kind=kind, detail=f"through committer {committer}"))


@handles(CreateEntries)
async def _create_entries(node, call: InboundCall, message: CreateEntries) -> None:
    if not all(is_journal_key(entry.key) for entry in message.entries):
        refusal = Refusal(kind=ErrorKind.MALFORMED, detail="only journal entries can be created")
        call.reply(CallRefused.from_refusal(refusal))
        return
    entries = tuple(NewEntry(key=entry.key, value=entry.value) for entry in message.entries)
    results = await node.ownership.journal_writer.create_all(entries)
    errors = (result.err_value.kind.value if isinstance(result, Err) else "" for result in results)
    call.reply(EntriesCreated(errors=tuple(errors)))
