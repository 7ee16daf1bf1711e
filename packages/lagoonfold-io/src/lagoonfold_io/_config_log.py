"""Reads and changes the configuration log through the key-value port.

After a lost answer, the change is looked up by its id before it is decided again. It takes effect
at most once, since each write of the head expects the revision at which the head was read.

    log = ConfigLog(store)
    state = (await log.read(EMPTY_CONFIGURATION)).unwrap()
    accepted = await log.propose(proposal)
"""

from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    Entry,
    ErrorKind,
    KeyValueStore,
    Ran,
    Refusal,
    StoreError,
    StoreErrorKind,
)
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    HEAD_KEY,
    AcceptedChange,
    ChangeLogSegment,
    ChangeProposal,
    ChangeRecord,
    ConfigHead,
    Configuration,
    ConfigurationError,
    ValueWrite,
    decide_change,
    decode_change_segment,
    decode_config_head,
    decode_snapshot,
    encode_value,
    find_change,
    history_key,
    needs_snapshot,
    replay_changes,
    snapshot_key,
)

MAX_ATTEMPTS = 8
RETRY_PAUSE_S = 0.25
RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigLogState:
    """The head of the log, the revision of its key, and the configuration at its version."""

    head: ConfigHead
    revision: int
    configuration: Configuration


