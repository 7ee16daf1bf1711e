"""Tests of a process of `lagoonfoldd` and clients that exceed the limits.

The crowd and the bounds are those of the settings and of the machine that they are for, not
measured figures. No time is asserted: `GUARD_S` only ends a test whose process hangs.
"""

import os
import sys
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from itertools import repeat

import trio

from lagoonfold_io import Exchange, HttpClient, HttpRequest, HttpResponse, HttpServer
from standins.fleet import Fleet
from tests import _crowds
from tests._suite import load_functions

CLIENTS = 20
CONNECTIONS = 400
MACHINE_MB = 128  # the smallest machines
MACHINE_DESCRIPTORS = 256
CALLER_MEMORY_MB = MACHINE_MB // 4  # the share that gateways take by default
MAX_CONNECTIONS = MACHINE_DESCRIPTORS // 2
BODY_BYTES = 8_300_000  # within the limit
MESSAGE_BYTES = 16_777_000  # within the limit of messages between instances
LONG_ANSWER_BYTES = 8_000_000
PIPELINED = 200  # requests of each client
GUARD_S = 120.0
ATTEMPT_S = GUARD_S / 10
MEASURED = "LAGOONFOLD_MEASURED"  # if set, what was measured is printed
SERVICE_PATH = "/v1/services/open/x"
HEAD = f"POST {SERVICE_PATH} HTTP/1.1\r\nhost: a.example\r\nlagoonfold-timeout: 100\r\n"
SETTINGS = f"""
[limits]
caller_memory_mb = {CALLER_MEMORY_MB}
max_connections = {MAX_CONNECTIONS}
"""


async def _respond(request: HttpRequest, exchange: Exchange) -> None:
    """Answer an ordinary request with one word, and those for long answers at length."""
    body = b"x" * LONG_ANSWER_BYTES if request.path == "/long" else b"whole"
    await exchange.respond(HttpResponse(status=200, body=body))


def _start_fleet(upstream: str) -> Fleet:
    """Start one instance with an open route to an upstream."""
    fleet = Fleet.start(instances=1, engines=0, tools=0, extra_settings=SETTINGS)
    identity = {"instance_id": "tool-1", "address": upstream, "failure_domain": "domain-a"}
    fleet.entries_by_id["tool-1"] = {
        **identity,
        "role": "tool",
        "service": "open-service",
        "leaving": False,
    }
    fleet.publish_list()
    route = ("--kind=service", "--target=open-service", "--idempotent=true", "--open=true")
    fleet.operate("route", "add", "open", *route)
    return fleet


async def _until_answered(client: HttpClient, address: str) -> None:
    headers = (("host", "a.example"),)
    request = HttpRequest(method="POST", path=SERVICE_PATH, headers=headers, body=b"x")
    while True:
        with trio.move_on_after(ATTEMPT_S):
            answer = await client.fetch(address, request)
            if answer.is_ok() and answer.ok_value.body == b"whole":
                return
        await trio.sleep(0.1)


async def _check_instance(
    fleet: Fleet, blocks: Callable[[], Iterator[bytes]], connections: int, port: str
) -> None:
    handle = fleet.instances_by_id["i1"]
    process, client = handle.process.child, HttpClient()
    with trio.fail_after(GUARD_S):
        await _until_answered(client, handle.listen)
        async with trio.open_nursery() as crowd:
            for _ in range(connections):
                await crowd.start(_crowds.send, getattr(handle, port), blocks())
            descriptors = await _crowds.until_worked_off(process, MACHINE_MB)
            peak_mb = _crowds.peak_bytes(process) / 1_000_000
            found = f"peak of {peak_mb:.1f} MB, {descriptors} descriptors"
            assert process.poll() is None
            assert peak_mb <= MACHINE_MB and descriptors <= MACHINE_DESCRIPTORS, found
            await _until_answered(client, handle.listen)
            crowd.cancel_scope.cancel()
        await _until_answered(client, handle.listen)
    peak_mb = _crowds.peak_bytes(process) / 1_000_000
    if MEASURED in os.environ:
        sys.stderr.write(f"peak of {peak_mb:.1f} MB, {descriptors} descriptors ")
    assert process.poll() is None
    assert peak_mb <= MACHINE_MB, f"peak of {peak_mb:.1f} MB"


