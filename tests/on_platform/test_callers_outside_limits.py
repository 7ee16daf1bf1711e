"""Tests of a gateway process and clients that exceed the limits, on a machine with little memory.

The crowd and the bounds are those of the machine that the settings state, not measured figures. No
time is asserted: `GUARD_S` only ends a test whose process hangs.
"""

import os
import signal
import subprocess
from collections.abc import Iterator
from itertools import repeat
from pathlib import Path

import trio

from lagoonfold_io import Exchange, HttpClient, HttpRequest, HttpResponse
from lagoonfold_platform.headers import HEADERS
from standins._ports import free_port
from tests._suite import load_functions
from tests.on_platform.test_documents import CONFIG, ENTRY
from tests.on_platform.test_processes import ordinary_request, with_gateway

CLIENTS = 20
MACHINE_MB = 96  # of the machine of these tests; the smallest ones have 128
MACHINE_DESCRIPTORS = 256
MAX_BODY_BYTES = 4_194_304
BODY_BYTES = 4_150_000  # within the limit
FRAME_BYTES = 8_388_000  # within the limit of messages between instances
CHUNK_BYTES = 65_536
ONE_BYTE_CHUNKS = 200_000
LONG_ANSWER_BYTES = 8_000_000
CONNECTIONS_EACH = 20  # 400 in all
GUARD_S = 120.0
WINDOW_S = 1.0
BUSY_S = 0.3  # of processor time in a window, above which the process still works on the attack
LARGE_CONFIG = CONFIG | {
    "Limits": CONFIG["Limits"] | {"MaxBodyBytes": MAX_BODY_BYTES},
    "Services": [{"Name": "m", "MaxConns": 1000}, {"Name": "n", "MaxConns": 1000}],
}
HEAD = (
    f"POST /b/x HTTP/1.1\r\nhost: a.example\r\n{HEADERS.request_id}: id-2\r\n"
    f"{HEADERS.deadline_ms}: 60000\r\n"
)
CHUNKED_HEAD = f"{HEAD}transfer-encoding: chunked\r\n\r\n".encode()


def _announced_head(size: int) -> bytes:
    return f"{HEAD}content-length: {size}\r\n\r\n".encode()


