"""The configuration log: one head, immutable snapshots, and immutable segments of history.

The head holds the version, the reference to the newest snapshot and every change made since. A
change is one compare-and-swap of the head. When `MAX_RECENT_CHANGES` have gathered, the next
change first writes a snapshot and a history segment of the head's version; both follow from the
head alone, so two operators who race write the same bytes.

Each change carries a unique id. An operator whose answer was lost looks for the id in the log.
"""

import hashlib
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from lagoonfold._errors import ErrorKind, Refusal
from lagoonfold.config._change_types import Change
from lagoonfold.config._changes import apply_change, document_of
from lagoonfold.config._documents import Configuration

HEAD_KEY = "config/head"
MAX_RECENT_CHANGES = 32
MAX_VALUE_BYTES = 1_000_000


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: who made it, when (Unix seconds), and from what version."""

    version: int
    from_version: int
    change_id: str
    changed_by: str
    changed_at_s: float
    change: Change


class ConfigHead(msgspec.Struct, frozen=True, kw_only=True):
    """The value of the head key; version zero means that nothing was ever configured."""

    version: int = 0
    snapshot_version: int = 0
    snapshot_digest: str = ""
    recent: tuple[ChangeRecord, ...] = ()


class ChangeLogSegment(msgspec.Struct, frozen=True, kw_only=True):
    """Older changes; `previous_version` names the segment before this one, or is zero."""

    version: int
    previous_version: int
    records: tuple[ChangeRecord, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeProposal:
    """A change that an operator asks for.

    `from_version` is the version that the operator looked at. A strict proposal conflicts with
    any change since then, another one only with changes of the same document.
    """

    change: Change
    change_id: str
    changed_by: str
    changed_at_s: float
    from_version: int
    is_strict: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ValueWrite:
    """A value to be written; an existing immutable value is left as it is."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedChange:
    """What makes a proposal take effect: the immutable values first, then the head."""

    immutable_writes: tuple[ValueWrite, ...]
    head: ConfigHead
    record: ChangeRecord


class ConfigurationError(Exception):
    """A stored value that does not decode or does not match its digest."""


def snapshot_key(version: int) -> str:
    """Return the key of the snapshot of a version."""
    return f"config/snapshot/{version:012d}"


def history_key(version: int) -> str:
    """Return the key of the history segment that ends with a version."""
    return f"config/history/{version:012d}"


def encode_value(value: Configuration | ConfigHead | ChangeLogSegment) -> bytes:
    """Encode a stored value; equal values give equal bytes."""
    return msgspec.msgpack.encode(value, order="deterministic")


def decode_config_head(value: bytes) -> ConfigHead:
    """Decode the head; an absent head is an empty one. Raises `ConfigurationError`."""
    return _decode(value, ConfigHead) if value else ConfigHead()


def decode_change_segment(value: bytes) -> ChangeLogSegment:
    """Decode a history segment. Raises `ConfigurationError`."""
    return _decode(value, ChangeLogSegment)


def decode_snapshot(value: bytes, digest: str) -> Configuration:
    """Decode a snapshot and check its digest. Raises `ConfigurationError`."""
    if digest_of_value(value) != digest:
        raise ConfigurationError("a configuration snapshot does not match its digest")
    return _decode(value, Configuration)


def digest_of_value(value: bytes) -> str:
    """Return the digest by which the head refers to a snapshot."""
    return hashlib.sha256(value).hexdigest()


def _decode(value: bytes, value_type: type) -> object:
    try:
        return msgspec.msgpack.decode(value, type=value_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"a {value_type.__name__} does not decode: {error}") from error


def needs_snapshot(known: Configuration, head: ConfigHead) -> bool:
    """Tell whether the head's changes do not reach back to the known version."""
    return known.version < head.snapshot_version


