"""A storage instance: its components, its start and its stop."""

import trio

from lagoonfold import Cell, TransactionalStore
from lagoonfold.histories import Disk
from lagoonfold_gateway._admin_endpoints import serve_metrics
from lagoonfold_gateway._background import BackgroundTasks
from lagoonfold_gateway._caller_limits import CallerLimits
from lagoonfold_gateway._counted_store import CountedStore
from lagoonfold_gateway._dialect import RetirementDialect
from lagoonfold_gateway._peer_guard import PeerGuard
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._store_watch import StoreGate
from lagoonfold_gateway._usage import UsageReporter
from lagoonfold_gateway.histories._disk_controller import DiskController
from lagoonfold_gateway.storage._disk_cleanup import DiskCleanup
from lagoonfold_gateway.storage._disk_registration import DiskRegistration
from lagoonfold_gateway.storage._repair import Repair
from lagoonfold_gateway.storage._retirement import Retirement
from lagoonfold_gateway.storage._settings import StorageSettings
from lagoonfold_gateway.storage._turn_server import TurnServer
from lagoonfold_gateway.storage._turn_store import TurnStore
from lagoonfold_io import MemoryGate, TurnFile
from lagoonfold_io.observe import EventLog, Metrics

BYTES_PER_MB = 1_000_000

_log = EventLog("storage")


class StorageNode:
    """One storage instance with all its components."""

    def __init__(
        self,
        settings: StorageSettings,
        dialect: RetirementDialect,
        store: TransactionalStore,
        file: TurnFile,
        nursery: trio.Nursery,
    ) -> None:
        instance, histories = settings.instance, settings.histories
        self.settings = settings
        self.metrics = Metrics()
        self.tasks = BackgroundTasks(nursery, self.metrics)
        self.usage = UsageReporter(self.metrics)
        self.disks: Cell[tuple[Disk, ...] | None] = Cell("disks", None)
        store = CountedStore(store, self.metrics)
        gate = StoreGate()
        self.bus = PeerBus(instance.id, self.tasks, self.metrics)
        caller_limits = CallerLimits(settings.memory, self.metrics)
        self.bus.guard = PeerGuard(caller_limits)
        self.disk_controller = DiskController(self.disks, store, self.bus, store)
        self.turn_store = TurnStore(
            file, self.metrics, cache_bytes=histories.cache_mb * BYTES_PER_MB
        )
        self.turn_store.load()
        self.registration = DiskRegistration(
            instance, histories, store, self.disks, self.turn_store
        )
        self.turn_server = TurnServer(
            self.bus,
            self.turn_store,
            self.registration,
            self.metrics,
            MemoryGate(caller_limits.memory, caller_limits.record),
        )
        self.repair = Repair(
            settings, self.disks, self.bus, self.turn_store, self.registration, self.metrics
        )
        self.retirement = Retirement(
            instance.id, dialect, store, self.registration, self.repair, gate
        )
        self.cleanup = DiskCleanup(
            self.disks,
            self.disk_controller,
            self.repair,
            store,
            forget_after_s=histories.forget_after_s,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the server and all tasks of the instance."""
        instance = self.settings.instance
        await nursery.start(self.bus.serve, instance.peers)
        if instance.metrics is not None:
            await nursery.start(serve_metrics, instance.metrics, self.metrics)
        duties = (
            self.disk_controller.watch.run,
            self.retirement.watch.run,
            self.registration.run,
            self.repair.run,
            self.retirement.run,
            self.cleanup.run,
            self.usage.run,
        )
        for duty in duties:
            self.tasks.start_duty(duty)
        # Its failure ends the process: what is in memory may no longer be what the file holds.
        nursery.start_soon(self.turn_store.run)
        _log.info("storage.started", disk_id=self.turn_store.disk_id, peers=instance.peers)
