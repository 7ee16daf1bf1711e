"""A fleet of two instances in one process, with fakes of upstreams, shards, rates and the store.

The caller API, peer bus, executor and dispatcher are real.

async def check(fleet: PathFleet) -> None:
    program_id = await fleet.create_program()
    reply = await fleet.chat(0, program_id, 1, "hello")

run_fleet(check)
"""

import json
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial

import trio
from result import Err, Ok, Result

from lagoonfold import (
    ErrorKind,
    ListedInstance,
    Refusal,
    StoreError,
    StoreErrorKind,
)
from lagoonfold.config import (
    Account,
    ApiKey,
    Budget,
    Configuration,
    ConfigView,
    Profile,
    Route,
    RouteKind,
    digest_of_key,
)
from lagoonfold.records import CallSettled, ProgramShard
from lagoonfold_io import Exchange, HttpClient, HttpLimits, HttpRequest, HttpResponse, HttpServer
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._caller_api import (
    CallerApi,
    KeyAuthenticator,
    OperationForwarder,
    ServiceProxy,
)
from lagoonfold_node._decisions import DecisionLog
from lagoonfold_node._dispatch import (
    CacheEvictor,
    Dispatcher,
    PoisonNotices,
    UpstreamTable,
    make_broadcast,
)
from lagoonfold_node._execution import Executor
from lagoonfold_node._ownership._stall_policy import may_wait_out_stall
from lagoonfold_node._peers import PeerBus
from lagoonfold_node._upstreams import EngineClient, ServiceClient, UpstreamClients

KEY = "lfk_" + "k" * 43
OTHER_KEY = "lfk_" + "o" * 43
TOKENS = tuple(f"t{number} " for number in range(8))
EVENT_END = b"\n\n"
PART_INTERVAL_S = 0.05  # so that each part of a scripted answer is read on its own
REQUEST_TIMEOUT_S = 15.0
OWNER_LOOKUP_REFUSAL = Refusal(
    kind=ErrorKind.PLATFORM_UNAVAILABLE, detail="cut off", retry_after_s=5.0
)
STALLED = Refusal(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail="stalled", retry_after_s=5.0)

ROUTES = {
    "small": Route(name="small", kind=RouteKind.MODEL, target="small", is_idempotent=True),
    "register": Route(name="register", kind=RouteKind.TOOL, target="registry", timeout_s=5.0),
    "lookup": Route(name="lookup", kind=RouteKind.TOOL, target="registry", is_idempotent=True),
    "open": Route(
        name="open", kind=RouteKind.SERVICE, target="registry", is_idempotent=True, is_open=True
    ),
    "post": Route(name="post", kind=RouteKind.SERVICE, target="registry", timeout_s=5.0),
}
PROFILE = Profile(
    name="field",
    account_ids=("acc",),
    budget=Budget(tokens=100_000, calls=50, cost_micros=10**9, wall_s=3600.0),
    routes=tuple(ROUTES),
)


def make_configuration() -> Configuration:
    """Return a configuration of one profile, two accounts, and a key for each."""
    keys = [
        ApiKey(digest=digest_of_key(KEY), account_id="acc"),
        ApiKey(digest=digest_of_key(OTHER_KEY), account_id="other"),
    ]
    return Configuration(
        version=1,
        profiles_by_name={"field": PROFILE},
        accounts_by_id={
            name: Account(account_id=name, rate_per_s=1000.0, burst=1000)
            for name in ("acc", "other")
        },
        keys_by_digest={key.digest: key for key in keys},
        routes_by_name=ROUTES,
    )


