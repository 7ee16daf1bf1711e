"""Clients that exceed the limits, and what a process under them takes up."""

import os
import subprocess
from collections.abc import Iterator
from itertools import repeat
from pathlib import Path

import trio

CHUNK_BYTES = 65_536
ONE_BYTE_CHUNKS = 200_000
WINDOW_S = 1.0
BUSY_S = 0.3  # of processor time in a window, above which the process still works on the attack


def unfinished_body(head: str, size: int) -> Iterator[bytes]:
    """Announce a body and send it without its last hundredth."""
    yield f"{head}content-length: {size}\r\n\r\n".encode()
    yield b"x" * (size * 99 // 100)


def body_far_over_the_limit(head: str) -> Iterator[bytes]:
    """Announce 1,000,000,000 bytes, and send some of them whatever the answer."""
    yield f"{head}content-length: 1000000000\r\n\r\n".encode()
    yield from repeat(b"x" * CHUNK_BYTES, 256)


def large_chunks(head: str, size: int) -> Iterator[bytes]:
    """Send chunks of `CHUNK_BYTES` up to a size, without an end."""
    yield f"{head}transfer-encoding: chunked\r\n\r\n".encode()
    yield from repeat(b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES), size // CHUNK_BYTES)


def one_byte_chunks(head: str) -> Iterator[bytes]:
    """Send `ONE_BYTE_CHUNKS` chunks of one byte, without an end."""
    yield f"{head}transfer-encoding: chunked\r\n\r\n".encode()
    yield from repeat(b"1\r\nx\r\n" * 1_000, ONE_BYTE_CHUNKS // 1_000)


def unfinished_frame(size: int) -> Iterator[bytes]:
    """Send a message of an instance without its last hundredth."""
    yield size.to_bytes(4, "big")
    yield b"x" * (size * 99 // 100)


def peak_bytes(process: subprocess.Popen) -> int:
    """Return the highest resident memory that a process has had."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def count_descriptors(process: subprocess.Popen) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def _processor_s(process: subprocess.Popen) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def until_worked_off(process: subprocess.Popen, machine_mb: int) -> int:
    """Wait until the process does little more, or has exceeded the memory of its machine.

    Returns the highest number of descriptors seen.
    """
    highest = 0
    while peak_bytes(process) <= machine_mb * 1_000_000:
        used_s, descriptors = _processor_s(process), count_descriptors(process)
        highest = max(highest, descriptors)
        await trio.sleep(WINDOW_S)
        is_quiet = _processor_s(process) - used_s < BUSY_S
        if is_quiet and count_descriptors(process) <= descriptors:
            break
    return max(highest, count_descriptors(process))


async def send(
    address: str,
    blocks: Iterator[bytes],
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Send blocks on a connection and keep it open without reading; started once connected."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    task_status.started()
    try:
        for block in blocks:
            await stream.send_all(block)
        await trio.sleep_forever()
    except trio.BrokenResourceError:
        await trio.sleep_forever()
    finally:
        await trio.aclose_forcefully(stream)
