"""Replicas that break streams off, and go on with them wrongly, as drawn from the seed."""

import json
import random
import socket
import time
from collections import Counter, deque
from dataclasses import dataclass, field, replace

import trio

from soak._answers import MAKE_BY_NAME, Part
from soak._engine import TokenMemory, pace_at, read_claim
from soak._records import Run
from soak._replica_wire import read_request, reset_sometimes, send_events, send_in_parts
from soak._store import LeasingStore
from soak.run_checks import Arrival

BEAT_S = 1.2
MEMORY_TOKENS_BY_SERVICE = {"quill": 130_176, "pen": 1_500}  # "pen" holds five requests or so
PACED = frozenset({"quill"})  # services whose replicas report how long work takes
READ_S = 0.05  # to read a prompt
PREEMPTED_POLL_S = 0.01
COLD_START_S = 3.0
COLD_CRASH_PER_S = 60  # well above the 45.5 that the system may send
ORDERS = "orders"  # the route of non-idempotent requests
BROKEN_SHARE = 0.5  # of first runs
WRONG_SHARE = 0.5  # of later runs
WRONG_FIRST_SHARE = 0.08


@dataclass(slots=True)
class Ledger:
    """The runs at all replicas, and what they answer; `seed` decides by stream and run.

    `trouble` is the share of the usual faults that replicas have.
    """

    seed: int
    trouble: float = 1.0
    run_by_id: dict[int, Run] = field(default_factory=dict)
    runs_by_stream: Counter[str] = field(default_factory=Counter)
    arrivals: list[Arrival] = field(default_factory=list)
    preemptions: int = 0

    def plan(self, stream: str, route: str) -> tuple[str, random.Random]:
        """Return the answer of the next run of a stream: "sound", "broken" or a wrong one.

        Answers of the route `ORDERS` are passed on as they are, so none of them is wrong.
        """
        number = self.runs_by_stream[stream]
        self.runs_by_stream[stream] += 1
        rng = random.Random(f"{self.seed}/{stream}/{number}")
        if rng.random() >= self.trouble:
            return "sound", rng
        share = rng.random()
        wrong_share = WRONG_SHARE if number else WRONG_FIRST_SHARE
        wrong_share = 0 if route == ORDERS else wrong_share
        if share < wrong_share:
            return rng.choice(list(MAKE_BY_NAME)), rng
        return (
            "broken" if share < wrong_share + (1 - wrong_share) * BROKEN_SHARE else "sound"
        ), rng


