"""Tests of a process of the storage role and clients that exceed the limits.

The crowd and the bounds are those of the machine that the settings state, not measured figures. No
time is asserted: `GUARD_S` only ends a test whose process hangs.
"""

import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from functools import partial
from itertools import repeat

import trio
from store_standin import StoreStandIn

from lagoonfold.histories import KeptTurn
from lagoonfold_gateway._messages import (
    Envelope,
    KeepTurns,
    Message,
    TurnQuery,
    TurnsFound,
    TurnsKept,
)
from lagoonfold_gateway._peer_link import FrameReader, encode_frame
from lagoonfold_io import HttpClient, HttpRequest
from standins._ports import free_port
from tests import _crowds
from tests._suite import load_functions
from tests.on_platform.test_processes import with_storage

CLIENTS = 20
CONNECTIONS = 400
MACHINE_MB = 96
MACHINE_DESCRIPTORS = 256
BODY_BYTES = 4_150_000
FRAME_BYTES = 8_388_000  # within the limit of messages between instances
TURN_BYTES = 1_000_000
QUERIES = 50  # each answered with the whole turn
GUARD_S = 120.0
MEASURED = "LAGOONFOLD_MEASURED"  # if set, what was measured is printed
ATTEMPT_S = GUARD_S / 10
HEAD = "POST / HTTP/1.1\r\nhost: a.example\r\n"
MEMORY_FIELDS = {
    "Limits.MemoryMb": str(MACHINE_MB),
    "Limits.MaxFds": str(MACHINE_DESCRIPTORS),
}
TURN = KeptTurn(
    turn_id="t", account="a", previous=None, program="p", request=b"x" * TURN_BYTES, answer=b"y"
)
QUERY = encode_frame(Envelope(1, False, TurnQuery(turn_id="t", account="a")))


async def _ask(address: str, message: Message) -> Message | None:
    """Send a message on a new connection; return its answer, None if there is none."""
    host, _, port = address.rpartition(":")
    try:
        with trio.move_on_after(ATTEMPT_S):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(encode_frame(Envelope(1, False, message)))
                envelope = await FrameReader(stream).read()
                return envelope.message if envelope is not None else None
    except (OSError, trio.BrokenResourceError):
        return None


async def _until_kept(address: str) -> None:
    while not isinstance(await _ask(address, KeepTurns(turns=(TURN,), keep_s=(600.0,))), TurnsKept):
        await trio.sleep(0.1)


async def _until_found(address: str) -> None:
    while True:
        answer = await _ask(address, TurnQuery(turn_id="t", account="a"))
        if isinstance(answer, TurnsFound) and answer.turns == (TURN,):
            return
        await trio.sleep(0.1)


async def _until_metrics(address: str) -> None:
    client = HttpClient()
    while True:
        with trio.move_on_after(ATTEMPT_S):
            answer = await client.fetch(address, HttpRequest(method="GET", path="/metrics"))
            if answer.is_ok() and answer.ok_value.status == 200:
                client.close()
                return
        await trio.sleep(0.1)


def _check_crowd(
    blocks: Callable[[], Iterator[bytes]], *, connections: int = CLIENTS, port: str = "peers"
) -> None:
    """Let a crowd send blocks; check the process while it is there and after it has left."""
    address_by_port = {name: f"127.0.0.1:{free_port()}" for name in ("peers", "metrics")}

    async def check(process: subprocess.Popen, store: StoreStandIn) -> None:
        with trio.fail_after(GUARD_S):
            await _until_kept(address_by_port["peers"])
            async with trio.open_nursery() as crowd:
                for _ in range(connections):
                    await crowd.start(_crowds.send, address_by_port[port], blocks())
                descriptors = await _crowds.until_worked_off(process, MACHINE_MB)
                peak_mb = _crowds.peak_bytes(process) / 1_000_000
                found = f"peak of {peak_mb:.1f} MB, {descriptors} descriptors"
                assert process.poll() is None
                assert peak_mb <= MACHINE_MB and descriptors <= MACHINE_DESCRIPTORS, found
                await _until_found(address_by_port["peers"])
                await _until_metrics(address_by_port["metrics"])
                crowd.cancel_scope.cancel()
            await _until_found(address_by_port["peers"])
            await _until_metrics(address_by_port["metrics"])
        peak_mb = _crowds.peak_bytes(process) / 1_000_000
        if MEASURED in os.environ:
            sys.stderr.write(f"peak of {peak_mb:.1f} MB, {descriptors} descriptors ")
        assert process.poll() is None
        assert peak_mb <= MACHINE_MB, f"peak of {peak_mb:.1f} MB"

    with_storage(
        check,
        more_fields=MEMORY_FIELDS,
        metrics=address_by_port["metrics"],
        limit_s=2 * GUARD_S,
        **{"PortRange.0": address_by_port["peers"].rpartition(":")[2]},
    )


