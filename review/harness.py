"""Stand-ins and helpers of the review's scripts; needs nothing but Python's standard library.

A `World` holds a store, replicas and gateways. The store and the replicas are small servers in this
process; the gateways are the project's own processes, started with the command of the deploy file.
Everything listens on loopback addresses and free ports. What was sent, run and answered goes into
the case's `record.txt`.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[1]
HOST = "a.example"
MAX_RUN_S = 115.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be brought about, so it says nothing of the rule."""


_ports_taken: set[int] = set()


def free_port() -> int:
    """Return a port that nobody uses now, from below those that connections get by themselves."""
    while True:
        port = random.randint(12_000, 30_000)
        if port in _ports_taken:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _ports_taken.add(port)
            return port


@dataclass(slots=True)
class Message:
    """A request or a response: its first line, headers by lower-case name, and body."""

    first: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the first line and the headers of the next message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a chunked body."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole request of a connection, None at its end."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = b"".join([part async for part in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    return message


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a whole response."""
    lines = [f"HTTP/1.1 {status} Status", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """A small HTTP/1.1 server on a free port, one request at a time on a connection."""

    def __init__(self) -> None:
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the server's address."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen at the server's port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        """Stop as a process that is killed: new connections are refused, open ones end."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer_unless_closed(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_unless_closed(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request; drop it when its connection closes."""
        answer = asyncio.ensure_future(self.answer(request, writer))
        while not answer.done():
            await asyncio.wait({answer}, timeout=0.02)
            if reader.at_eof() or writer.is_closing():
                answer.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await answer
                raise EOFError
        await answer

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: items, watches, transactions and leases, as PROTOCOL.md says."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "LeaseId": lease,
        }
        self._publish(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"Key": key, "Revision": self.revision, "Tombstone": True})

    async def expire(self) -> None:
        """End leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [key for key, (_, ends) in self.leases.items() if ends < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["LeaseId"] == lease]:
            self.remove(key)

    def _publish(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Carry out one call."""
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        name = path.removeprefix("/lagoonfold/")
        if name == "kv-watch":
            status, body = await self._watch(fields)
        else:
            await asyncio.sleep(0.004)
            status, body = self._call(name, fields, request.body)
        head = {"content-type": "application/json"}
        writer.write(response(status, head, json.dumps(body).encode()))
        await writer.drain()

    def _call(self, name: str, fields: dict[str, str], body: bytes) -> tuple[int, dict]:
        operation, _, number = name.partition("/")
        calls: dict[str, Callable[[], tuple[int, dict]]] = {
            "kv-key": lambda: self._read(fields["Key"]),
            "kv-range": lambda: self._range(fields["PathPrefix"], fields.get("after", "")),
            "kv-txn": lambda: self._transact(json.loads(body)),
            "kv-lease": lambda: self._grant(json.loads(body)["TtlMs"]),
            "kv-keep": lambda: self._keep(int(number)),
            "kv-lease-end": lambda: (200, self._end_lease(int(number)) or {}),
        }
        return calls[operation]() if operation in calls else (404, {})

    def _read(self, key: str) -> tuple[int, dict]:
        item = self.items.get(key)
        return (404, {}) if item is None else (200, {**item, "StoreRevision": self.revision})

    def _range(self, prefix: str, after: str) -> tuple[int, dict]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:500]]
        return 200, {
            "items": page,
            "HasMore": len(keys) > len(page),
            "StoreRevision": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(fields["after"]), fields["PathPrefix"]
        until = time.monotonic() + int(fields["WaitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body: dict) -> tuple[int, dict]:
        rows, puts, removes = body["ExpectedRev"], body["Put"], body["Remove"]
        if len(rows) + len(puts) + len(removes) > 32:
            return 400, {}
        absent = {"Value": "", "Revision": 0}
        current = [self.items.get(row["Key"], {"Key": row["Key"], **absent}) for row in rows]
        if [item["Revision"] for item in current] != [row["Revision"] for row in rows]:
            return 412, {"items": current}
        if any(put.get("LeaseId") and put["LeaseId"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["Key"], base64.b64decode(put["Value"]), put.get("LeaseId", 0))
        for key in removes:
            self.remove(key)
        return 200, {"Revision": self.revision}

    def _grant(self, ttl_ms: float) -> tuple[int, dict]:
        lease = len(self.leases) + self.revision * 1000
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"LeaseId": lease, "TtlMs": ttl_ms}

    def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self.leases:
            return 404, {}
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"TtlMs": ttl_ms}


class Replica(Server):
    """A sound replica with a few slots, which runs a request for the time that its path names.

    `/.../plain-80/...` is a plain answer after 80 ms, `/.../stream-10-30/...` a stream of 10 events
    at 30 ms each.
    """

    def __init__(
        self, world: "World", name: str, service: str, slots: int, version: str = "v1"
    ) -> None:
        super().__init__()
        self.world, self.name, self.service, self.slots = world, name, service, slots
        self.version = version
        self._free = asyncio.Semaphore(slots)
        self.active = 0

    async def begin(self) -> None:
        """Start, and register in the store."""
        await self.start()
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": self.version,
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.world.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run one request."""
        attempt = request.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if request.headers.get("expect-replica", self.name) != self.name:
            writer.write(response(421, {"Replica-Id": self.name}))
            return
        if self.active >= 4 * self.slots:
            writer.write(response(503, {**echo, "Not-Executed": "1"}))
            return
        self.active += 1
        try:
            async with self._free:
                await self._run(request, attempt, writer)
        finally:
            self.active -= 1

    async def _run(self, request: Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        target = request.first.split(" ")[1]
        self.world.ran(self.name, attempt, target, request.headers.get("tenant", ""))
        kind, *numbers = target.split("/")[2].split("-")
        head = {
            "Attempt-Id": attempt,
            "Server-Seal": f"seal.{self.name}.{attempt}",
            "Replica-Load": f"{self.active},0,{self.slots}",
        }
        if kind == "plain":
            await asyncio.sleep(int(numbers[0]) / 1000)
            writer.write(response(200, head, f"{attempt} by {self.name}".encode()))
            await writer.drain()
            return
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked", "content-type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, int(numbers[0]) + 1):
            await asyncio.sleep(int(numbers[1]) / 1000)
            event = f"id: {number}\ndata: {self.version} {attempt}.{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclass(slots=True)
class Gateway:
    """A process of a role, mostly a gateway, and its addresses."""

    name: str
    settings: dict[str, str]
    folder: Path
    role: str = "gateway"
    process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Return the address for clients."""
        return self.settings["Listen.Front"]

    async def start(self, *, is_first: bool) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][self.role]
        text = (ROOT / deploy["template"]).read_text().replace(":9464", f":{free_port()}")
        for name, value in {**self.settings, "Bootstrap": str(is_first).lower()}.items():
            text = text.replace("{{" + name + "}}", value)
        path = self.folder / f"{self.name}.ini"
        path.write_text(text)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "LAGOONFOLD_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()


@dataclass(slots=True, kw_only=True)
class Answer:
    """What a client has seen of one attempt; `events` are the numbers of a stream's events."""

    attempt: str
    sent_s: float
    status: int = 0
    is_complete: bool = False
    ended_s: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    events: list[int] = field(default_factory=list)
    error: str = ""


@dataclass(slots=True)
class World:
    """Everything of one run."""

    record_path: Path
    folder: Path
    began_s: float = field(default_factory=time.monotonic)
    store: Store = field(default_factory=Store)
    gateways: list[Gateway] = field(default_factory=list)
    storages: list[Gateway] = field(default_factory=list)
    replicas: list[Replica] = field(default_factory=list)
    runs: list[tuple[float, str, str]] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    _attempts: int = 0

    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.began_s

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def ran(self, replica: str, attempt: str, target: str, tenant: str) -> None:
        """Record that a replica has begun to run a request."""
        self.runs.append((self.now_s(), attempt, replica))
        self.note(f"run      {attempt} {target} at {replica} tenant={tenant}")

    def operate(self, config: dict) -> None:
        """Write a configuration as the operator."""
        self.store.put("op/config", json.dumps(config).encode())

    async def start(
        self, config: dict, *, gateways: int, replicas_by_service: dict[str, int], slots: int = 12
    ) -> None:
        """Start everything, and wait until all gateways are ready."""
        await self.store.start()
        asyncio.ensure_future(self.store.expire())
        self.operate(config)
        for service, count in replicas_by_service.items():
            for number in range(1, count + 1):
                replica = Replica(self, f"i-{service}-{number}", service, slots)
                self.replicas.append(replica)
                await replica.begin()
        for number in range(gateways):
            zone = "abc"[number % 3]
            self.gateways.append(self._new_gateway(f"front-{zone}-{number + 1}", f"zone-{zone}"))
        for gateway in self.gateways:
            await gateway.start(is_first=True)
        for gateway in self.gateways:
            await self.wait_ready(gateway)
        self.note(f"ready    {', '.join(gateway.name for gateway in self.gateways)}")

    def _new_gateway(self, name: str, zone: str) -> Gateway:
        fields = {
            "NodeName": name,
            "Zone": zone,
            "Ip": "127.0.0.1",
            "Listen.Front": f"127.0.0.1:{free_port()}",
            "Listen.Readiness": f"127.0.0.1:{free_port()}",
            "PortRange.0": str(free_port()),
            "Provider.Address": self.store.address,
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
        }
        return Gateway(name, fields, self.folder)

    async def start_storage(self, count: int) -> None:
        """Start storage instances, each with an empty data folder."""
        for number in range(count):
            name = f"storage-{'abc'[number % 3]}-1"
            storage = self._new_gateway(name, f"zone-{'abc'[number % 3]}")
            data = self.folder / name
            data.mkdir()
            storage.role = "storage"
            storage.settings |= {
                "Region": "region-1",
                "DataDir": str(data),
                "Limits.DiskMb": "260",
            }
            await storage.start(is_first=True)
            self.storages.append(storage)

    async def wait_ready(self, gateway: Gateway, timeout_s: float = 20.0) -> None:
        """Wait until a gateway answers 200 on its readiness address."""
        until_s = self.now_s() + timeout_s
        while not await self.is_ready(gateway):
            if self.now_s() > until_s:
                raise CannotRunError(f"{gateway.name} is not ready: {gateway.log_lines()[-3:]}")
            await asyncio.sleep(0.05)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Return whether a gateway answers 200 on its readiness address."""
        seen = Answer(attempt="", sent_s=0.0)
        head = b"GET /lagoonfold/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        await _exchange(gateway.settings["Listen.Readiness"], head, seen, 1.0)
        return seen.status == 200

    async def send(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        *,
        deadline_ms: int,
        key: str = "key-1",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send one client attempt on a new connection, and read its answer to the end."""
        self._attempts += 1
        answer = Answer(attempt=f"a{self._attempts:05d}", sent_s=self.now_s())
        self.answers.append(answer)
        fields = {
            "Host": HOST,
            "Attempt-Id": answer.attempt,
            "Deadline-Ms": str(deadline_ms),
            "Key": key,
            **(headers or {}),
        }
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
        self.note(f"sent     {answer.attempt} {method} {path} to {gateway.name}")
        data = "\r\n".join(lines).encode() + body
        await _exchange(gateway.address, data, answer, deadline_ms / 1000 + 0.3)
        answer.ended_s = self.now_s()
        self.note(
            f"answered {answer.attempt} status={answer.status} whole={answer.is_complete}"
            f" events={len(answer.events)} {answer.error}"
        )
        return answer

    async def close(self) -> None:
        """End all processes that this run has started."""
        for gateway in (*self.gateways, *self.storages):
            if gateway.process is not None and gateway.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.kill()
                await gateway.process.wait()
        for server in (*self.replicas, self.store):
            await server.stop()
        self.record_path.write_text("\n".join(self.lines) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


async def _exchange(address: str, data: bytes, answer: Answer, timeout_s: float) -> None:
    """Send a request on a new connection and fill in what is seen of the answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await _read_answer(reader, answer)
    except (OSError, EOFError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"[:90]
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        raise EOFError("closed without an answer")
    answer.status, answer.headers = int(head.first.split(" ")[1]), head.headers
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        async for part in read_chunks(reader):
            answer.body += part
            answer.events = [
                int(line[4:]) for line in answer.body.decode().split("\n") if line[:4] == "id: "
            ]
    else:
        answer.body = await reader.readexactly(int(head.headers.get("content-length", 0)))
    answer.is_complete = True


def plain_config(**changes: object) -> dict:
    """Return a configuration with a model service, a plain service and one account."""
    route = {"Host": HOST, "Priority": 1, "TargetLatencyMs": 250, "MaxAttempts": 2}
    return {
        "Version": 1,
        "Routes": [
            {
                **route,
                "Name": "turns",
                "PathPrefix": "/turns/",
                "RouteType": "stream",
                "TimeoutMs": 4000,
                "Service": "model",
                "MaxAttempts": 1,
                "RetainContext": False,
                "RetentionS": 60.0,
                "SessionAffinity": True,
                "AllowResume": True,
                "GapTargetMs": 150,
            },
            {
                **route,
                "Name": "lookups",
                "PathPrefix": "/lookups/",
                "RouteType": "idempotent",
                "TimeoutMs": 1200,
                "Service": "orders",
            },
            {
                **route,
                "Name": "reports",
                "PathPrefix": "/reports/",
                "RouteType": "non_idempotent",
                "TimeoutMs": 3000,
                "Service": "orders",
            },
        ],
        "Services": [
            {
                "Name": "model",
                "HealthPath": "/health",
                "MaxConns": 150,
                "Engine": {"Slots": 12, "KvCapacityTokens": 107503, "TokensPerEvent": 10},
            },
            {"Name": "orders", "HealthPath": "/health", "MaxConns": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "tenant-1", "ApiKeys": ["key-1"], "Priority": 1}],
        **changes,
    }


def run_case(
    folder: str, case: Callable[[World, bool], Awaitable[bool]], *, has_trouble: bool
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    return asyncio.run(_run(Path(folder), case, has_trouble))


async def _run(
    folder: Path, case: Callable[[World, bool], Awaitable[bool]], has_trouble: bool
) -> int:
    world = World(folder / "record.txt", Path(tempfile.mkdtemp(prefix="review-")))
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        async with asyncio.timeout(MAX_RUN_S):
            is_broken = await case(world, has_trouble)
        verdict = "BROKEN" if is_broken else "HELD"
        world.note(f"verdict  {verdict}")
        sys.stdout.write(f"{verdict}\n")
        return BROKEN if is_broken else HELD
    except (CannotRunError, TimeoutError, OSError) as error:
        world.note(f"verdict  could not run: {error!r}")
        sys.stdout.write(f"could not run: {error!r}\n")
        return CANNOT_RUN
    finally:
        await world.close()
