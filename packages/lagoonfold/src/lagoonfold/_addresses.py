"""Splits addresses of TCP servers."""

from result import Err, Ok, Result

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> Result[tuple[str, int], str]:
    """Return the host and the port of `host:port`, or what is wrong with the port.

    split_address("10.0.0.9:8080")    # Ok(("10.0.0.9", 8080))
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return Err(f"address {address!r} does not end with a port")
    if not 1 <= int(port) <= MAX_PORT:
        return Err(f"port of address {address!r} is not from 1 to {MAX_PORT}")
    return Ok((host, int(port)))
