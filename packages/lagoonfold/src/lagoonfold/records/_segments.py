"""Segments: immutable blobs that hold consecutive turns of programs.

A blob's name is `<sequence>-<digest>`: the journal's sequence number at which the blob was made,
so that names sort by age, and the digest of the whole blob.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from lagoonfold._frames import SEGMENT, frame, unframe
from lagoonfold._ids import ProgramId, ShardId
from lagoonfold.records._journal import shard_prefix
from lagoonfold.records._programs import Program, SegmentRef
from lagoonfold.records._turns import DIGEST_BYTES, Turn, encode_turn

_TARGET_SEGMENT_BYTES = 400_000
_SEQUENCE_DIGITS = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class Blob:
    """An immutable stored value and its name."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class PackedTurns:
    """The references to the segments that hold a program's turns up to `last_turn`."""

    refs: tuple[SegmentRef, ...]
    last_turn: int


def blob_name(sequence: int, data: bytes) -> str:
    """Return the name of a blob made at a sequence number of the journal."""
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
    return f"{sequence:0{_SEQUENCE_DIGITS}d}-{digest}"


def blob_key(shard_id: ShardId, name: str) -> str:
    """Return the key of a blob in the key-value service."""
    return f"{shard_prefix(shard_id)}bulk/{name}"


def verify_blob(name: str, data: bytes) -> Result[bytes, str]:
    """Return the data if its digest is the one in the blob's name."""
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
    if name.rpartition("-")[2] != digest:
        return Err(f"blob {name}: the digest of its {len(data)} bytes is {digest}")
    return Ok(data)


def pack_turns(
    programs: Iterable[Program], sequence: int
) -> tuple[tuple[Blob, ...], Mapping[ProgramId, PackedTurns]]:
    """Pack the turns held in memory into segments; return these and their references by program."""
    packer = _Packer(sequence)
    for program in programs:
        for turn in program.recent_turns:
            packer.add(program.program_id, turn)
    packer.close()
    packed = {
        program_id: PackedTurns(refs=tuple(refs), last_turn=_last_turn(refs))
        for program_id, refs in packer.refs_by_program.items()
    }
    return tuple(packer.values), packed


def read_turns(ref: SegmentRef, data: bytes) -> Result[tuple[Turn, ...], str]:
    """Decode the turns that a reference locates in a segment's data."""
    content = unframe(SEGMENT, data)
    if isinstance(content, Err):
        return Err(f"segment {ref.name}: {content.err_value}")
    part = content.ok_value[ref.offset : ref.offset + ref.length]
    try:
        turns = _TURNS_DECODER.decode(_array_header(ref.count) + part)
    except msgspec.DecodeError as error:
        return Err(f"segment {ref.name} at {ref.offset}: {error}")
    return Ok(turns)


class _Packer:
    """Fill segments one after another; a program's turns in one segment are adjacent."""

    def __init__(self, sequence: int) -> None:
        self.values: list[Blob] = []
        self.refs_by_program: dict[ProgramId, list[SegmentRef]] = {}
        self._sequence = sequence
        self._content = bytearray()
        self._open_refs: list[tuple[ProgramId, SegmentRef]] = []

    def add(self, program_id: ProgramId, turn: Turn) -> None:
        """Append a turn to the open segment, or to a new one if it does not fit."""
        data = encode_turn(turn)
        if self._content and len(self._content) + len(data) > _TARGET_SEGMENT_BYTES:
            self.close()
        offset = len(self._content)
        self._content += data
        last = self._open_refs[-1] if self._open_refs else None
        if last is not None and last[0] == program_id:
            ref = last[1]
            extended = SegmentRef(
                "", ref.offset, ref.length + len(data), ref.first_turn, ref.count + 1
            )
            self._open_refs[-1] = (program_id, extended)
        else:
            self._open_refs.append((program_id, SegmentRef("", offset, len(data), turn.number, 1)))

    def close(self) -> None:
        """Finish the open segment and name it by its digest."""
        if not self._content:
            return
        data = frame(SEGMENT, bytes(self._content))
        name = blob_name(self._sequence, data)
        self.values.append(Blob(name=name, data=data))
        for program_id, ref in self._open_refs:
            named = msgspec.structs.replace(ref, name=name)
            self.refs_by_program.setdefault(program_id, []).append(named)
        self._content = bytearray()
        self._open_refs = []


_TURNS_DECODER = msgspec.msgpack.Decoder(tuple[Turn, ...])
_ARRAY_32 = b"\xdd"


def _array_header(count: int) -> bytes:
    """Return the header of a msgpack array of `count` items."""
    return _ARRAY_32 + count.to_bytes(4, "big")


def _last_turn(refs: list[SegmentRef]) -> int:
    return refs[-1].first_turn + refs[-1].count - 1
