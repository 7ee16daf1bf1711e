"""Gateways, replicas and a store in one event loop, for tests."""

import logging
import os
import shutil
import tempfile
import threading
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import msgspec
import trio
from result import Err, UnwrapError

from lagoonfold.forwarding import (
    CallerLimits,
    ClientAccount,
    ForwardConfig,
    ForwardRoute,
    ForwardService,
    RouteKind,
    WeightedService,
)
from lagoonfold.forwarding import Replica as ListedReplica
from lagoonfold.rates import RateLimit
from lagoonfold_gateway import DEFAULT_DIALECT, DEFAULT_RETIREMENT, Gateway, GatewaySettings
from lagoonfold_gateway._settings import (
    HedgingSection,
    HistoriesSection,
    InstanceSection,
    StoreSection,
    TimesSection,
)
from lagoonfold_gateway.storage import StorageNode, StorageSettings
from lagoonfold_gateway.storage._settings import StorageInstanceSection
from lagoonfold_io import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    TurnFile,
    TurnFileError,
    WriteBatch,
)
from standins._ports import free_port
from standins.replica import NAMES, Replica
from standins.transactional_store import MemoryStore, StoreView

HOST = "api.example"
KEY = "key-1"
WAIT_S = 10.0


def make_config(
    *, version: int = 1, timeout_s: float = 2.0, limit: RateLimit | None = None, **route: object
) -> ForwardConfig:
    """Return a configuration with a plain, an at-most-once, a stream and an open route."""

    def make_route(name: str, prefix: str, kind: RouteKind, **more: object) -> ForwardRoute:
        targets = (WeightedService(service="models", weight=1),)
        options = {
            "max_upstreams": 2,
            "timeout_s": timeout_s,
            "targets": targets,
            **more,
            **route,
        }
        return ForwardRoute(
            name=name,
            host=HOST,
            prefix=prefix,
            kind=kind,
            objective_s=0.5,
            **options,
        )

    routes = (
        make_route("read", "/read/", RouteKind.IDEMPOTENT),
        make_route("write", "/write/", RouteKind.AT_MOST_ONCE),
        make_route("turns", "/turns/", RouteKind.STREAM, can_resume=True, is_program_turn=True),
        make_route("open", "/open/", RouteKind.IDEMPOTENT, is_open=True),
    )
    return ForwardConfig(
        version=version,
        routes=routes,
        services_by_name={
            "models": ForwardService(name="models", max_connections=100, tokens_per_event=10)
        },
        accounts_by_key={KEY: ClientAccount(name="acme", limit=limit)},
        limits=CallerLimits(idle_timeout_s=5.0),
    )


class FaultyFile:
    """A file of turns that stalls while `may_write` is not set, and refuses while `is_refusing`."""

    def __init__(self, file: TurnFile) -> None:
        self._file = file
        self.may_write = threading.Event()
        self.may_write.set()
        self.is_refusing = False
        self.writes = 0
        self.reads = 0

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def read(self, key: str) -> object:
        """Count a read of the disk."""
        self.reads += 1
        return self._file.read(key)

    def write(self, batch: WriteBatch) -> object:
        """Write, unless the disk refuses, once it does not stall."""
        self.writes += 1
        if not self.may_write.wait(WAIT_S) or self.is_refusing:
            return Err(TurnFileError("the disk refuses writes"))
        return self._file.write(batch)


@dataclass(slots=True)
class Storage:
    """A storage instance of the fleet, with its folder, which a restart finds again."""

    settings: StorageSettings
    node: StorageNode
    file: FaultyFile
    scope: trio.CancelScope


