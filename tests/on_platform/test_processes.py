"""Tests of the roles as processes, started and stopped as the platform does."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from store_standin import StoreStandIn

from lagoonfold_io import Exchange, HttpClient, HttpRequest, HttpResponse, HttpServer
from lagoonfold_platform.headers import HEADERS
from standins._ports import free_port
from tests._suite import load_functions
from tests.on_platform import PLATFORM, ROOT
from tests.on_platform.test_documents import CONFIG, ENTRY

WAIT_S = 15.0
START = PLATFORM / "start.py"
METRICS_PORT = 9464
SETTINGS_VARIABLE = "LAGOONFOLD_NODE_FILE"


def render_template(role: str, value_by_name: dict[str, str]) -> str:
    """Return the settings of a role's template with its placeholders replaced."""
    text = (ROOT / "deploy" / f"{role}.ini").read_text()
    for name, value in value_by_name.items():
        text = text.replace("{{" + name + "}}", value)
    assert "{{" not in text, text
    # The template's fixed port may be in use on the machine that runs the test.
    return text.replace(f":{METRICS_PORT}", f":{free_port()}")


async def _respond_slowly(request: HttpRequest, exchange: Exchange) -> None:
    await trio.sleep(1.0)
    headers = ((HEADERS.signature, "seal"),)
    await exchange.respond(HttpResponse(status=200, headers=headers, body=b"whole"))


async def _poll_ready(client: HttpClient, address: str, expected: int) -> None:
    with trio.fail_after(WAIT_S):
        while True:
            answer = await client.fetch(address, HttpRequest(method="GET", path="/"))
            if answer.is_ok() and answer.ok_value.status == expected:
                return
            await trio.sleep(0.05)


def with_gateway(
    check: Callable[[subprocess.Popen, HttpClient, str, str], Awaitable[None]],
    *,
    config: dict = CONFIG,
    entry: dict = ENTRY,
    respond: Callable[[HttpRequest, Exchange], Awaitable[None]] = _respond_slowly,
    more_fields: dict[str, str] | None = None,
    more_entries: Callable[[trio.Nursery], Awaitable[dict[str, bytes]]] | None = None,
) -> list[dict]:
    """Run a gateway with a replica and a store; return the lines that it logged.

    `more_entries` starts what else the gateway finds by the store, and returns its entries.
    """

    async def run(log: Path, settings: Path) -> None:
        async with trio.open_nursery() as nursery:
            store = StoreStandIn()
            await nursery.start(store.serve)
            port = await nursery.start(HttpServer(respond).serve, "127.0.0.1", 0)
            store.put("op/config", json.dumps(config).encode())
            listed = entry | {"Service": "n", "Address": f"127.0.0.1:{port}"}
            store.put("servers/i-1", json.dumps(listed).encode())
            entries = await more_entries(nursery) if more_entries is not None else {}
            for key, value in entries.items():
                store.put(key, value)
            address, readiness = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
            fields = {
                "NodeName": "front-1",
                "Zone": "zone-a",
                "Ip": "127.0.0.1",
                "Listen.Front": address,
                "Listen.Readiness": readiness,
                "PortRange.0": str(free_port()),
                "Bootstrap": "true",
                "Provider.Address": store.address,
                "Bounds.GraceS": "8",
                "Bounds.ConfigApplyMs": "2000",
                "Bounds.DrainMs": "2000",
                "Bounds.QuotaWindowS": "5",
                "Bounds.QuotaSlack": "20",
                "FaultTolerance.Machines": "1",
                "FaultTolerance.Zones": "0",
                "FaultTolerance.Regions": "0",
                "Limits.MemoryMb": "256",
                "Limits.MaxFds": "4096",
                "Limits.Cores": "2",
                "Limits.CpuShare": "0.5",
                **(more_fields or {}),
            }
            settings.write_text(render_template("gateway", fields))
            process = subprocess.Popen(
                [sys.executable, str(START), "gateway"],
                cwd=ROOT,
                env=os.environ | {SETTINGS_VARIABLE: str(settings)},
                stdout=log.open("w"),
            )
            client = HttpClient()
            try:
                await _poll_ready(client, readiness, 200)
                await check(process, client, address, readiness)
            finally:
                process.kill()
                process.wait()
            nursery.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "log"
        trio.run(run, log, Path(folder) / "settings.ini")
        return [json.loads(line) for line in log.read_text().splitlines()]