@dataclass(eq=False)
class FakeShard:
    """A shard with an in-memory journal; `PathFleet.take_over` changes its owner."""

    owner: str
    state: ProgramShard = field(default_factory=ProgramShard)
    shard_id: int = 3
    epoch: int = 1
    has_ownership: bool = True
    commit_delay_s: float = 0.0
    commit_refusal: Refusal | None = None
    blocks_commits: bool = False
    is_stalled: bool = False
    journal: list = field(default_factory=list)
    lost_by_owner: dict[str, ProgramShard] = field(default_factory=dict)

    @property
    def run_id(self) -> str:
        return self.owner

    def holds_ownership(self) -> bool:
        return self.has_ownership

    def submit(self, records):
        if self.commit_refusal is not None:
            refusal = self.commit_refusal

            async def refused() -> Result[None, Refusal]:
                return Err(refusal)

            return refused
        for record in records:
            self.state.apply(record)
            self.journal.append(record)
        return partial(self._wait, records)

    async def _wait(self, records) -> Result[None, Refusal]:
        await trio.sleep(self.commit_delay_s)
        while self.blocks_commits:
            if self.is_stalled and not may_wait_out_stall(records):
                return Err(STALLED)
            await trio.sleep(0.01)
        return Ok(None)

    async def wait_stalled(self) -> Refusal:
        while not self.is_stalled:
            await trio.sleep(0.01)
        return STALLED

    def start_store_outage(self) -> None:
        """Let no record become durable, as in an outage that was detected."""
        self.blocks_commits = self.is_stalled = True

    def end_store_outage(self) -> None:
        self.blocks_commits = self.is_stalled = False

    async def commit(self, records) -> Result[None, Refusal]:
        return await self.submit(records)()

    async def read_history(self, program_id, *, wait_durable=True):
        return Ok(tuple(self.state.programs_by_id[program_id].recent_turns))

    async def read_turn(self, program, turn):
        return (await self.commit(())).map(lambda _: program.recent_turn(turn))

    async def wait_settled(self, call_id: str) -> None:
        while any(call.call_id == call_id for call in self.state.running_calls()):
            await trio.sleep(0.01)

    def settled(self) -> list[CallSettled]:
        return [record for record in self.journal if isinstance(record, CallSettled)]


@dataclass
class FakeShards:
    """The lookup of the only shard by one instance."""

    instance_id: str
    fleet: "PathFleet"

    def owner_of(self, text: str) -> str | None:
        return self.fleet.shard.owner or None

    def owner_lookup_refusal(self) -> Refusal | None:
        return OWNER_LOOKUP_REFUSAL if self.fleet.is_owner_lookup_down else None

    def find_open_for(self, text: str) -> FakeShard | None:
        return self.fleet.shard if self.fleet.shard.owner == self.instance_id else None


class FakeRates:
    """Admits every request, unless the test sets a refusal."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None

    async def admit(self, account_id: str) -> Result[None, Refusal]:
        return Err(self.refusal) if self.refusal else Ok(None)


class UnavailableStore:
    """A key-value service that is down, so that poison notices are sent only to the peers."""

    async def grant_lease(self, ttl_s: float):
        return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail="down"))


@dataclass(frozen=True, kw_only=True)
class ScriptedAnswer:
    """An answer of an engine; `interval_s` passes after each of its parts."""

    parts: tuple[bytes, ...]
    interval_s: float = PART_INTERVAL_S
    headers: tuple[tuple[str, str], ...] = (("content-type", "text/event-stream"),)

    async def send(self, exchange: Exchange) -> None:
        await exchange.start(200, self.headers)
        for part in self.parts:
            await exchange.send(part)
            await trio.sleep(self.interval_s)
        await exchange.finish()


def token_event(number: int) -> bytes:
    """Return an engine's event with one token."""
    delta = {"choices": [{"index": 0, "delta": {"content": TOKENS[number]}}]}
    return b"data: " + json.dumps(delta).encode() + EVENT_END