def _with_fleet(check: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            number = await nursery.start(HttpServer(_respond).serve, "127.0.0.1", 0)
            fleet = await trio.to_thread.run_sync(_start_fleet, f"127.0.0.1:{number}")
            with fleet:
                await check(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run)


def _check_crowd(
    blocks: Callable[[], Iterator[bytes]], *, connections: int = CLIENTS, port: str = "listen"
) -> None:
    """Let a crowd send blocks; check the process while it is there and after it has left."""

    async def check(fleet: Fleet) -> None:
        await _check_instance(fleet, blocks, connections, port)

    _with_fleet(check)


def test_bodies_that_lack_their_last_part_stay_within_memory() -> None:
    """Each client holds nearly a whole body, which together exceed the machine."""
    _check_crowd(partial(_crowds.unfinished_body, HEAD, BODY_BYTES))


def test_large_chunks_without_end_stay_within_memory() -> None:
    """No length is announced, so nothing could be refused at the head."""
    _check_crowd(partial(_crowds.large_chunks, HEAD, BODY_BYTES))


def test_chunks_of_one_byte_stay_within_memory_and_let_others_be_served() -> None:
    """Each chunk costs far more than its byte, in memory and in time, if kept as a part."""
    _check_crowd(partial(_crowds.one_byte_chunks, HEAD))


def test_bodies_far_over_the_limit_stay_within_memory() -> None:
    """They are sent although their announced length is refused."""
    _check_crowd(partial(_crowds.body_far_over_the_limit, HEAD))


def test_idle_connections_stay_within_the_descriptors_and_let_others_be_served() -> None:
    """They need no memory to speak of, but each has a descriptor."""
    _check_crowd(lambda: iter(()), connections=CONNECTIONS)


def test_slow_heads_stay_within_the_descriptors_and_let_others_be_served() -> None:
    """A connection with a part of a head is not idle, and must make room as well."""
    _check_crowd(lambda: iter([b"POST /v1/s"]), connections=CONNECTIONS)


def test_long_answers_that_are_not_read_stay_within_memory() -> None:
    """The instance must not hold what its callers do not take."""
    head = HEAD.replace("/open/x", "/open/long")
    _check_crowd(lambda: iter([f"{head}content-length: 1\r\n\r\nx".encode()]))


def test_pipelined_requests_stay_within_memory() -> None:
    """Requests that have arrived ahead must not be read without bound."""
    request = f"{HEAD}content-length: 10\r\n\r\n0123456789".encode()
    _check_crowd(lambda: repeat(request, PIPELINED))


def test_bodies_at_the_port_for_operators_stay_within_memory() -> None:
    """It needs small bodies only, but serves HTTP with the same code."""
    _check_crowd(partial(_crowds.unfinished_body, HEAD, BODY_BYTES), port="operator")


def test_messages_that_lack_their_last_part_stay_within_memory() -> None:
    """A message may be larger than a body, and its sender need not be an instance."""
    greeting = b"\0SP\0\0\x50\0\0"  # of the socket library's protocol, as a pushing socket
    size = MESSAGE_BYTES.to_bytes(8, "big")
    _check_crowd(lambda: iter([greeting, size, b"x" * (MESSAGE_BYTES * 99 // 100)]), port="peer")


def test_silent_connections_at_the_port_for_peers_stay_within_the_descriptors() -> None:
    """The socket library accepts them on its own."""
    _check_crowd(lambda: iter(()), connections=CONNECTIONS, port="peer")


def test_one_long_answer_after_another_passes_at_a_small_machine() -> None:
    """Callers that read what they ask for must not be affected by the limits on memory."""

    async def check(fleet: Fleet) -> None:
        client, address = HttpClient(), fleet.instances_by_id["i1"].listen
        path = SERVICE_PATH.replace("/open/x", "/open/long")
        request = HttpRequest(method="POST", path=path, headers=(("host", "a.example"),), body=b"x")
        with trio.fail_after(GUARD_S):
            await _until_answered(client, address)
            for _ in range(3):
                answer = (await client.fetch(address, request)).unwrap()
                assert (answer.status, len(answer.body)) == (200, LONG_ANSWER_BYTES)

    _with_fleet(check)


load_tests = load_functions(globals())
