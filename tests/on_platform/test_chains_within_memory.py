"""Tests of a gateway process and turns that go on from long kept ones, on a small machine.

The bound is the memory of the machine that the settings state.
"""

import json
import subprocess
import tempfile
from functools import partial
from pathlib import Path

import trio

from lagoonfold.histories import KeptTurn
from lagoonfold_gateway import DEFAULT_RETIREMENT
from lagoonfold_gateway._settings import StoreSection
from lagoonfold_gateway.histories._disk_controller import DISK_PREFIX
from lagoonfold_gateway.storage import StorageNode, StorageSettings
from lagoonfold_gateway.storage._settings import StorageInstanceSection
from lagoonfold_io import Exchange, HttpClient, HttpRequest, HttpResponse, TurnFile
from lagoonfold_platform.headers import HEADERS
from standins._ports import free_port
from standins.transactional_store import MemoryStore, StoreView
from tests._crowds import peak_bytes
from tests._suite import load_functions
from tests.on_platform.test_documents import CONFIG, ENTRY
from tests.on_platform.test_processes import with_gateway

MACHINE_MB = 96  # as in the tests of callers outside the limits
LONG_BYTES = 4_000_000
PARENTS = 16  # whose inputs together exceed the machine
SUB_AGENTS = 10
KEEP_S = 600.0
SERVED_S = 0.5  # by a replica, long enough for all requests to be in progress together
GUARD_S = 60.0
SHORT_OF_MEMORY = 503
ROUTE = CONFIG["Routes"][0] | {
    "TimeoutMs": 20_000,
    "TrafficSplit": [{"Service": "n", "Weight": 1}],
    "AuthExempt": True,
    "AllowResume": False,
    "RetainContext": True,
    "RetentionS": 60,
}
RETAINING_CONFIG = CONFIG | {
    "Routes": [ROUTE],
    "Services": [{"Name": "n", "MaxConns": 1000}],
    "Limits": CONFIG["Limits"] | {"MaxBodyBytes": 4_194_304},
}


def _parent(number: int) -> KeptTurn:
    return KeptTurn(
        turn_id=f"parent-{number}",
        account="",
        previous=None,
        program=f"program-{number}",
        request=b"x" * LONG_BYTES,
        answer=b"y",
    )


async def _add_disks(root: Path, nursery: trio.Nursery) -> dict[str, bytes]:
    """Start two storage instances in a folder that hold all parents; return their entries."""
    disk_store, entries = MemoryStore(), {}
    for name in ("storage-1", "storage-2"):
        folder = root / name
        folder.mkdir()
        settings = StorageSettings(
            instance=StorageInstanceSection(
                id=name,
                failure_domain="zone-a",
                peers=f"127.0.0.1:{free_port()}",
                data_folder=str(folder),
            ),
            store=StoreSection(address="127.0.0.1:1"),
        )
        file = TurnFile.open(f"{folder}/turns.db", max_bytes=200_000_000).unwrap()
        node = StorageNode(settings, DEFAULT_RETIREMENT, StoreView(disk_store), file, nursery)
        await node.start(nursery)
        key = DISK_PREFIX + name
        with trio.fail_after(GUARD_S):
            while not node.registration.is_listed:
                await trio.sleep(0.05)
            for number in range(PARENTS):
                (await node.turn_store.keep((_parent(number),), (KEEP_S,))).unwrap()
        entries[key] = disk_store.value(key)
    return entries


async def _respond(request: HttpRequest, exchange: Exchange) -> None:
    """Answer with one event whose data is the size of the prompt."""
    await trio.sleep(SERVED_S)
    headers = (
        (HEADERS.signature, "seal"),
        (HEADERS.request_id, request.header(HEADERS.request_id) or ""),
        ("content-type", "text/event-stream"),
    )
    body = b"id: 1\ndata: %d\n\n" % len(request.body)
    await exchange.respond(HttpResponse(status=200, headers=headers, body=body))


async def _go_on(client: HttpClient, address: str, parent: int, request_id: str) -> HttpResponse:
    headers = (
        ("host", "a.example"),
        (HEADERS.request_id, request_id),
        (HEADERS.deadline_ms, "20000"),
        (HEADERS.previous_turn, f"parent-{parent}"),
    )
    request = HttpRequest(method="POST", path="/a/x", headers=headers, body=b"next")
    return (await client.fetch(address, request, timeout_s=GUARD_S, new_connection=True)).unwrap()


def _send_all(parents: list[int]) -> list[HttpResponse]:
    """Send turns that go on from parents, all at once; check the process and return the answers."""
    answers: list[HttpResponse] = []

    async def check(
        process: subprocess.Popen, client: HttpClient, address: str, readiness: str
    ) -> None:
        async def send(parent: int, request_id: str) -> None:
            answers.append(await _go_on(client, address, parent, request_id))

        with trio.fail_after(GUARD_S):
            async with trio.open_nursery() as nursery:
                for number, parent in enumerate(parents):
                    nursery.start_soon(send, parent, f"turn-{number}")
        peak_mb = peak_bytes(process) / 1_000_000
        assert process.poll() is None
        assert peak_mb <= MACHINE_MB, f"peak of {peak_mb:.1f} MB"
        after = await _go_on(client, address, 0, "afterwards")
        assert after.status == 200, after

    with tempfile.TemporaryDirectory() as folder:
        with_gateway(
            check,
            config=RETAINING_CONFIG,
            entry=ENTRY | {"Slots": 100, "ColdRemainingMs": 0},
            respond=_respond,
            more_fields={"Limits.MemoryMb": str(MACHINE_MB)},
            more_entries=partial(_add_disks, Path(folder)),
        )
    return answers


def _is_whole(answer: HttpResponse) -> bool:
    size = LONG_BYTES + len(b"y") + len(b"next")
    return answer.status == 200 and json.loads(answer.body.split(b"data: ")[1]) == size


def test_turns_that_go_on_from_one_long_turn_share_its_memory() -> None:
    """Each sub-agent used to hold its parent's input three times, and the process was killed."""
    answers = _send_all([0] * SUB_AGENTS)
    assert all(map(_is_whole, answers)), [answer.status for answer in answers]


def test_turns_that_go_on_from_many_long_turns_stay_within_memory() -> None:
    """What turns go on from was in no account of memory; those without memory are told so."""
    answers = _send_all(list(range(PARENTS)))
    refused = [answer for answer in answers if not _is_whole(answer)]
    assert len(refused) < PARENTS
    for answer in refused:
        assert answer.status == SHORT_OF_MEMORY and answer.header("retry-after"), answer


load_tests = load_functions(globals())
