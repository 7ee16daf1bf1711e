"""The `disks` command: what storage instances hold, from their metrics pages."""

import json
import subprocess
import sys
from collections.abc import Awaitable, Callable

import trio

from lagoonfold_gateway._admin_endpoints import serve_metrics
from lagoonfold_io.observe import Metrics
from standins._ports import free_port
from tests._suite import load_functions


def _run_beside(metrics: Metrics, check: Callable[[str], Awaitable[None]]) -> None:
    """Run a check with the address of a metrics page."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            address = f"127.0.0.1:{free_port()}"
            await nursery.start(serve_metrics, address, metrics)
            await check(address)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def _disks(*words: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "lagoonfold_ctl", "disks", *words]
    return await trio.run_process(command, capture_stdout=True, capture_stderr=True, check=False)


def test_disks_shows_each_instance_and_those_that_do_not_answer() -> None:
    """Counters with several reasons are added up, and a missing metric counts as 0."""
    metrics = Metrics()
    metrics.set_gauge("turns_held", 1412)
    metrics.set_gauge("turns_short_of_copies", 3)
    metrics.set_gauge("disk_bytes", 7_600_000)
    metrics.count("turns_copied", "s-b", 1_400)
    metrics.count("turns_copied", "s-c", 4)

    async def check(address: str) -> None:
        away = f"127.0.0.1:{free_port()}"
        shown = await _disks(f"{address},{away}", "--json")
        assert shown.returncode == 0, shown.stderr
        here, silent = json.loads(shown.stdout)
        assert here == {
            "address": address,
            "turns": "1412",
            "short": "3",
            "copied": "1404",
            "refused": "0",
            "disk_mb": "7.6",
            "faults": "0",
        }
        assert silent["address"] == away and silent["turns"] == "no answer"
        assert address in (await _disks(address)).stdout.decode()

    _run_beside(metrics, check)


def test_disks_says_what_is_wrong_with_the_command() -> None:
    """No address, or none that answers, is an error with its own status."""

    async def check(address: str) -> None:
        missing = await _disks(",")
        assert missing.returncode == 2 and b"give an address" in missing.stderr
        silent = await _disks(f"127.0.0.1:{free_port()}")
        assert silent.returncode not in (0, 2) and b"no storage instance" in silent.stderr

    _run_beside(Metrics(), check)


load_tests = load_functions(globals())