@dataclass(slots=True)
class Fleet:
    """A store, replicas and gateways; `client` reuses its connections as callers do."""

    store: MemoryStore
    nursery: trio.Nursery
    folder: tempfile.TemporaryDirectory = field(default_factory=tempfile.TemporaryDirectory)
    replica_by_id: dict[str, Replica] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    scope_by_gateway: dict[str, trio.CancelScope] = field(default_factory=dict)
    view_by_gateway: dict[str, StoreView] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)
    storage_by_name: dict[str, Storage] = field(default_factory=dict)
    hedge_share: float = 0.03
    serves_metrics: bool = False
    _requests: int = 0

    def put_config(self, config: ForwardConfig) -> None:
        """Write a configuration to the store, as an operator does."""
        self.store.put(DEFAULT_DIALECT.config_key, msgspec.json.encode(config))

    def list_replica(
        self,
        replica: Replica,
        *,
        is_draining: bool = False,
        started: int = 0,
        version: str = "",
        service: str = "models",
        failure_domain: str = "zone-a",
        cold_s: float | None = None,
    ) -> None:
        """List a replica in the store."""
        listed = ListedReplica(
            replica_id=replica.replica_id,
            service=service,
            address=replica.address,
            failure_domain=failure_domain,
            slots=4,
            is_draining=is_draining,
            started=started,
            version=version,
            cold_s=cold_s,
        )
        key = DEFAULT_DIALECT.replica_prefix + replica.replica_id
        self.store.put(key, msgspec.json.encode(listed))

    def unlist_replica(self, replica_id: str) -> None:
        """Remove a replica's entry."""
        self.store.remove(DEFAULT_DIALECT.replica_prefix + replica_id)

    async def add_replica(self, replica_id: str) -> Replica:
        """Start and list a replica."""
        replica = self.replica_by_id[replica_id] = Replica(replica_id)
        await self.nursery.start(replica.serve)
        self.list_replica(replica)
        return replica

    async def add_gateway(self, name: str, *, is_first_start: bool = True) -> Gateway:
        """Start a gateway in its own cancel scope, so that it can be killed."""
        listen, readiness, peers = (free_port() for _ in range(3))
        settings = GatewaySettings(
            instance=InstanceSection(
                id=name,
                failure_domain="zone-a",
                listen=f"127.0.0.1:{listen}",
                readiness=f"127.0.0.1:{readiness}",
                peers=f"127.0.0.1:{peers}",
                metrics=f"127.0.0.1:{free_port()}" if self.serves_metrics else None,
                is_first_start=is_first_start,
            ),
            store=StoreSection(address="127.0.0.1:1"),
            times=TimesSection(stop_s=5.0, balancer_notice_s=0.1),
            hedging=HedgingSection(share=self.hedge_share),
        )
        gateway: Gateway = await self.nursery.start(self._run_gateway, settings)
        self.gateways.append(gateway)
        return gateway

    async def _run_gateway(
        self, settings: GatewaySettings, *, task_status: trio.TaskStatus[Gateway]
    ) -> None:
        async with trio.open_nursery() as nursery:
            self.scope_by_gateway[settings.instance.id] = nursery.cancel_scope
            view = self.view_by_gateway[settings.instance.id] = StoreView(self.store)
            gateway = Gateway(settings, DEFAULT_DIALECT, view, nursery)
            await gateway.start(nursery)
            task_status.started(gateway)

    async def add_storage(
        self, name: str, domain: str = "zone-a", *, cache_mb: int = 8, machine_losses: int = 1
    ) -> Storage:
        """Start a storage instance with an empty folder."""
        settings = StorageSettings(
            instance=StorageInstanceSection(
                id=name,
                failure_domain=domain,
                peers=f"127.0.0.1:{free_port()}",
                data_folder=tempfile.mkdtemp(dir=self.folder.name),
                max_disk_mb=20,
            ),
            store=StoreSection(address="127.0.0.1:1"),
            histories=HistoriesSection(cache_mb=cache_mb, machine_losses=machine_losses),
        )
        return await self._start_storage(settings)

    async def _start_storage(self, settings: StorageSettings) -> Storage:
        storage: Storage = await self.nursery.start(self._run_storage, settings)
        self.storage_by_name[settings.instance.id] = storage
        return storage

    async def _run_storage(
        self, settings: StorageSettings, *, task_status: trio.TaskStatus[Storage]
    ) -> None:
        path = f"{settings.instance.data_folder}/turns.db"
        file = FaultyFile(TurnFile.open(path, max_bytes=20_000_000).unwrap())
        view = self.view_by_gateway[settings.instance.id] = StoreView(self.store)
        try:
            async with trio.open_nursery() as nursery:
                node = StorageNode(settings, DEFAULT_RETIREMENT, view, file, nursery)
                await node.start(nursery)
                task_status.started(Storage(settings, node, file, nursery.cancel_scope))
        finally:
            file.may_write.set()
            file.close()

    async def stop_storage(self, name: str) -> StorageSettings:
        """End a storage instance as a kill does; its folder stays."""
        storage = self.storage_by_name.pop(name)
        storage.scope.cancel()
        await trio.sleep(0.05)
        return storage.settings

    async def restart_storage(self, settings: StorageSettings, *, wiped: bool = False) -> Storage:
        """Start a storage instance again, with its folder or an empty one."""
        if wiped:
            shutil.rmtree(settings.instance.data_folder)
            os.mkdir(settings.instance.data_folder)
        return await self._start_storage(settings)

    def kill(self, gateway: Gateway) -> None:
        """Cancel a gateway without a stop."""
        self.scope_by_gateway[gateway.settings.instance.id].cancel()
        self.gateways.remove(gateway)

    def next_id(self) -> str:
        """Return the id of a new request."""
        self._requests += 1
        return f"request-{self._requests}"

    async def send(
        self,
        gateway: Gateway,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        key: str | None = KEY,
        deadline_ms: int = 5_000,
        headers: tuple[tuple[str, str], ...] = (),
        request_id: str | None = None,
    ) -> HttpResponse:
        """Send a request on a new connection and return the answer."""
        own = [
            ("host", HOST),
            (NAMES.request_id, request_id or self.next_id()),
            (NAMES.deadline_ms, str(deadline_ms)),
        ]
        if key is not None:
            own.append((NAMES.api_key, key))
        request = HttpRequest(method=method, path=path, headers=(*own, *headers), body=body)
        address = gateway.settings.instance.listen
        return (
            await self.client.fetch(address, request, timeout_s=WAIT_S, new_connection=True)
        ).unwrap()

    async def client_send(self, gateway: Gateway, path: str) -> None:
        """Send a request whose answer, or lack of one, is of no interest."""
        with suppress(UnwrapError):
            await self.send(gateway, path)

    async def send_turn(
        self,
        gateway: Gateway,
        program: str,
        *,
        budget: int,
        max_tokens: int = 100,
        time_left_s: float | None = None,
    ) -> HttpResponse:
        """Send a turn of a program."""
        headers: tuple[tuple[str, str], ...] = (
            (NAMES.program, program),
            (NAMES.session_id, program),
            (NAMES.budget_tokens, str(budget)),
            (NAMES.token_counts, f"10,{max_tokens}"),
        )
        if time_left_s is not None:
            left_ms = str(int(time_left_s * 1_000))
            headers = (*headers, (NAMES.program_deadline_ms, left_ms))
        return await self.send(gateway, "/turns/x", headers=headers)


