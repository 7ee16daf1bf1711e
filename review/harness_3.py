"""Stand-ins and helpers of the cases in `review/11` to `review/15`, with the standard library only.

The gateways are the project's own processes, started with the command of the deploy file and
settings from its template. The store, the replicas and the callers are small stand-ins that follow
the platform's pages. All addresses are loopback addresses, all ports are free ones.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MAX_KEY_BYTES = 200  # PROTOCOL: "`Key` (at most 200 bytes)"
MAX_TXN_ENTRIES = 32
STORE_ANSWER_S = 0.004  # SYSTEM: "4 ms an answer"
BROKEN, HELD, NOT_RUN = 1, 0, 2
_ids = itertools.count(1)


class CaseError(Exception):
    """The case could not be run."""


def new_id() -> str:
    """Return an id of a client attempt, as callers write it."""
    return f"{os.getpid() & 0xFFFF:04x}{next(_ids):012x}"


_taken_ports: set[int] = set()


def free_port() -> int:
    """Return a free port of the loopback interface that was not returned before."""
    while True:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = sock.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def note(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


# HTTP


@dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case. `start` is its first line."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return Message(lines[0], [(key.strip().lower(), value.strip()) for key, _, value in pairs])


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the whole body; raise `IncompleteReadError` if it ends early."""
    if (head.header("transfer-encoding") or "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.header("content-length") or 0))


def encode(start: str, headers: list[tuple[str, str]], body: bytes | None) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


@dataclass(slots=True)
class Answer:
    """What a caller got: `status` is None for a connection that ended without a whole answer."""

    status: int | None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    took_s: float = 0.0


async def send(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a connection of its own, and read the answer."""
    began_s = time.monotonic()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body if body else b""))
            head = await read_head(reader)
            if head is None:
                return Answer(None, took_s=time.monotonic() - began_s)
            status = int(head.start.split()[1])
            read = await read_body(reader, head)
            return Answer(status, dict(head.headers), read, time.monotonic() - began_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(None, took_s=time.monotonic() - began_s)
    finally:
        if writer is not None:
            writer.close()


# The platform's store


class Store:
    """The platform's store, as PROTOCOL tells it; `refused` counts the calls that it refused."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.refused: list[str] = []
        self._until_s_by_lease: dict[int, float] = {}
        self._ttl_s_by_lease: dict[int, float] = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        self._expiry = asyncio.create_task(self._expire())
        self._server = server

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._wake()

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._wake()

    def _put(self, key: str, text: str, lease: int) -> None:
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {"Key": key, "Value": text, "Revision": self.revision}
        self.items[key] = item | {"Created": created, "LeaseId": lease}
        self.history.append(self.items[key])

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, until_s in tuple(self._until_s_by_lease.items()):
                if until_s <= now:
                    self._end(lease)

    def _end(self, lease: int) -> None:
        self._until_s_by_lease.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item["LeaseId"] == lease:
                self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await asyncio.sleep(STORE_ANSWER_S)
                method, target, _ = head.start.split(" ")
                status, answer = await self._answer(method, target, body)
                if status == 400:
                    self.refused.append(f"{method} {target}")
                content = [("Content-Type", "application/json")]
                data = json.dumps(answer).encode()
                writer.write(encode(f"HTTP/1.1 {status} Store", content, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        split = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(split.query).items()}
        name = split.path.removeprefix("/lagoonfold/")
        now = time.monotonic()
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (404, {}) if item is None else (200, item | {"StoreRevision": self.revision})
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return 200, await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            lease, ttl_s = next(_ids), json.loads(body)["TtlMs"] / 1_000
            self._ttl_s_by_lease[lease], self._until_s_by_lease[lease] = ttl_s, now + ttl_s
            return 200, {"LeaseId": lease, "TtlMs": int(ttl_s * 1_000)}
        lease = int(name.rpartition("/")[2])
        if lease not in self._until_s_by_lease:
            return 404, {}
        if method == "DELETE":
            self._end(lease)
            return 200, {}
        self._until_s_by_lease[lease] = now + self._ttl_s_by_lease[lease]
        return 200, {"TtlMs": int(self._ttl_s_by_lease[lease] * 1_000)}

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = query["PathPrefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:500]]
        return {"items": page, "HasMore": len(keys) > 500, "StoreRevision": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict:
        prefix, after = query["PathPrefix"], int(query["after"])
        until_s = time.monotonic() + int(query["WaitMs"]) / 1_000
        while True:
            changed, left_s = self._changed, until_s - time.monotonic()
            events = [
                each
                for each in self.history
                if each["Revision"] > after and each["Key"].startswith(prefix)
            ]
            if events or left_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        checks, puts, removes = body["ExpectedRev"], body["Put"], body["Remove"]
        keys = [*(each["Key"] for each in (*checks, *puts)), *removes]
        if len(keys) > MAX_TXN_ENTRIES or any(len(key.encode()) > MAX_KEY_BYTES for key in keys):
            return 400, {}
        current = [
            self.items.get(each["Key"], {"Key": each["Key"], "Value": "", "Revision": 0})
            for each in checks
        ]
        if any(
            item["Revision"] != each["Revision"] for item, each in zip(current, checks, strict=True)
        ):
            return 412, {"items": current}
        leases = {each.get("LeaseId", 0) for each in puts} - {0}
        if not leases <= self._until_s_by_lease.keys():
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in keys[len(checks) :]):
            return 403, {}
        self.revision += 1
        for each in puts:
            self._put(each["Key"], each["Value"], each.get("LeaseId", 0))
        for key in removes:
            self._remove(key)
        self._wake()
        return 200, {"Revision": self.revision}


# Replicas

Run = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica that runs up to `slots` requests at once, queues some and registers in the store.

    `run` answers a request that has begun to run. `on_request` is told of each one that begins.
    """

    def __init__(self, store: Store, service: str, zone: str, run: Run, *, slots: int) -> None:
        self._store, self._service, self._zone, self._run = store, service, zone, run
        self.slots = slots
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.replica_id = ""
        self.is_up = False
        self.on_request: Callable[[Replica, Message], None] = lambda replica, request: None
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        """Start a new incarnation with a new id."""
        self.replica_id = f"i-{new_id()}"
        self.born = int(time.time() * 1_000)
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=256, reuse_address=True, limit=1_048_576
        )
        self.is_up = True
        self.register()

    def register(self, state: str = "ready") -> None:
        entry = {
            "Service": self._service,
            "Address": self.address,
            "Zone": self._zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
        }
        self._store.put(f"servers/{self.replica_id}", json.dumps(entry).encode())

    def crash(self) -> None:
        """End at once: connections are reset and new ones are refused; nothing is sent."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        own_id = self.replica_id
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                if not self.is_up or own_id != self.replica_id:
                    return
                request_id = head.header("attempt-id") or ""
                if head.header("expect-replica") not in (None, own_id):
                    names = [("Replica-Id", own_id), ("Attempt-Id", request_id)]
                    writer.write(encode("HTTP/1.1 421 Misdirected", names, b""))
                    await writer.drain()
                    continue
                async with self._free:
                    self.on_request(self, head)
                    await self._run(self, head, writer)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def answer_whole(request: Message, body: bytes, status: str = "200 OK") -> bytes:
    """Return a replica's signed answer."""
    headers = [("Attempt-Id", request.header("attempt-id") or ""), ("Server-Seal", "seal.1")]
    return encode(f"HTTP/1.1 {status}", headers, body)


async def stream_events(
    request: Message, writer: asyncio.StreamWriter, events: int, pause_s: float
) -> None:
    """Answer with a signed stream of numbered events."""
    headers = [
        ("Attempt-Id", request.header("attempt-id") or ""),
        ("Server-Seal", "seal.1"),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    writer.write(encode("HTTP/1.1 200 OK", headers, None))
    for number in range(int(request.header("last-event-id") or 0) + 1, events + 1):
        await asyncio.sleep(pause_s)
        data = f"id: {number}\ndata: part {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


# Gateways


def site_fields(**changed: object) -> dict:
    """Return a process's settings like those of a small deployment (DEPLOY, `fleetbench wire`)."""
    fields = {
        "MachineClass": "front",
        "Zone": "zone-a",
        "Region": "region-1",
        "Ip": HOST,
        "Bootstrap": True,
        "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 150, "MaxFds": 4100, "DiskMb": 0},
        "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
        "Bounds": {
            "GraceS": 8,
            "ConfigApplyMs": 2000,
            "DrainMs": 2000,
            "QuotaWindowS": 5,
            "QuotaSlack": 20,
        },
    }
    return fields | changed


def _render(text: str, fields: dict) -> str:
    def value_of(found: re.Match) -> str:
        value: object = fields
        for part in found[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Gateway:
    """A gateway process; what it logs goes to a file in a temporary folder."""

    def __init__(self, name: str, zone: str, store: Store, folder: Path, **changed: object) -> None:
        self.name = name
        self.address = f"{HOST}:{free_port()}"
        self.readiness = f"{HOST}:{free_port()}"
        self._metrics_port = free_port()
        self._folder = folder
        self.fields = site_fields(
            NodeName=name,
            Zone=zone,
            Listen={"Front": self.address, "Readiness": self.readiness},
            PortRange=[free_port(), 0],
            Provider={"Address": store.address},
            **changed,
        )
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0

    @property
    def log_path(self) -> Path:
        return self._folder / f"{self.name}.log"

    async def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        template = (ROOT / role["template"]).read_text()
        settings = self._folder / f"{self.name}.ini"
        text = _render(template, self.fields)
        # The template's fixed port may be in use on the machine that runs the case.
        settings.write_text(text.replace(":9464", f":{self._metrics_port}"))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LAGOONFOLD_NODE_FILE": str(settings),
        }
        with self.log_path.open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_s = time.monotonic()

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            answer = await send(self.readiness, "GET", "/", [("Host", HOST)], timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready after {limit_s} s")

    async def stop(self, limit_s: float = 8.0) -> None:
        """Stop the process as the platform does: SIGTERM, and SIGKILL after `GraceS`."""
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            self.kill()
            await self.process.wait()

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def rss_bytes(self) -> int:
        """Return the resident memory of the process, 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) * 1_024 if found else 0


class Deployment:
    """A store, replicas and gateways, all ended by `close`."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.replicas: list[Replica] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = Path(self._folder.name)

    async def start(self, config: dict, gateways: int, **changed: object) -> None:
        self.store.put("op/config", json.dumps(config).encode())
        for number in range(1, gateways + 1):
            zone = "zone-" + "abc"[number % 3]
            name = f"front-{number}"
            self.gateways.append(Gateway(name, zone, self.store, self.folder, **changed))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))
        self.record.note(f"{gateways} gateways are ready")

    async def close(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.process.wait()
        for replica in self.replicas:
            replica.crash()
        self._folder.cleanup()


def run_case(file: str, case: Callable[[Deployment, bool], Awaitable[bool]], limit_s: float) -> int:
    """Run a case; return the exit status: 1 if the rule was broken, 0 if it held, else 2.

    The case gets the deployment and whether the disruption is to come, and returns whether the rule
    held.
    """
    if not (ROOT / "target/deps/lagoonfold_gateway").is_dir():
        sys.stderr.write("target/deps is missing: run the build of the deploy file first\n")
        return NOT_RUN
    record = Record(Path(file).resolve().parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        deployment = Deployment(record)
        try:
            await deployment.store.start()
            async with asyncio.timeout(limit_s):
                is_held = await case(deployment, has_trouble)
        except (CaseError, TimeoutError) as error:
            record.note(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await deployment.close()
        record.note("the rule held" if is_held else "the rule was broken")
        return HELD if is_held else BROKEN

    try:
        return asyncio.run(run())
    finally:
        record.close()