@dataclass
class FakeUpstream:
    """An engine and tool that records its requests, by which tests check what ran.

    Each of `scripted_answers` is used once, in place of an engine's own answer.
    """

    requests: list[HttpRequest] = field(default_factory=list)
    scripted_answers: list[ScriptedAnswer] = field(default_factory=list)
    gate: trio.Event | None = None
    break_after: int = -1
    silent_after: int = -1
    is_hung: bool = False
    ignores_limit: bool = False
    pause_before_end_s: float = 0.0
    status: int = 200
    cancelled: int = 0
    tokens_sent: int = 0
    address: str = ""

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path == "/v1/load":
            await exchange.respond(HttpResponse(status=200, body=b"{}"))
            return
        self.requests.append(request)
        try:
            await self._answer(request, exchange)
        except trio.Cancelled:
            self.cancelled += 1
            raise

    async def _answer(self, request: HttpRequest, exchange: Exchange) -> None:
        if self.is_hung:
            await trio.sleep_forever()
        if self.status != 200:
            await exchange.respond(HttpResponse(status=self.status))
        elif request.path == "/v1/chat/completions" and self.scripted_answers:
            await self.scripted_answers.pop(0).send(exchange)
        elif request.path == "/v1/chat/completions":
            await self._stream(json.loads(request.body), exchange)
        else:
            if self.gate is not None:
                await self.gate.wait()
            headers = (("content-type", "application/json"),)
            body = json.dumps({"run": len(self.requests)}).encode()
            await exchange.respond(HttpResponse(status=200, headers=headers, body=body))

    async def _stream(self, body: dict, exchange: Exchange) -> None:
        await exchange.start(200, (("content-type", "text/event-stream"),))
        limit = len(TOKENS) if self.ignores_limit else body.get("max_tokens", len(TOKENS))
        count = min(len(TOKENS), limit)
        for number in range(body.get("resume_from", 0), count):
            if number == self.break_after:
                raise OSError("broken by the test")
            if number == self.silent_after:
                await trio.sleep_forever()
            while self.gate is not None and number == 4 and not self.gate.is_set():
                await exchange.send(b": waiting\n\n")
                await trio.sleep(0.02)
            await exchange.send(token_event(number))
            self.tokens_sent += 1
        await trio.sleep(self.pause_before_end_s)
        usage = {"prompt_tokens": 10, "completion_tokens": len(TOKENS), "total_tokens": 18}
        reason = "stop" if count == len(TOKENS) else "length"
        last = {"choices": [{"index": 0, "delta": {}, "finish_reason": reason}], "usage": usage}
        await exchange.send(b"data: " + json.dumps(last).encode() + b"\n\ndata: [DONE]\n\n")
        await exchange.finish()

    def requests_to(self, path: str) -> list[HttpRequest]:
        return [request for request in self.requests if request.path == path]


