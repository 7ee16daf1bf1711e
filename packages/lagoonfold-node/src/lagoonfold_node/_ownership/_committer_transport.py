"""Carries journal entries by way of the failure domain's committer.

The committer is any member that all in its failure domain choose alike. It sends what came within
an interval as one call, decides nothing and keeps nothing. What it does not answer is sent from
here, before the journal counts as stalled: a copy that it sends late finds the key present, or
creates the same entry once.
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
AVOID_S = 10.0
_KINDS_BY_VALUE = {kind.value: kind for kind in StoreErrorKind}


class EntryToCreate(msgspec.Struct, frozen=True, array_like=True):
    """A journal entry to create if its key is absent."""

    key: str
    value: bytes


@peer_message
class CreateEntries(PeerMessage, tag="carry-entries"):
    """Asks the receiver to create journal entries with its next call."""

    entries: tuple[EntryToCreate, ...]


@peer_message
class EntriesCreated(PeerMessage, tag="entries-carried"):
    """The answer to each entry in their order: the kind of its error, empty if it was created."""

    errors: tuple[str, ...]


class CommitterJournalTransport:
    """Sends entries to the committer; `own` carries what leaves from this instance."""

    def __init__(self, context: OwnershipContext, own: JournalTransport) -> None:
        self._context = context
        self._own = own
        self._avoided_until_s_by_id: dict[InstanceId, float] = {}

    async def wait_for_rate_limit(self) -> None:
        """Wait for nothing: the committer, or the own carrier's writer, gathers entries."""

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create entries through the committer; large ones, and all without one, from here."""
        committer = self._committer()
        is_large = sum(len(entry.value) for entry in entries) > MAX_SHARED_BYTES
        if committer is None or committer == self._context.instance_id or is_large:
            self._count("own", entries)
            return await self._own.create_all(entries)
        results = await self._ask(committer, entries)
        if results is not None:
            self._count("committer", entries)
            return results
        self._count("committer-lost", entries)
        self._avoided_until_s_by_id[committer] = trio.current_time() + AVOID_S
        return await self._own.create_all(entries)

    async def _ask(
        self, committer: InstanceId, entries: tuple[NewEntry, ...]
    ) -> tuple[CreateResult, ...] | None:
        """Return the committer's answers, None if none came."""
        entries_to_create = tuple(EntryToCreate(entry.key, entry.value) for entry in entries)
        message = CreateEntries(entries=entries_to_create)
        answer = await self._context.bus.request(committer, message, ANSWER_TIMEOUT_S)
        if isinstance(answer, Err) or len(answer.ok_value.errors) != len(entries):
            return None
        return tuple(_created(error, committer) for error in answer.ok_value.errors)

    def _committer(self) -> InstanceId | None:
        view = self._context.table_view()
        if view is None or self._context.bus is None:
            return None
        now = trio.current_time()
        avoided = {name for name, until in self._avoided_until_s_by_id.items() if now < until}
        return committer_of(view.table.members, self._context.failure_domain, excluded=avoided)

    def _count(self, reason: str, entries: tuple[NewEntry, ...]) -> None:
        self._context.metrics.count("journal_entries_sent", reason, amount=len(entries))


def _created(error: str, committer: InstanceId) -> CreateResult:
    if not error:
        return Ok(None)
    kind = _KINDS_BY_VALUE.get(error, StoreErrorKind.LOST_ANSWER)
    return Err(StoreError(kind=kind, detail=f"by way of {committer}"))


@handles(CreateEntries)
async def _create_entries(node, call: InboundCall, message: CreateEntries) -> None:
    if not all(is_journal_key(entry.key) for entry in message.entries):
        refusal = Refusal(kind=ErrorKind.MALFORMED, detail="only journal entries are carried")
        call.reply(CallRefused.from_refusal(refusal))
        return
    entries = tuple(NewEntry(key=entry.key, value=entry.value) for entry in message.entries)
    results = await node.ownership.journal_writer.create_all(entries)
    errors = (result.err_value.kind.value if isinstance(result, Err) else "" for result in results)
    call.reply(EntriesCreated(errors=tuple(errors)))
