"""Requests as a replica reads them, and responses as it sends them, whole or broken off."""

import random
import socket
import struct
from collections.abc import Awaitable, Callable

import trio

from soak._answers import Part

EVENT_MS = (3, 60)  # between events
RESET = struct.pack("ii", 1, 0)  # a close then resets the connection
Work = Callable[[int, float], Awaitable[None]]
RESET_SHARE = 0.3


async def read_request(
    stream: trio.SocketStream, buffer: bytearray
) -> tuple[str, dict[str, str]] | None:
    """Return the path and the headers of the next request, None at the end."""
    while (end := buffer.find(b"\r\n\r\n")) < 0:
        data = await stream.receive_some(65_536)
        if not data:
            return None
        buffer += data
    first, *lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = end + 4 + int(headers.get("content-length", 0))
    while len(buffer) < length:
        data = await stream.receive_some(65_536)
        if not data:
            return None
        buffer += data
    del buffer[:length]
    return first.split(" ")[1], headers


async def send_events(
    stream: trio.SocketStream,
    fields: str,
    part: Part,
    rng: random.Random,
    work: Work,
    *,
    is_broken: bool,
) -> bool:
    """Send the events; one that is broken stops within or after an event."""
    head = f"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n"
    await stream.send_all(head.encode())
    left = part.total - part.after
    events_before_break = rng.randint(0, max(0, left)) if is_broken else left
    cut_bytes = rng.choice((0, 1, 5, 40, 91)) if is_broken else 0
    step_ms = rng.uniform(*EVENT_MS)
    for number in range(part.after + 1, part.after + events_before_break + 1):
        await work(part.run_id, step_ms / 1000)
        await stream.send_all(_chunk(part.event(number)))
    if not is_broken:
        await stream.send_all(b"0\r\n\r\n")
        return True
    if cut_bytes and events_before_break < left:
        data = _chunk(part.event(part.after + events_before_break + 1)[:cut_bytes])
        await stream.send_all(data[: rng.choice((len(data), len(data) - 2))])
    reset_sometimes(stream, rng)
    return False


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset_sometimes(stream: trio.SocketStream, rng: random.Random) -> None:
    if rng.random() < RESET_SHARE:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


async def send_in_parts(stream: trio.SocketStream, data: bytes, rng: random.Random) -> None:
    """Send bytes whole, or in two parts with a pause between them."""
    at = rng.choice((len(data), rng.randint(0, len(data))))
    if data[:at]:
        await stream.send_all(data[:at])
    if data[at:]:
        await trio.sleep(rng.uniform(0.005, 0.06))
        await stream.send_all(data[at:])