class PathNode:
    """One instance of the fleet; the handlers of the peer bus use its attributes."""

    def __init__(self, instance_id: str, fleet: "PathFleet") -> None:
        self.board = Board()
        self.metrics = Metrics()
        self.rates = FakeRates()
        client = HttpClient()
        self.bus = PeerBus(instance_id, "127.0.0.1:0", fleet.peers.get, self)
        table = UpstreamTable(instance_id)
        self.board.upstreams.subscribe(table.update)

        def peers() -> list[str]:
            return [peer for peer in fleet.peers if peer != instance_id]

        broadcast = make_broadcast(self.bus, peers)
        self.dispatcher = Dispatcher(
            table,
            PoisonNotices(UnavailableStore(), broadcast),
            CacheEvictor(table, client),
            self.metrics,
            random.Random(1),
            broadcast=broadcast,
        )
        upstream_clients = UpstreamClients(
            engine=EngineClient(client), services=ServiceClient(client), dispatcher=self.dispatcher
        )
        shards = FakeShards(instance_id, fleet)
        decisions = DecisionLog()
        self.executor = Executor(
            shards=shards,
            config=self.board.config,
            upstream_clients=upstream_clients,
            decisions=decisions,
            on_fault=fleet.record_fault,
        )
        forwarder = OperationForwarder(
            instance_id=instance_id,
            shards=shards,
            bus=self.bus,
            executor=self.executor,
            metrics=self.metrics,
        )
        self.authenticator = KeyAuthenticator(self.board.config, 60.0)
        self.caller_api = CallerApi(
            board=self.board,
            authenticator=self.authenticator,
            rates=self.rates,
            forwarder=forwarder,
            service_proxy=ServiceProxy(self.board, forwarder, upstream_clients),
            metrics=self.metrics,
            decisions=decisions,
            limits=HttpLimits(),
            max_streams=100,
        )
        self.address = ""

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration as verified now."""
        view = ConfigView(configuration=configuration, verified_at_s=trio.current_time())
        self.board.config.write(view)


class PathFleet:
    """Two instances, two engines, a tool, and a caller."""

    def __init__(self) -> None:
        self.peers: dict[str, str] = {}
        self.shard = FakeShard(owner="i0")
        self.is_owner_lookup_down = False
        self.faults: list[tuple[str, BaseException]] = []
        self.nodes = [PathNode("i0", self), PathNode("i1", self)]
        self.engines = [FakeUpstream(), FakeUpstream()]
        self.tool = FakeUpstream()
        self.client = HttpClient()
        self.scopes_by_node: dict[str, trio.CancelScope] = {}

    def close_gates(self) -> None:
        """Make the engines pause after four tokens until their gates are opened."""
        for engine in self.engines:
            engine.gate = trio.Event()

    def script(self, *answers: ScriptedAnswer) -> None:
        """Let the next requests to either engine get scripted answers."""
        scripted = list(answers)
        for engine in self.engines:
            engine.scripted_answers = scripted

    def record_fault(self, event: str, error: BaseException) -> None:
        self.faults.append((event, error))

    async def run(self, check: Callable[["PathFleet"], Awaitable[None]]) -> None:
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            with trio.fail_after(30):
                await check(self)
            nursery.cancel_scope.cancel()
        for event, error in self.faults:
            raise AssertionError(event) from error

    async def _start(self, nursery: trio.Nursery) -> None:
        upstreams = {}
        for index, upstream in enumerate([*self.engines, self.tool]):
            server = HttpServer(upstream.handle)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            upstream.address = f"127.0.0.1:{port}"
            upstreams[f"u{index}"] = _listed_upstream(f"u{index}", upstream.address, index < 2)
        for node in self.nodes:
            await nursery.start(self._run_node, node)
            node.configure(make_configuration())
            node.board.upstreams.write(upstreams)

    async def _run_node(self, node: PathNode, *, task_status: trio.TaskStatus[None]) -> None:
        with trio.CancelScope() as scope:
            self.scopes_by_node[node.bus.instance_id] = scope
            async with trio.open_nursery() as nursery:
                port = await nursery.start(node.bus.serve)
                self.peers[node.bus.instance_id] = f"127.0.0.1:{port}"
                await nursery.start(node.executor.run)
                nursery.start_soon(node.dispatcher.run)
                nursery.start_soon(node.authenticator.run)
                port = await nursery.start(node.caller_api.server.serve, "127.0.0.1", 0)
                node.address = f"127.0.0.1:{port}"
                task_status.started()

    def list_at_closed_port(self, upstream_id: str) -> None:
        """List an upstream at an address that refuses connections."""
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        for node in self.nodes:
            listed_by_id = dict(node.board.upstreams.read())
            listed = listed_by_id[upstream_id]
            listed_by_id[upstream_id] = replace(listed, address=address)
            node.board.upstreams.write(listed_by_id)

    def kill_owner(self) -> None:
        """Stop the owner at once; its memory is lost."""
        self.shard.has_ownership = False
        self.scopes_by_node[self.shard.owner].cancel()
        self.peers.pop(self.shard.owner)

    def take_over(self) -> None:
        """Make the other instance the owner, with the state replayed from the journal."""
        owner = "i1" if self.shard.owner == "i0" else "i0"
        former = self.shard
        self.shard = replace(former, owner=owner, epoch=former.epoch + 1, has_ownership=True)
        self.shard.state = ProgramShard()
        for record in former.journal:
            self.shard.state.apply(record)
        self.shard.journal = list(former.journal)
        for record in self.shard.state.decide_interrupt([owner]):
            self.shard.submit((record,))

    async def send(
        self, node: int, method: str, path: str, body: object = None, **headers: str
    ) -> HttpResponse:
        """Send a request, with the account's key unless `authorization` is given."""
        fields = {"authorization": f"Bearer {KEY}", **headers}
        names = tuple((name.replace("_", "-"), value) for name, value in fields.items() if value)
        data = b"" if body is None else json.dumps(body).encode()
        request = HttpRequest(method=method, path=path, headers=names, body=data)
        sent = await self.client.fetch(
            self.nodes[node].address, request, timeout_s=REQUEST_TIMEOUT_S
        )
        return sent.unwrap()

    async def create_program(self, node: int = 0, **fields: object) -> str:
        reply = await self.send(node, "POST", "/v1/programs", {"profile": "field", **fields})
        assert reply.status == 201, reply
        return json.loads(reply.body)["program_id"]

    async def chat(
        self,
        node: int,
        program_id: str,
        turn: int,
        text: str,
        *,
        stream: bool = True,
        max_tokens: int | None = None,
        **headers,
    ) -> HttpResponse:
        body: dict = {} if max_tokens is None else {"max_tokens": max_tokens}
        body |= {
            "model": "small",
            "stream": stream,
            "messages": [{"role": "user", "content": text}],
        }
        names = {"lagoonfold_program": program_id, "lagoonfold_turn": str(turn), **headers}
        return await self.send(node, "POST", "/v1/chat/completions", body, **names)

    async def tool_call(
        self, node: int, program_id: str, turn: int, route: str = "register", **headers
    ) -> HttpResponse:
        path = f"/v1/programs/{program_id}/tools/{route}"
        return await self.send(
            node, "POST", path, {"point": 17}, lagoonfold_turn=str(turn), **headers
        )