def replay_changes(known: Configuration, head: ConfigHead) -> Configuration:
    """Return the configuration at the head's version, from a known one or its snapshot.

    A head older than what is known changes nothing: an accepted version never reverts. Raises
    `ConfigurationError` when a version is missing or a change does not apply.
    """
    configuration = known
    for record in head.recent:
        if record.version <= configuration.version:
            continue
        if record.version != configuration.version + 1:
            raise ConfigurationError(f"version {configuration.version + 1} is missing")
        applied = apply_change(configuration, record.change)
        if isinstance(applied, Err):
            raise ConfigurationError(f"version {record.version}: {applied.err_value.detail}")
        configuration = applied.ok_value
    if configuration.version < head.version:
        raise ConfigurationError(f"version {head.version} is missing")
    return configuration


def decide_change(
    configuration: Configuration, head: ConfigHead, proposal: ChangeProposal
) -> Result[AcceptedChange, Refusal]:
    """Decide a proposal against the head and the configuration at the head's version.

    Errors: `VERSION_CONFLICT` with the changes that came between; those of `apply_change`;
    `MALFORMED` when the configuration would outgrow one value of the store.
    """
    conflict = _find_conflict(head, proposal)
    if conflict:
        return Err(Refusal(kind=ErrorKind.VERSION_CONFLICT, detail=conflict))
    applied = apply_change(configuration, proposal.change)
    if isinstance(applied, Err):
        return applied
    if len(encode_value(applied.ok_value)) > MAX_VALUE_BYTES:
        detail = f"the configuration would be over {MAX_VALUE_BYTES} bytes"
        return Err(Refusal(kind=ErrorKind.MALFORMED, detail=detail))
    record = ChangeRecord(
        version=head.version + 1,
        from_version=proposal.from_version,
        change_id=proposal.change_id,
        changed_by=proposal.changed_by,
        changed_at_s=proposal.changed_at_s,
        change=proposal.change,
    )
    return Ok(_extend(configuration, head, record))


def _extend(configuration: Configuration, head: ConfigHead, record: ChangeRecord) -> AcceptedChange:
    """Add a record to the head, moving the older ones out when there are many."""
    if len(head.recent) < MAX_RECENT_CHANGES:
        extended = msgspec.structs.replace(
            head, version=record.version, recent=(*head.recent, record)
        )
        return AcceptedChange(immutable_writes=(), head=extended, record=record)
    snapshot = encode_value(configuration)
    segment = ChangeLogSegment(
        version=head.version, previous_version=head.snapshot_version, records=head.recent
    )
    immutable = (
        ValueWrite(key=history_key(head.version), value=encode_value(segment)),
        ValueWrite(key=snapshot_key(head.version), value=snapshot),
    )
    compacted = ConfigHead(
        version=record.version,
        snapshot_version=head.version,
        snapshot_digest=digest_of_value(snapshot),
        recent=(record,),
    )
    return AcceptedChange(immutable_writes=immutable, head=compacted, record=record)


def _find_conflict(head: ConfigHead, proposal: ChangeProposal) -> str:
    """Describe the changes since the operator looked that stand in the proposal's way."""
    since = [record for record in head.recent if record.version > proposal.from_version]
    if not proposal.is_strict:
        subject = document_of(proposal.change)
        since = [record for record in since if document_of(record.change) == subject]
    described = "; ".join(describe_record(record) for record in since)
    if described:
        return f"changed since version {proposal.from_version}: {described}"
    if proposal.from_version < head.snapshot_version:
        return f"over {len(head.recent)} changes since version {proposal.from_version}"
    if proposal.from_version > head.version:
        return f"version {proposal.from_version} does not exist; the newest is {head.version}"
    return ""


def describe_record(record: ChangeRecord) -> str:
    """Return a line about a change: its version, its document, and who made it."""
    return f"version {record.version}: {document_of(record.change)} by {record.changed_by}"


def find_change(records: tuple[ChangeRecord, ...], change_id: str) -> ChangeRecord | None:
    """Return the record of a change id, or None."""
    for record in records:
        if record.change_id == change_id:
            return record
    return None