def _unfinished_body() -> Iterator[bytes]:
    yield _announced_head(BODY_BYTES)
    yield b"x" * (BODY_BYTES * 99 // 100)


def _unfinished_frame() -> Iterator[bytes]:
    """A message of an instance to another: its length in 4 bytes, and nearly all of it."""
    yield FRAME_BYTES.to_bytes(4, "big")
    yield b"x" * (FRAME_BYTES * 99 // 100)


def _large_chunks() -> Iterator[bytes]:
    yield CHUNKED_HEAD
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    yield from repeat(chunk, MAX_BODY_BYTES // CHUNK_BYTES - 1)


def _one_byte_chunks() -> Iterator[bytes]:
    yield CHUNKED_HEAD
    yield from repeat(b"1\r\nx\r\n" * 1_000, ONE_BYTE_CHUNKS // 1_000)


def _body_far_over_the_limit() -> Iterator[bytes]:
    yield _announced_head(1_000_000_000)
    yield from repeat(b"x" * CHUNK_BYTES, 256)


def _pipelined() -> Iterator[bytes]:
    yield from repeat(_announced_head(10) + b"0123456789", 2_000)


def _one_request() -> Iterator[bytes]:
    yield _announced_head(1) + b"x"


async def _respond(request: HttpRequest, exchange: Exchange) -> None:
    """Answer an ordinary request with one word, and those of the crowd at length."""
    is_ordinary = request.header(HEADERS.request_id) == "id-1" or len(request.body) > 1
    body = b"whole" if is_ordinary else b"x" * LONG_ANSWER_BYTES
    request_id = request.header(HEADERS.request_id) or ""
    headers = ((HEADERS.signature, "seal"), (HEADERS.request_id, request_id))
    await exchange.respond(HttpResponse(status=200, headers=headers, body=body))


def _peak_bytes(process: subprocess.Popen) -> int:
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def _processor_s(process: subprocess.Popen) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _until_worked_off(process: subprocess.Popen) -> None:
    """Wait until the process does little more, or has exceeded the memory of its machine."""
    while _peak_bytes(process) <= MACHINE_MB * 1_000_000:
        used_s = _processor_s(process)
        await trio.sleep(WINDOW_S)
        if _processor_s(process) - used_s < BUSY_S:
            return


async def _send(address: str, blocks: Iterator[bytes]) -> None:
    """Send blocks on a connection and keep it open without reading."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    try:
        for block in blocks:
            await stream.send_all(block)
        await trio.sleep_forever()
    except trio.BrokenResourceError:
        await trio.sleep_forever()
    finally:
        await trio.aclose_forcefully(stream)


async def _poll_answered(client: HttpClient, address: str, request: HttpRequest) -> None:
    while True:
        with trio.move_on_after(GUARD_S / 10):
            answer = await client.fetch(address, request)
            if answer.is_ok() and answer.ok_value.status == 200:
                return
        await trio.sleep(0.1)


def _check_crowd(blocks, *, connections: int = CLIENTS, port: str = "front") -> None:
    """Let a crowd send blocks; check the process while it is there and after it has left."""
    peers = free_port()

    async def check(
        process: subprocess.Popen, client: HttpClient, address: str, readiness: str
    ) -> None:
        target = {"front": address, "readiness": readiness, "peers": f"127.0.0.1:{peers}"}[port]
        with trio.fail_after(GUARD_S):
            async with trio.open_nursery() as crowd:
                for _ in range(connections):
                    crowd.start_soon(_send, target, blocks())
                await _until_worked_off(process)
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                await _poll_answered(client, address, ordinary_request())
                crowd.cancel_scope.cancel()
            await _poll_answered(client, address, ordinary_request())
        peak_mb = _peak_bytes(process) / 1_000_000
        assert process.poll() is None
        assert peak_mb <= MACHINE_MB, f"peak of {peak_mb:.1f} MB"
        assert descriptors <= MACHINE_DESCRIPTORS, f"{descriptors} descriptors"

    with_gateway(
        check,
        config=LARGE_CONFIG,
        entry=ENTRY | {"Slots": 100},
        respond=_respond,
        more_fields={
            "PortRange.0": str(peers),
            "Limits.MemoryMb": str(MACHINE_MB),
            "Limits.MaxFds": str(MACHINE_DESCRIPTORS),
        },
    )


def test_bodies_that_lack_their_last_part_stay_within_memory() -> None:
    """Each client holds nearly a whole body, which together exceed the machine."""
    _check_crowd(_unfinished_body)


def test_large_chunks_without_end_stay_within_memory() -> None:
    """No length is announced, so nothing could be refused at the head."""
    _check_crowd(_large_chunks)


def test_chunks_of_one_byte_stay_within_memory_and_let_others_be_served() -> None:
    """Each chunk costs far more than its byte, in memory and in time, if kept as a part."""
    _check_crowd(_one_byte_chunks)


def test_bodies_far_over_the_limit_stay_within_memory() -> None:
    """They are sent although their announced length is refused."""
    _check_crowd(_body_far_over_the_limit)


def test_idle_connections_stay_within_the_descriptors_and_let_others_be_served() -> None:
    """They need no memory to speak of, but each has a descriptor."""
    _check_crowd(lambda: iter(()), connections=CLIENTS * CONNECTIONS_EACH)


def test_slow_heads_stay_within_the_descriptors_and_let_others_be_served() -> None:
    """A connection with a part of a head is not idle, and must be closed for others as well."""
    _check_crowd(lambda: iter([b"POST /b/x HTTP"]), connections=CLIENTS * CONNECTIONS_EACH)


def test_long_answers_that_are_not_read_stay_within_memory() -> None:
    """The gateway must not read from the replica what the caller does not take."""
    _check_crowd(_one_request)


def test_pipelined_requests_stay_within_memory() -> None:
    """Requests that have arrived ahead must not be read without bound."""
    _check_crowd(_pipelined)


def test_bodies_at_the_readiness_port_stay_within_memory() -> None:
    """It needs no bodies, but serves HTTP with the same code."""
    _check_crowd(_unfinished_body, port="readiness")


def test_bodies_at_the_port_for_peers_stay_within_memory() -> None:
    """It takes HTTP requests with large bodies, which share the memory with those of callers."""
    _check_crowd(_unfinished_body, port="peers")


def test_messages_that_lack_their_last_part_stay_within_memory() -> None:
    """Messages between instances at the port for peers may be twice as large as bodies."""
    _check_crowd(_unfinished_frame, port="peers")


def test_silent_connections_at_the_port_for_peers_stay_within_the_descriptors() -> None:
    """A connection that has sent nothing may become one for messages or one for requests."""
    _check_crowd(lambda: iter(()), connections=CLIENTS * CONNECTIONS_EACH, port="peers")


def test_one_body_of_the_largest_size_passes_at_a_small_machine() -> None:
    """Callers within the limits must not be affected by the limits on memory."""

    async def check(
        process: subprocess.Popen, client: HttpClient, address: str, readiness: str
    ) -> None:
        headers = (("host", "a.example"), (HEADERS.request_id, "id-3"))
        body = b"x" * MAX_BODY_BYTES
        request = HttpRequest(method="POST", path="/b/x", headers=headers, body=body)
        for _ in range(3):
            answer = (await client.fetch(address, request)).unwrap()
            assert (answer.status, answer.body) == (200, b"whole")
        process.send_signal(signal.SIGTERM)

    with_gateway(
        check, config=LARGE_CONFIG, respond=_respond, more_fields={"Limits.MemoryMb": "128"}
    )


load_tests = load_functions(globals())