class ConfigLog:
    """The configuration log in the key-value service."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read(self, known: Configuration) -> Result[ConfigLogState, Refusal]:
        """Read the head and return the state at it, starting from a known configuration.

        Errors: `PLATFORM_UNAVAILABLE`; `INTERNAL` if a stored value is damaged.
        """
        entry = await self.read_head()
        if isinstance(entry, Err):
            return entry
        return await self.resolve(entry.ok_value, known)

    async def read_head(self) -> Result[Entry, Refusal]:
        """Return the head's entry, for `resolve`. Errors: `PLATFORM_UNAVAILABLE`."""
        entry = await self._store.get(HEAD_KEY)
        return entry.map_err(_unavailable)

    async def read_head_if_changed(self, known_revision: int) -> Result[Entry | None, Refusal]:
        """Return the head's entry, or None if it still has the known revision."""
        entry = await self._store.get_if_changed(HEAD_KEY, known_revision)
        return entry.map_err(_unavailable)

    async def resolve(self, entry: Entry, known: Configuration) -> Result[ConfigLogState, Refusal]:
        """Return the state at a head, starting from a known configuration.

        The head's snapshot is read only if the known configuration is older than it. Errors: as
        for `read`.
        """
        try:
            head = decode_config_head(entry.value)
            if needs_snapshot(known, head):
                snapshot = await self._store.get(snapshot_key(head.snapshot_version))
                if isinstance(snapshot, Err):
                    return Err(_unavailable(snapshot.err_value))
                known = decode_snapshot(snapshot.ok_value.value, head.snapshot_digest)
            configuration = replay_changes(known, head)
        except ConfigurationError as error:
            return Err(Refusal(kind=ErrorKind.INTERNAL, detail=str(error)))
        return Ok(ConfigLogState(head=head, revision=entry.revision, configuration=configuration))

    async def propose(self, proposal: ChangeProposal) -> Result[ChangeRecord, Refusal]:
        """Apply a change, at most once, and return its record.

        Errors: those of `decide_change`, with `Ran.NO`; `PLATFORM_UNAVAILABLE`, with `Ran.UNKNOWN`
        if the answer to a write was lost and the change may have taken effect. The same proposal
        may then be repeated with the same change id.
        """
        known = EMPTY_CONFIGURATION
        maybe_written = False
        refusal = _unavailable(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail="no attempt"))
        for attempt in range(MAX_ATTEMPTS):
            await trio.sleep(RETRY_PAUSE_S if attempt else 0)
            read = await self.read(known)
            if isinstance(read, Err):
                refusal = read.err_value
                continue
            state = read.ok_value
            known = state.configuration
            decided = await self._decide(state, proposal)
            if not isinstance(decided, Ok) or isinstance(decided.ok_value, ChangeRecord):
                return decided
            written = await self._write(state, decided.ok_value)
            if isinstance(written, Ok):
                return Ok(decided.ok_value.record)
            maybe_written = maybe_written or written.err_value.kind is StoreErrorKind.LOST_ANSWER
            refusal = _unavailable(written.err_value)
        return Err(_with_ran(refusal, maybe_written))

    async def _decide(
        self, state: ConfigLogState, proposal: ChangeProposal
    ) -> Result[AcceptedChange | ChangeRecord, Refusal]:
        """Return the change's record if it has taken effect already, else what to write for it."""
        found = await self._find(state.head, proposal.change_id, proposal.from_version)
        if isinstance(found, Err):
            return found
        if found.ok_value is not None:
            return Ok(found.ok_value)
        return decide_change(state.configuration, state.head, proposal)

    async def _find(
        self, head: ConfigHead, change_id: str, since_version: int
    ) -> Result[ChangeRecord | None, Refusal]:
        """Return a change's record from the head or the segments after a version, or None."""
        found = find_change(head.recent, change_id)
        version = head.snapshot_version
        while found is None and version > since_version:
            segment = await self._segment(version)
            if isinstance(segment, Err):
                return segment
            found = find_change(segment.ok_value.records, change_id)
            version = segment.ok_value.previous_version
        return Ok(found)

    async def _write(
        self, state: ConfigLogState, accepted: AcceptedChange
    ) -> Result[int, StoreError]:
        for write in accepted.immutable_writes:
            written = await self._write_immutable(write)
            if isinstance(written, Err):
                return written
        value = encode_value(accepted.head)
        return await self._store.put_if(HEAD_KEY, value, expected_revision=state.revision)

    async def _write_immutable(self, write: ValueWrite) -> Result[None, StoreError]:
        """Create a value that depends on the head alone; one that exists already is identical."""
        written = await self._store.put_if(
            write.key, write.value, expected_revision=ABSENT_REVISION
        )
        if isinstance(written, Err) and written.err_value.kind is not StoreErrorKind.CONFLICT:
            # The head is not written yet, so the change has no effect even if this write does.
            error = StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=written.err_value.detail)
            return Err(error)
        return Ok(None)

    async def find(self, change_id: str) -> Result[ChangeRecord | None, Refusal]:
        """Return the record of a change from the whole log, or None. Errors: as for `read`."""
        read = await self.read_head()
        if isinstance(read, Err):
            return read
        try:
            head = decode_config_head(read.ok_value.value)
        except ConfigurationError as error:
            return Err(Refusal(kind=ErrorKind.INTERNAL, detail=str(error)))
        return await self._find(head, change_id, 0)

    async def history(self, limit: int) -> Result[tuple[ChangeRecord, ...], Refusal]:
        """Return at most `limit` changes, newest first. Errors: as for `read`."""
        entry = await self.read_head()
        if isinstance(entry, Err):
            return entry
        try:
            head = decode_config_head(entry.ok_value.value)
        except ConfigurationError as error:
            return Err(Refusal(kind=ErrorKind.INTERNAL, detail=str(error)))
        records = list(reversed(head.recent))
        version = head.snapshot_version
        while version > 0 and len(records) < limit:
            segment = await self._segment(version)
            if isinstance(segment, Err):
                return segment
            records.extend(reversed(segment.ok_value.records))
            version = segment.ok_value.previous_version
        return Ok(tuple(records[:limit]))

    async def _segment(self, version: int) -> Result[ChangeLogSegment, Refusal]:
        entry = await self._store.get(history_key(version))
        if isinstance(entry, Err):
            return Err(_unavailable(entry.err_value))
        try:
            return Ok(decode_change_segment(entry.ok_value.value))
        except ConfigurationError as error:
            return Err(Refusal(kind=ErrorKind.INTERNAL, detail=str(error)))


def _unavailable(error: StoreError) -> Refusal:
    return Refusal(
        kind=ErrorKind.PLATFORM_UNAVAILABLE,
        detail=f"key-value service: {error.detail}",
        retry_after_s=RETRY_AFTER_S,
    )


def _with_ran(refusal: Refusal, maybe_written: bool) -> Refusal:
    return Refusal(
        kind=refusal.kind,
        detail=refusal.detail,
        ran=Ran.UNKNOWN if maybe_written else Ran.NO,
        retry_after_s=refusal.retry_after_s,
    )
