"""Runs the key-value stand-in in a process of its own for the benchmarks."""

import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio
from result import Ok

from lagoonfold_io import EtcdStore, HttpClient, HttpRequest
from standins._ports import free_port

_START_LIMIT_S = 10.0


@asynccontextmanager
async def start_kv(*, delay_s: float = 0.0) -> AsyncIterator[str]:
    """Run a stand-in that delays each answer by `delay_s`; yield its address."""
    port = free_port()
    address = f"127.0.0.1:{port}"
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.kv", "--port", str(port)], stdout=subprocess.DEVNULL
    )
    try:
        await _wait_until_ready(address)
        await set_faults(address, delay_s=delay_s)
        yield address
    finally:
        process.kill()
        process.wait()


async def set_faults(address: str, **fields: object) -> None:
    """Replace the stand-in's faults."""
    body = msgspec.json.encode(fields)
    request = HttpRequest(method="POST", path="/_faults", body=body)
    (await HttpClient().fetch(address, request)).unwrap()


def connect(address: str, *, calls_per_s: float = 100_000.0) -> EtcdStore:
    """Return a store client of the stand-in."""
    return EtcdStore(HttpClient(), address, calls_per_s=calls_per_s)


async def _wait_until_ready(address: str) -> None:
    store = connect(address)
    with trio.fail_after(_START_LIMIT_S):
        while not isinstance(await store.get("any"), Ok):
            await trio.sleep(0.02)
