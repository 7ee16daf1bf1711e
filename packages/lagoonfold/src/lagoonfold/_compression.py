"""Compression of values that travel to every instance, with a bound on what they expand to."""

import zlib

from result import Err, Ok, Result

_FAST_LEVEL = 1
_ANY_HEADER_BITS = zlib.MAX_WBITS | 32


def compress(data: bytes) -> bytes:
    """Return the data as a zlib stream."""
    return zlib.compress(data, _FAST_LEVEL)


def decompress(data: bytes, *, max_bytes: int) -> Result[bytes, str]:
    """Return the content of a zlib or gzip stream, or what is wrong with it.

    A stream that is cut short, damaged, followed by other bytes, or that expands to more than
    `max_bytes` is an error.
    """
    reader = zlib.decompressobj(_ANY_HEADER_BITS)
    try:
        content = reader.decompress(data, max_bytes + 1)
    except zlib.error as error:
        return Err(f"compressed value: {error}")
    if len(content) > max_bytes:
        return Err(f"compressed value: more than {max_bytes} bytes")
    if not reader.eof or reader.unused_data:
        return Err(f"compressed value of {len(data)} bytes does not end with its stream")
    return Ok(content)
