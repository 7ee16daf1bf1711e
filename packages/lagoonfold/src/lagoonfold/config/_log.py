"""The configuration log: one head, immutable snapshots, and immutable segments of older changes.

The head holds the version, a reference to the newest snapshot and every change made since. A
change is one compare-and-swap of the head. Once the head holds `MAX_RECENT_CHANGES` changes, the
next change first writes a snapshot and a history segment of the head's version. The head alone
determines both, so operators who make changes concurrently write the same bytes.

Each change has a unique id. An operator who received no answer looks for the id in the log.
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
MAX_VALUE_BYTES = 1_000_000  # a snapshot must fit into one value of the store


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: who made it, when (Unix seconds), and the version it was based on."""

    version: int
    from_version: int
    change_id: str
    changed_by: str
    changed_at_s: float
    change: Change


class ConfigHead(msgspec.Struct, frozen=True, kw_only=True):
    """The value stored under the head key; at version zero nothing was ever configured."""

    version: int = 0
    snapshot_version: int = 0
    snapshot_digest: str = ""
    recent: tuple[ChangeRecord, ...] = ()


class ChangeLogSegment(msgspec.Struct, frozen=True, kw_only=True):
    """Older changes up to `version`; the segment before ends with `previous_version`, or zero."""

    version: int
    previous_version: int
    records: tuple[ChangeRecord, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeProposal:
    """A change that an operator requests.

    `from_version` is the version that the operator based the change on. A strict proposal
    conflicts with any later change, others only with later changes of the same document.
    """

    change: Change
    change_id: str
    changed_by: str
    changed_at_s: float
    from_version: int
    is_strict: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ValueWrite:
    """A key and the value to write; an immutable value that exists is not written again."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedChange:
    """The writes that accept a proposal: first the immutable values, then the head."""

    immutable_writes: tuple[ValueWrite, ...]
    head: ConfigHead
    record: ChangeRecord


class ConfigurationError(Exception):
    """Raised if stored values do not decode, match their digest, or lead to the head's version."""


def snapshot_key(version: int) -> str:
    """Return the key of the snapshot of a version."""
    return f"config/snapshot/{version:012d}"


def history_key(version: int) -> str:
    """Return the key of the history segment that ends with a version."""
    return f"config/history/{version:012d}"


def encode_value(value: Configuration | ConfigHead | ChangeLogSegment) -> bytes:
    """Encode a value to store; equal values give equal bytes."""
    return msgspec.msgpack.encode(value, order="deterministic")


def decode_config_head(value: bytes) -> ConfigHead:
    """Decode the head; empty bytes give the empty head. Raises `ConfigurationError`."""
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
    """Return the digest of a snapshot as stored in the head."""
    return hashlib.sha256(value).hexdigest()


def _decode(value: bytes, value_type: type) -> object:
    try:
        return msgspec.msgpack.decode(value, type=value_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"a {value_type.__name__} does not decode: {error}") from error


def needs_snapshot(known: Configuration, head: ConfigHead) -> bool:
    """Return whether the head no longer holds all changes after the known version."""
    return known.version < head.snapshot_version


def replay_changes(known: Configuration, head: ConfigHead) -> Configuration:
    """Return the configuration at the head's version, replayed from a known one or its snapshot.

    A head older than the known configuration changes nothing: an accepted version never reverts.
    Raises `ConfigurationError` if a version is missing or a change does not apply.
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
    """Accept or refuse a proposal, given the head and the configuration at the head's version.

    Errors: `VERSION_CONFLICT` with the conflicting changes; those of `apply_change`; `MALFORMED`
    if the configuration would exceed `MAX_VALUE_BYTES`.
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
    """Add a record to the head; if the head is full, move its records into a history segment."""
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
    """Return why the proposal conflicts with changes since its base version, or an empty text."""
    since = [record for record in head.recent if record.version > proposal.from_version]
    if not proposal.is_strict:
        subject = document_of(proposal.change)
        since = [record for record in since if document_of(record.change) == subject]
    described = "; ".join(describe_record(record) for record in since)
    if described:
        return f"changed since version {proposal.from_version}: {described}"
    if proposal.from_version < head.snapshot_version:
        return f"more than {len(head.recent)} changes since version {proposal.from_version}"
    if proposal.from_version > head.version:
        return f"version {proposal.from_version} does not exist; the newest is {head.version}"
    return ""


def describe_record(record: ChangeRecord) -> str:
    """Return one line with a change's version, its document, and who made it."""
    return f"version {record.version}: {document_of(record.change)} by {record.changed_by}"


def find_change(records: tuple[ChangeRecord, ...], change_id: str) -> ChangeRecord | None:
    """Return the record with a change id, or None."""
    for record in records:
        if record.change_id == change_id:
            return record
    return None