@dataclass(slots=True)
class Replica:
    """One replica; it registers itself in the store until it drains or crashes."""

    replica_id: str
    service: str
    zone: str
    version: str
    ledger: Ledger
    store: LeasingStore
    slots: int = 8
    state: str = "ready"
    active: int = 0
    born_ms: int = 0
    cold_until_s: float = 0.0
    crash_cause: str = ""
    memory: TokenMemory = field(init=False)
    cold_arrivals_s: deque[float] = field(default_factory=deque)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def __post_init__(self) -> None:
        self.memory = TokenMemory(MEMORY_TOKENS_BY_SERVICE[self.service])

    async def serve(self) -> None:
        """Serve until the scope is cancelled, as by a crash."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        self.born_ms = int(time.time() * 1000)
        self.cold_until_s = trio.current_time() + COLD_START_S
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._serve_connection, listeners)
                sequence = 0
                while True:
                    sequence += 1
                    self._register(address, sequence)
                    await trio.sleep(BEAT_S)

    def _register(self, address: str, sequence: int) -> None:
        entry = {
            "Service": self.service,
            "Address": address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": self.cold_ms,
            "Sequence": sequence,
            "born": self.born_ms,
        }
        self.store.put(f"servers/{self.replica_id}", json.dumps(entry).encode())

    @property
    def cold_ms(self) -> int:
        """Return for how many milliseconds the replica is still cold."""
        return max(0, round((self.cold_until_s - trio.current_time()) * 1000))

    def _receive(self, attempt: str) -> None:
        """Record a request; a cold replica with too many in a second crashes."""
        now_s, is_cold = trio.current_time(), self.cold_ms > 0
        self.ledger.arrivals.append(
            Arrival(now_s, attempt, self.replica_id, self.zone, self.born_ms, is_cold)
        )
        if not is_cold:
            return
        self.cold_arrivals_s.append(now_s)
        while self.cold_arrivals_s[0] <= now_s - 1:
            self.cold_arrivals_s.popleft()
        if len(self.cold_arrivals_s) > COLD_CRASH_PER_S:
            self.crash_cause = f"{len(self.cold_arrivals_s)} requests in a second while cold"
            self.scope.cancel()

    def remove_entry(self) -> None:
        """Remove the entry, as the platform does after a replica has left or fallen silent."""
        self.store.remove(f"servers/{self.replica_id}")

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        buffer = bytearray()
        try:
            while (request := await read_request(stream, buffer)) is not None:
                self.active += 1
                try:
                    goes_on = await self._answer(stream, *request)
                finally:
                    self.active -= 1
                if not goes_on:
                    await stream.aclose()
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _answer(self, stream: trio.SocketStream, path: str, headers: dict) -> bool:
        """Answer a request; return whether the connection may be used again."""
        attempt = headers.get("attempt-id", "")
        fields = f"attempt-id: {attempt}\r\nreplica-id: {self.replica_id}\r\n"
        waiting = len(self.memory.preempted())
        fields += f"replica-load: {self.active - waiting},{waiting},{self.slots}"
        fields += f",{round(100 * self._pace())}\r\n" if self.service in PACED else "\r\n"
        fields += f"cold-ms: {self.cold_ms}\r\n" if self.cold_ms else ""
        parts = path.split("/")
        if len(parts) < 4:
            status = "200 OK" if path == "/health" else "404 Not Found"
            await stream.send_all(
                f"HTTP/1.1 {status}\r\n{fields}content-length: 0\r\n\r\n".encode()
            )
            return True
        if headers.get("expect-replica", self.replica_id) != self.replica_id:
            await stream.send_all(
                f"HTTP/1.1 421 Misdirected\r\n{fields}content-length: 0\r\n\r\n".encode()
            )
            return True
        self._receive(attempt)
        after = int(headers.get("last-event-id", 0))
        answer, rng = self.ledger.plan(parts[2], parts[1])
        run_id = len(self.ledger.run_by_id) + 1
        self.ledger.run_by_id[run_id] = Run(
            run_id, parts[2], attempt, after, self.replica_id, self.service, self.version, answer
        )
        part = Part(after, int(parts[3]), self.version, parts[2], run_id)
        if answer in MAKE_BY_NAME:
            made = MAKE_BY_NAME[answer](part)
            own = (("server-seal", f"{self.replica_id}.{attempt}"), ("attempt-id", attempt))
            made = replace(made, headers=(*own, *made.headers))
            await send_in_parts(stream, made.encode(self.replica_id, attempt), rng)
            reset_sometimes(stream, rng)
            return False
        fields += f"server-seal: {self.replica_id}.{attempt}\r\ncontent-type: text/event-stream\r\n"
        self.memory.claim_by_run[run_id] = read_claim(
            headers.get("token-count", ""), headers.get("prompt-prefix", "")
        )
        try:
            return await send_events(
                stream, fields, part, rng, self._work, is_broken=answer == "broken"
            )
        finally:
            del self.memory.claim_by_run[run_id]

    def _pace(self) -> float:
        """Return how long work takes now, where 1 is normal."""
        if self.service not in PACED:
            return 1.0
        return pace_at(self.ledger.seed, self.replica_id, trio.current_time())

    async def _work(self, run_id: int, usual_s: float) -> None:
        """Take the time of some work of a run; one that is preempted reads its prompt again."""
        if run_id in self.memory.preempted():
            self.ledger.preemptions += 1
            while run_id in self.memory.preempted():
                await trio.sleep(PREEMPTED_POLL_S)
            usual_s += READ_S
        await trio.sleep(usual_s * self._pace())
