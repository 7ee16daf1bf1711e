"""Compression of values that are sent to every instance; decompression has a size limit."""

import zlib

from result import Err, Ok, Result

_FAST_LEVEL = 1
_ZLIB_OR_GZIP_WBITS = zlib.MAX_WBITS | 32  # detects the format by its header


def compress(data: bytes) -> bytes:
    """Return the data as a zlib stream."""
    return zlib.compress(data, _FAST_LEVEL)


def decompress(data: bytes, *, max_bytes: int) -> Result[bytes, str]:
    """Return the content of a zlib or gzip stream, or a description of the fault.

    A stream that is truncated, damaged, followed by other bytes, or that expands to more than
    `max_bytes` is an error.
    """
    reader = zlib.decompressobj(_ZLIB_OR_GZIP_WBITS)
    try:
        content = reader.decompress(data, max_bytes + 1)
    except zlib.error as error:
        return Err(f"compressed value: {error}")
    if len(content) > max_bytes:
        return Err(f"compressed value: more than {max_bytes} bytes")
    if not reader.eof or reader.unused_data:
        return Err(f"compressed value of {len(data)} bytes is truncated or has trailing data")
    return Ok(content)
