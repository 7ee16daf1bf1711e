"""What the scripts of the second review share: a platform, replicas, clients and the processes.

Only the standard library is used. The gateways are started with the command of the deploy file and
with settings that are filled in from its template. The platform's store and the replicas are small
stand-ins in the process of the script. Each machine has a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
HEARTBEAT_S = 1.2
HOST = "agents.example"
PORTS = {"Front": 8368, "Readiness": 8369, "Control": 8367}
PEER_PORT = 7780
METRICS_PORT = 9464


class NotRunError(Exception):
    """Raised when a case cannot be run here."""


@dataclass
class Record:
    """The lines of `record.txt`."""

    path: Path
    began_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def note(self, what: str, **fields: object) -> None:
        """Add a line with the seconds since the start."""
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} {what} {shown}".rstrip())

    def save(self) -> None:
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


# HTTP/1.1, as far as the stand-ins and the clients need it


@dataclass
class Request:
    """A request that a stand-in has received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer as a client has received it; one that is not whole has `is_whole` False."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a whole answer."""
    all_headers = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
    return f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + body


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            answer.is_whole = True
            return
        answer.body += data[:-2]


async def exchange(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on an open connection and return what came back."""
    reader, writer = connection
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            if body or method == "POST":
                lines += f"Content-Length: {len(body)}\r\n"
            writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            if answer.headers.get("transfer-encoding") == "chunked":
                await _read_chunks(reader, answer)
            else:
                size = int(answer.headers.get("content-length", 0))
                answer.body = await reader.readexactly(size)
                answer.is_whole = True
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return answer


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection and return what came back."""
    try:
        connection = await asyncio.open_connection(*address)
    except OSError:
        return Answer()
    try:
        return await exchange(connection, method, target, headers, body)
    finally:
        connection[1].close()


class Server:
    """A stand-in that listens at one address and can be taken down and up again."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        """Accept connections from now on."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    def crash(self) -> None:
        """Reset all connections and accept no more, as a process that is killed does."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.serve(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store, with the calls and answers of PROTOCOL."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self._lease_ends: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease_id: int = 0, revision: int | None = None) -> None:
        """Write a key."""
        if revision is None:
            self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "LeaseId": lease_id,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key: str, revision: int | None = None) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            if revision is None:
                self.revision += 1
            self._publish({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _publish(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End leases that were not renewed."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease_id, (until_s, _) in tuple(self._lease_ends.items()):
                if until_s <= now:
                    self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> bool:
        if self._lease_ends.pop(lease_id, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["LeaseId"] == lease_id]:
            self.remove(key)
        return True

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        split = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(split.query).items()}
        name = unquote(split.path).removeprefix("/lagoonfold/")
        status, body = await self._answer(request, name, query)
        data = json.dumps(body).encode()
        writer.write(encode_answer(status, {"Content-Type": "application/json"}, data))
        await writer.drain()

    async def _answer(
        self, request: Request, name: str, query: dict[str, str]
    ) -> tuple[int, dict | None]:
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "StoreRevision": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return 200, await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(request.body))
        if name == "kv-lease":
            ttl_ms = max(1_000, json.loads(request.body)["TtlMs"])
            lease_id = self.revision * 1_000 + len(self._lease_ends) + random.randrange(500)
            self._lease_ends[lease_id] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
            return 200, {"LeaseId": lease_id, "TtlMs": ttl_ms}
        if name.startswith("kv-keep/"):
            lease_id = int(name.removeprefix("kv-keep/"))
            if lease_id not in self._lease_ends:
                return 404, {}
            ttl_ms = self._lease_ends[lease_id][1]
            self._lease_ends[lease_id] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
            return 200, {"TtlMs": ttl_ms}
        if name.startswith("kv-lease-end/"):
            ended = self._end_lease(int(name.removeprefix("kv-lease-end/")))
            return (200, {}) if ended else (404, {})
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = query["PathPrefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        return {"items": items, "HasMore": len(keys) > 500, "StoreRevision": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict:
        prefix, after = query["PathPrefix"], int(query["after"])
        until_s = time.monotonic() + int(query["WaitMs"]) / 1_000
        while True:
            events = [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        checks = body.get("ExpectedRev") or []
        puts, removals = body.get("Put") or [], body.get("Remove") or []
        if len(checks) + len(puts) + len(removals) > 32:
            return 400, {}
        empty = {"Value": "", "Revision": 0, "Created": 0, "LeaseId": 0}
        current = [self.items.get(row["Key"], {"Key": row["Key"], **empty}) for row in checks]
        if any(
            row["Revision"] != item["Revision"] for row, item in zip(checks, current, strict=True)
        ):
            return 412, {"items": current}
        leases = {put.get("LeaseId", 0) for put in puts} - {0}
        if leases - self._lease_ends.keys():
            return 404, {}
        self.revision += 1
        for put in puts:
            value = base64.b64decode(put["Value"])
            self.put(put["Key"], value, put.get("LeaseId", 0), self.revision)
        for key in removals:
            self.remove(key, self.revision)
        return 200, {"Revision": self.revision}


Work = Callable[["Replica", Request, asyncio.StreamWriter], Awaitable[None]]


class Replica(Server):
    """A sound replica of one service; `work` runs a request and sends the answer."""

    def __init__(
        self,
        host: str,
        port: int,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        work: Work,
    ) -> None:
        super().__init__(host, port)
        self.service, self.zone = service, zone
        self.slots = 12
        self.running: list[str] = []
        self.is_up = False
        self._store, self._record, self._work = store, record, work
        self._sequence = 0
        self.replica_id = ""

    async def start(self) -> None:
        """Begin a new incarnation and list it."""
        self.replica_id = f"i-{random.randrange(16**10):010x}"
        self.born = int(time.time() * 1_000)
        self._sequence = 0
        await self.listen()
        self.is_up = True
        self._write_entry()
        self._record.note("replica.started", replica=self.replica_id, service=self.service)

    def kill(self) -> None:
        """Crash; the platform removes the entry after three heartbeats of silence."""
        self.is_up = False
        self.running.clear()
        self.crash()
        self._record.note("replica.crashed", replica=self.replica_id)
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._store.remove, f"servers/{self.replica_id}")

    async def beat(self) -> None:
        """Write the entry again and again while the replica is up."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                self._write_entry()

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        self._store.put(f"servers/{self.replica_id}", json.dumps(entry).encode())

    def head(self, request: Request) -> dict[str, str]:
        """Return the headers of each answer to a request that ran."""
        return {
            "Attempt-Id": request.headers.get("attempt-id", ""),
            "Server-Seal": f"{self.replica_id}.{request.headers.get('attempt-id', '')}",
            "Replica-Load": f"{len(self.running)},0,{self.slots}",
        }

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.target == "/health":
            writer.write(encode_answer(200, {"Replica-Id": self.replica_id}, b""))
            return
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("expect-replica") not in (None, self.replica_id):
            writer.write(encode_answer(421, {"Replica-Id": self.replica_id}, b""))
            return
        if len(self.running) >= self.slots:
            headers = {"Not-Executed": "1", "Attempt-Id": attempt}
            writer.write(encode_answer(503, headers, b""))
            return
        incarnation = self.replica_id
        self._record.note("run", replica=incarnation, request=attempt, target=request.target)
        self.running.append(attempt)
        try:
            await self._work(self, request, writer)
            await writer.drain()
        finally:
            if incarnation == self.replica_id and attempt in self.running:
                self.running.remove(attempt)


async def send_events(
    replica: Replica, request: Request, writer: asyncio.StreamWriter, events: int, gap_s: float
) -> None:
    """Answer with a stream of numbered events, each in a chunk of its own."""
    headers = {
        **replica.head(request),
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
    for number in range(1, events + 1):
        data = f"id: {number}\ndata: {replica.service} {number}\n\n".encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")


def count_events(body: bytes) -> int:
    """Return the number of whole events in what a client received."""
    return sum(1 for event in body.split(b"\n\n")[:-1] if event.startswith(b"id: "))


# The project's processes


class Machine:
    """One machine with one process of the project, started with the deploy file's command."""

    def __init__(self, world: "World", name: str, role: str, zone: str, host: str) -> None:
        self.name, self.role, self.zone, self.host = name, role, zone, host
        self._world = world
        self._process: asyncio.subprocess.Process | None = None
        is_front = role == "gateway"
        self.limits = {
            "CpuShare": 0.537 if is_front else 0.717,
            "Cores": 2 if is_front else 3,
            "MemoryMb": 150 if is_front else 160,
            "MaxFds": 4_100 if is_front else 8_200,
            "DiskMb": 0 if is_front else 260,
        }
        self._folder = world.folder / name
        self._folder.mkdir()
        self.data = self._folder / "data"
        self.data.mkdir()

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.host, PORTS["Front"]

    def _settings(self, *, bootstrap: bool) -> dict:
        is_front = self.role == "gateway"
        return {
            "NodeName": self.name,
            "Ip": self.host,
            "Zone": self.zone,
            "Region": "region-1",
            "Listen": {name: f"{self.host}:{port}" for name, port in PORTS.items()},
            "PortRange": [PEER_PORT, PEER_PORT + 15],
            "Bootstrap": bootstrap,
            "DataDir": None if is_front else str(self.data),
            "Limits": self.limits,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {
                "GraceS": 8,
                "ConfigApplyMs": 2_000,
                "DrainMs": 2_000,
                "QuotaWindowS": 5,
                "QuotaSlack": 20,
            },
            "Provider": {"Address": self._world.store.address},
        }

    async def start(self, *, bootstrap: bool) -> None:
        """Start the process."""
        role = self._world.roles[self.role]
        template = (ROOT / role["template"]).read_text()
        settings = self._folder / "node.ini"
        settings.write_text(_render(template, self._settings(bootstrap=bootstrap)))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LAGOONFOLD_NODE_FILE": str(settings),
        }
        with (self._folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._world.record.note("process.started", machine=self.name, bootstrap=bootstrap)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._world.record.note("process.signal", machine=self.name, signal=number.name)
            self._process.send_signal(number)

    def memory_bytes(self) -> int:
        """Return how much memory the process has resident, 0 if it does not run."""
        if self._process is None or self._process.returncode is not None:
            return 0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        return int(found[1]) * 1_024 if found else 0

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process tells the balancer that it is ready."""
        address = (self.host, PORTS["Readiness"])
        target = "/lagoonfold/readiness"
        answer = await call(address, "GET", target, {"Host": self.host})
        return answer.status == 200


def _render(template: str, fields: dict) -> str:
    def value_of(found: re.Match) -> str:
        value: object = fields
        for part in found[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", value_of, template)


class World:
    """The platform, the replicas and the project's processes of one run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._block = _free_block()
        self._next_host = 1
        self.store = Store(self.host(), 8_362)
        self.machines: list[Machine] = []
        self.replicas: list[Replica] = []
        self._tasks: list[asyncio.Task] = []

    def host(self) -> str:
        """Return a loopback address that no other machine of this run has."""
        self._next_host += 1
        return f"{self._block}.{self._next_host}"

    def run(self, work: Awaitable[None]) -> None:
        """Run a task until the end of the case."""
        self._tasks.append(asyncio.ensure_future(work))

    def add_machine(self, name: str, role: str, zone: str) -> Machine:
        """Add a machine whose process is not started yet."""
        machine = Machine(self, name, role, zone, self.host())
        self.machines.append(machine)
        return machine

    async def add_replica(self, service: str, zone: str, work: Work) -> Replica:
        """Start a replica."""
        replica = Replica(self.host(), 8_080, service, zone, self.store, self.record, work)
        self.replicas.append(replica)
        await replica.start()
        self.run(replica.beat())
        return replica

    def configure(self, config: dict) -> None:
        """Write the operator's configuration."""
        self.store.put("op/config", json.dumps(config).encode())
        self.record.note("config.written", version=config["Version"])

    async def start_machines(self) -> None:
        """Start all machines for the first time and wait until the gateways are ready."""
        await asyncio.gather(*(machine.start(bootstrap=True) for machine in self.machines))
        fronts = [machine for machine in self.machines if machine.role == "gateway"]
        until_s = time.monotonic() + 30.0
        while not all([await front.is_ready() for front in fronts]):
            if time.monotonic() > until_s:
                raise NotRunError("the gateways did not become ready")
            await asyncio.sleep(0.2)
        self.record.note("gateways.ready")
        await asyncio.sleep(2.0)  # traffic begins some seconds after the machines

    async def close(self) -> None:
        """End all processes and stand-ins of this run."""
        for machine in self.machines:
            await machine.end()
        for task in self._tasks:
            task.cancel()
        for server in (self.store, *self.replicas):
            server.crash()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_block() -> str:
    for _ in range(50):
        block = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{block}.2", 8_362))
            except OSError:
                continue
            return block
    raise NotRunError("no loopback addresses are free")


def new_attempt_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.randrange(16**16):016x}"


def base_config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one tenant that has no limit."""
    return {
        "Version": version,
        "Routes": [{"Host": HOST, "Priority": 1, "AuthExempt": False, **each} for each in routes],
        "Services": [
            {"HealthPath": "/health", "MaxConns": 150, "Protocol": "h1", "Tls": False, **each}
            for each in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": "tenant-1", "ApiKeys": ["key-1"], "Priority": 1}],
    }


Case = Callable[[World, bool], Awaitable[bool]]


def main(folder: str, case: Case) -> None:
    """Run a case, write `record.txt` into its folder, and exit with its result.

    A case returns whether the rule held. With `TROUBLE=0` it runs without the disruption.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    try:
        status = asyncio.run(_run(record, case, has_trouble))
    except Exception as error:
        record.note("not run", reason=repr(error))
        record.lines += traceback.format_exc().splitlines()
        status = NOT_RUN
    record.note("end", status=status)
    record.save()
    sys.stdout.write(f"{record.lines[-2]}\n{record.lines[-1]}\n")
    sys.exit(status)


async def _run(record: Record, case: Case, has_trouble: bool) -> int:
    record.note("begin", trouble=int(has_trouble))
    world = World(record)
    try:
        async with asyncio.timeout(LIMIT_S):
            await world.store.listen()
            world.run(world.store.expire_leases())
            return HELD if await case(world, has_trouble) else BROKEN
    finally:
        await world.close()
