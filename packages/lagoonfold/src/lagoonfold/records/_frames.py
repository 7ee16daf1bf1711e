"""The frame around every stored value: a mark, a checksum and the content.

    frame(b"J", content) -> b"LF1J" + xxh64(content) + content

The checksum finds torn and damaged values. It does not authenticate them.
"""

import xxhash
from result import Err, Ok, Result

_MARK = b"LF1"
_HEAD_BYTES = 12
JOURNAL = b"J"
CHECKPOINT = b"C"
SEGMENT = b"S"
CHECKPOINT_PART = b"P"


def frame(kind: bytes, content: bytes) -> bytes:
    """Return the content in a frame of one of the kinds."""
    return _MARK + kind + xxhash.xxh64_digest(content) + content


def unframe(kind: bytes, data: bytes) -> Result[bytes, str]:
    """Return the content of a frame of the given kind, or what is wrong with it."""
    if len(data) < _HEAD_BYTES:
        return Err(f"frame of {len(data)} bytes is cut short")
    if data[:4] != _MARK + kind:
        return Err(f"frame begins with {data[:4]!r}, not {_MARK + kind!r}")
    content = data[_HEAD_BYTES:]
    if xxhash.xxh64_digest(content) != data[4:_HEAD_BYTES]:
        return Err(f"checksum of {len(content)} bytes does not match")
    return Ok(content)