async def wait_until(is_true: Callable[[], bool]) -> None:
    """Wait until a predicate holds, for at most `WAIT_S`."""
    with trio.fail_after(WAIT_S):
        while not is_true():
            await trio.sleep(0.01)


def knows_all(fleet: Fleet) -> bool:
    """Return whether every gateway knows the configuration, the replicas and the other gateways."""
    return all(
        gateway.board.config.read() is not None
        and len(gateway.board.replicas.read().all()) == len(fleet.replica_by_id)
        and len(gateway.board.live.read().ids) == len(fleet.gateways)
        and (not fleet.storage_by_name or knows_disks(gateway, fleet))
        for gateway in fleet.gateways
    ) and all(
        storage.node.registration.is_listed
        and len(storage.node.disks.read() or ()) == len(fleet.storage_by_name)
        for storage in fleet.storage_by_name.values()
    )


def describe(fleet: Fleet) -> list[object]:
    """Return what each instance of a fleet knows, for the message of a failed test."""
    return [
        *(
            {
                "gateway": gateway.bus.own_id,
                "config": gateway.board.config.read() is not None,
                "replicas": [each.replica_id for each in gateway.board.replicas.read().all()],
                "live": gateway.board.live.read().ids,
                "disks": gateway.board.disks.read(),
                "calls": gateway.metrics.counts().get("store_calls"),
            }
            for gateway in fleet.gateways
        ),
        *(
            {
                "storage": name,
                "is_listed": storage.node.registration.is_listed,
                "disks": storage.node.disks.read(),
                "writes": storage.file.writes,
                "calls": storage.node.metrics.counts().get("store_calls"),
            }
            for name, storage in fleet.storage_by_name.items()
        ),
    ]