def _bodies(port: str) -> None:
    _check_crowd(partial(_crowds.unfinished_body, HEAD, BODY_BYTES), port=port)


def test_messages_that_lack_their_last_part_stay_within_memory() -> None:
    """Each client holds nearly a whole message, which together exceed the machine."""
    _check_crowd(partial(_crowds.unfinished_frame, FRAME_BYTES))


def test_answers_to_instances_that_are_not_read_stay_within_memory() -> None:
    """A short question has a long answer, which must not be queued without bound."""
    _check_crowd(lambda: repeat(QUERY, QUERIES))


def test_silent_connections_at_the_port_for_peers_stay_within_the_descriptors() -> None:
    """They need no memory to speak of, but each has a descriptor."""
    _check_crowd(lambda: iter(()), connections=CONNECTIONS)


def test_messages_that_barely_begin_stay_within_the_descriptors() -> None:
    """A connection that has sent a byte is not silent, and must make room as well."""
    _check_crowd(lambda: iter([b"\0"]), connections=CONNECTIONS)


def test_bodies_at_the_port_for_peers_stay_within_memory() -> None:
    """A storage instance takes no HTTP there, and must not gather it."""
    _bodies("peers")


def test_chunks_of_one_byte_at_the_port_for_peers_stay_within_memory() -> None:
    """A storage instance takes no HTTP there, and must not gather it."""
    _check_crowd(partial(_crowds.one_byte_chunks, HEAD))


def test_bodies_at_the_metrics_port_stay_within_memory() -> None:
    """It needs no bodies, but serves HTTP with the same code as the port for callers."""
    _bodies("metrics")


def test_bodies_far_over_the_limit_at_the_metrics_port_stay_within_memory() -> None:
    """They are sent although their announced length is refused."""
    _check_crowd(partial(_crowds.body_far_over_the_limit, HEAD), port="metrics")


def test_large_chunks_at_the_metrics_port_stay_within_memory() -> None:
    """No length is announced, so nothing could be refused at the head."""
    _check_crowd(partial(_crowds.large_chunks, HEAD, BODY_BYTES), port="metrics")


def test_chunks_of_one_byte_at_the_metrics_port_stay_within_memory() -> None:
    """Each chunk costs far more than its byte, if it is kept as a part."""
    _check_crowd(partial(_crowds.one_byte_chunks, HEAD), port="metrics")


def test_idle_connections_at_the_metrics_port_stay_within_the_descriptors() -> None:
    """Those who read the metrics must still be answered."""
    _check_crowd(lambda: iter(()), connections=CONNECTIONS, port="metrics")


def test_slow_heads_at_the_metrics_port_stay_within_the_descriptors() -> None:
    """A connection with a part of a head is not idle, and must make room as well."""
    _check_crowd(lambda: iter([b"GET /me"]), connections=CONNECTIONS, port="metrics")


def test_pipelined_requests_at_the_metrics_port_stay_within_memory() -> None:
    """Answers that are not read must stop further requests from being read."""
    request = b"GET /metrics HTTP/1.1\r\nhost: a.example\r\n\r\n"
    _check_crowd(lambda: repeat(request * 100, 50), port="metrics")


load_tests = load_functions(globals())
