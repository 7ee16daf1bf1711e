"""The frame around every stored value: a magic number, a kind, a checksum and the content.

    frame(b"J", content) -> b"LF1J" + xxh64(content) + content

The checksum detects truncated and corrupted values. It does not authenticate them.
"""

import xxhash
from result import Err, Ok, Result

_MAGIC = b"LF1"
_HEADER_BYTES = 12
JOURNAL = b"J"
CHECKPOINT = b"C"
SEGMENT = b"S"
CHECKPOINT_PART = b"P"
TURN = b"T"


def frame(kind: bytes, content: bytes) -> bytes:
    """Return the content in a frame of the given kind."""
    return _MAGIC + kind + xxhash.xxh64_digest(content) + content


def unframe(kind: bytes, data: bytes) -> Result[bytes, str]:
    """Return the content of a frame of the given kind, or what is wrong with it."""
    if len(data) < _HEADER_BYTES:
        return Err(f"frame of {len(data)} bytes is truncated")
    if data[:4] != _MAGIC + kind:
        return Err(f"frame begins with {data[:4]!r}, not {_MAGIC + kind!r}")
    content = data[_HEADER_BYTES:]
    if xxhash.xxh64_digest(content) != data[4:_HEADER_BYTES]:
        return Err(f"checksum of {len(content)} bytes does not match")
    return Ok(content)