def knows_disks(gateway: Gateway, fleet: Fleet) -> bool:
    """Return whether a gateway knows the disks of all running storage instances."""
    known = {disk.name: disk.disk_id for disk in gateway.board.disks.read() or ()}
    return all(
        known.get(name) == storage.node.turn_store.disk_id
        for name, storage in fleet.storage_by_name.items()
    )


@asynccontextmanager
async def run_fleet(
    *,
    gateways: int = 1,
    replicas: int = 2,
    storage: str = "",
    config: ForwardConfig | None = None,
    hedge_share: float = 0.03,
    serves_metrics: bool = False,
):
    """Start gateways, replicas and storage instances; yield them once they know each other.

    There is a storage instance `s-<domain>` for each failure domain in `storage`.

    In the end no gateway may have counted an exception of its request handler: it may come after
    the response, where callers don't see it.
    """
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            MemoryStore(), nursery, hedge_share=hedge_share, serves_metrics=serves_metrics
        )
        fleet.put_config(config or make_config())
        for number in range(replicas):
            await fleet.add_replica(f"r{number + 1}")
        for number in range(gateways):
            await fleet.add_gateway(f"g{number + 1}")
        for domain in storage:
            await fleet.add_storage(f"s-{domain}", domain)
        try:
            await wait_until(lambda: knows_all(fleet))
        except trio.TooSlowError:
            raise AssertionError(f"the fleet does not know itself: {describe(fleet)}") from None
        yield fleet
        for gateway in fleet.gateways:
            assert "handler_errors" not in gateway.metrics.render(), gateway.metrics.render()
        nursery.cancel_scope.cancel()
    fleet.folder.cleanup()


def run_with_fleet(check: Callable[[Fleet], Awaitable[None]], **options: object) -> None:
    """Run a check with a new fleet."""

    async def run() -> None:
        async with run_fleet(**options) as fleet:
            await check(fleet)

    trio.run(run)


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.fields_by_event: dict[str, list[dict[str, object]]] = {}

    def emit(self, record: logging.LogRecord) -> None:
        fields = getattr(record, "fields", {})
        self.fields_by_event.setdefault(record.getMessage(), []).append(fields)


def run_and_collect_lines(
    check: Callable[[Fleet], Awaitable[None]], **options: object
) -> dict[str, list[dict[str, object]]]:
    """Run a check with a fleet; return the fields of all lines by event."""
    logger, lines = logging.getLogger("lagoonfold"), _Lines()
    level = logger.level
    logger.addHandler(lines)
    logger.setLevel("INFO")
    try:
        run_with_fleet(check, **options)
    finally:
        logger.removeHandler(lines)
        logger.setLevel(level)
    return lines.fields_by_event


__all__ = [
    "Fleet",
    "Storage",
    "knows_all",
    "knows_disks",
    "make_config",
    "run_and_collect_lines",
    "run_fleet",
    "run_with_fleet",
    "wait_until",
]