def ordinary_request() -> HttpRequest:
    headers = (("host", "a.example"), (HEADERS.request_id, "id-1"), (HEADERS.deadline_ms, "3000"))
    return HttpRequest(method="POST", path="/b/x", headers=headers, body=b"x")


async def _signal_during_request(
    process: subprocess.Popen, number: int, client: HttpClient, address: str
) -> None:
    """Send a signal while a request is running; check that its response is complete."""
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            answer = (await client.fetch(address, ordinary_request())).unwrap()
            assert (answer.status, answer.body) == (200, b"whole")

        nursery.start_soon(send)
        await trio.sleep(0.3)
        process.send_signal(number)


def test_planned_stop_completes_running_requests() -> None:
    """After SIGTERM the instance is not ready, completes running requests and exits with 0."""

    async def check(
        process: subprocess.Popen, client: HttpClient, address: str, readiness: str
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_signal_during_request, process, signal.SIGTERM, client, address)
            await _poll_ready(client, readiness, 503)
        with trio.fail_after(WAIT_S):
            while process.poll() is None:
                await trio.sleep(0.05)
        assert process.returncode == 0

    lines = with_gateway(check)
    events = [line["event"] for line in lines]
    assert "gateway.started" in events and events[-1] == "gateway.stopped"
    (done,) = [line for line in lines if line["event"] == "request.done"]
    assert done["request_id"] == "id-1" and done["outcome"] == "answered"
    assert all(line["instance"] == "front-1" and "at" in line for line in lines)


def test_settings_reload_completes_running_requests() -> None:
    """A request that runs during a SIGHUP gets its complete response."""

    async def check(
        process: subprocess.Popen, client: HttpClient, address: str, readiness: str
    ) -> None:
        await _signal_during_request(process, signal.SIGHUP, client, address)
        assert process.poll() is None

    lines = with_gateway(check)
    assert "settings.reloaded" in [line["event"] for line in lines]


def with_storage(
    check: Callable[[subprocess.Popen, StoreStandIn], Awaitable[None]],
    *,
    metrics: str = "",
    limit_s: float = WAIT_S,
    more_fields: dict[str, str] | None = None,
    **changed: str,
) -> list[dict]:
    """Run a storage instance with a store; return the lines that it logged.

    `more_fields` replaces fields of the template whose names have dots. The metrics port is a free
    one unless it is given.
    """

    async def run(folder: Path) -> None:
        async with trio.open_nursery() as nursery:
            store = StoreStandIn()
            await nursery.start(store.serve)
            fields = {
                "NodeName": "storage-1",
                "Zone": "zone-a",
                "Region": "region-1",
                "Ip": "127.0.0.1",
                "PortRange.0": str(free_port()),
                "Provider.Address": store.address,
                "DataDir": str(folder),
                "Limits.DiskMb": "20",
                "Limits.MemoryMb": "256",
                "Limits.MaxFds": "4096",
                "FaultTolerance.Machines": "1",
                "FaultTolerance.Zones": "0",
                "FaultTolerance.Regions": "0",
            }
            settings = folder / "settings.ini"
            text = render_template("storage", fields | (more_fields or {}) | changed)
            if metrics:
                text = re.sub("^metrics = .*$", f"metrics = {metrics}", text, flags=re.MULTILINE)
            settings.write_text(text)
            process = subprocess.Popen(
                [sys.executable, str(START), "storage"],
                cwd=ROOT,
                env=os.environ | {SETTINGS_VARIABLE: str(settings)},
                stdout=(folder / "log").open("w"),
                stderr=subprocess.STDOUT,
            )
            try:
                with trio.fail_after(limit_s):
                    await check(process, store)
            finally:
                process.kill()
                process.wait()
            nursery.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        trio.run(run, Path(folder))
        return [json.loads(line) for line in (Path(folder) / "log").read_text().splitlines()]