def _listed_upstream(upstream_id: str, address: str, is_engine: bool) -> ListedInstance:
    return ListedInstance(
        instance_id=upstream_id,
        role="engine" if is_engine else "tool",
        address=address,
        failure_domain="a",
        models=("small",) if is_engine else (),
        service="" if is_engine else "registry",
    )


def text_of(reply: HttpResponse) -> str:
    """Return the text of a streamed answer; fail if it does not end with the last event."""
    assert reply.body.endswith(b"data: [DONE]\n\n"), reply.body[-300:]
    events = [line[6:] for line in reply.body.split(b"\n\n") if line.startswith(b"data: {")]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events]
    return "".join(delta.get("content") or "" for delta in deltas)


def kind_of(reply: HttpResponse) -> ErrorKind:
    """Return the error kind of a problem document."""
    return ErrorKind(json.loads(reply.body)["kind"])


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await trio.sleep(0.005)


@asynccontextmanager
async def call_in_progress(
    make_call: Callable[[], Awaitable[HttpResponse]], is_in_progress: Callable[[], bool]
) -> AsyncIterator[list[HttpResponse]]:
    """Make a call in the background and enter the block once `is_in_progress` holds.

    The yielded list contains the reply when the block has been left.
    """
    replies: list[HttpResponse] = []

    async def store_reply() -> None:
        replies.append(await make_call())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(store_reply)
        await wait_for(is_in_progress)
        yield replies


def run_fleet(check: Callable[[PathFleet], Awaitable[None]]) -> None:
    """Run a check against a new fleet."""

    async def run() -> None:
        await PathFleet().run(check)

    trio.run(run)


__all__ = [
    "KEY",
    "OTHER_KEY",
    "TOKENS",
    "PathFleet",
    "ScriptedAnswer",
    "kind_of",
    "make_configuration",
    "partial",
    "run_fleet",
    "text_of",
    "token_event",
    "wait_for",
]