async def _until_ended(process: subprocess.Popen) -> int:
    while process.poll() is None:
        await trio.sleep(0.05)
    return process.returncode


async def _until_ended_by_many_signals(process: subprocess.Popen) -> int:
    with trio.fail_after(WAIT_S):
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.001)
    return process.returncode


def test_storage_role_lists_its_disk_and_runs_until_sigterm() -> None:
    """It goes on at SIGHUP, ends with 0 at SIGTERM, and its entry stays, as its turns do."""

    async def check(process: subprocess.Popen, store: StoreStandIn) -> None:
        while store.value("lagoonfold/disks/storage-1") is None:
            await trio.sleep(0.05)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert await _until_ended(process) == 0
        entry = json.loads(store.value("lagoonfold/disks/storage-1"))
        assert entry["failure_domain"] == "zone-a" and not entry["is_leaving"], entry

    lines = with_storage(check)
    events = [line["event"] for line in lines]
    assert "storage.started" in events and events[-1] == "storage.stopped", events
    assert all(line["instance"] == "storage-1" for line in lines)


def test_signals_that_arrive_during_a_stop_do_not_end_a_storage_instance_before_it_is_done() -> (
    None
):
    """They come again and again until the process has ended."""

    async def check(process: subprocess.Popen, store: StoreStandIn) -> None:
        while store.value("lagoonfold/disks/storage-1") is None:
            await trio.sleep(0.05)
        assert await _until_ended_by_many_signals(process) == 0

    for _ in range(3):
        events = [line["event"] for line in with_storage(check)]
        assert events[-1] == "storage.stopped", events


def test_signals_that_arrive_during_a_stop_do_not_end_a_gateway_before_it_is_done() -> None:
    """They come again and again until the process has ended."""

    async def check(
        process: subprocess.Popen, client: HttpClient, address: str, readiness: str
    ) -> None:
        assert await _until_ended_by_many_signals(process) == 0

    events = [line["event"] for line in with_gateway(check)]
    assert events[-1] == "gateway.stopped", events


def test_empty_storage_instance_is_retired_at_once() -> None:
    """A disk without turns leaves the list together with the answer to the operator."""

    async def check(process: subprocess.Popen, store: StoreStandIn) -> None:
        while store.value("lagoonfold/disks/storage-1") is None:
            await trio.sleep(0.05)
        store.put("op/retire/storage-1", b'{"CompleteByS": 10}')
        while store.value("status/retire/storage-1") != b'{"State":"complete"}':
            await trio.sleep(0.05)
        assert store.value("lagoonfold/disks/storage-1") is None

    lines = with_storage(check)
    assert "retirement.complete" in [line["event"] for line in lines]


def test_storage_role_with_faulty_settings_names_all_faults() -> None:
    """Nothing starts; each fault is printed, and the status of the process is 2."""
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.ini"
        settings.write_text("[instance]\nid = storage-1\nmax_disk_mb = none\n[disk]\n")
        run = subprocess.run(
            [sys.executable, str(START), "storage"],
            env=os.environ | {SETTINGS_VARIABLE: str(settings)},
            capture_output=True,
            text=True,
        )
    assert run.returncode == 2
    for fault in ("[instance] max_disk_mb = 'none'", "section [disk] does not exist"):
        assert fault in run.stderr, run.stderr
    for missing in ("[instance] peers is required", "section [store] is missing"):
        assert missing in run.stderr, run.stderr


def test_unknown_role_is_refused_by_name() -> None:
    """An unknown role ends the program with status 2 and is named in the error."""
    run = subprocess.run([sys.executable, str(START), "x"], capture_output=True, text=True)
    assert run.returncode == 2 and "'x'" in run.stderr


load_tests = load_functions(globals())
