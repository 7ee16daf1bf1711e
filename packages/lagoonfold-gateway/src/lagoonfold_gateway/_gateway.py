"""A gateway instance: its components, its start and its stop.

An instance that stops announces it to the balancer and the peers and goes on serving while the
balancer may still send requests. Then it ends idle connections, waits for the requests in progress
and returns unused budget.
"""

import math
import random

import trio

from lagoonfold import TransactionalStore, WatchEvent, new_id
from lagoonfold.placement import (
    PromptCacheIndex,
    ReplicaSelector,
    ReplicaTracker,
)
from lagoonfold_gateway._admin_endpoints import serve_metrics, serve_readiness
from lagoonfold_gateway._background import BackgroundTasks
from lagoonfold_gateway._board import ConfigView, GatewayBoard
from lagoonfold_gateway._budget_client import BudgetClient
from lagoonfold_gateway._budget_owner import BudgetOwner
from lagoonfold_gateway._caller_limits import CallerLimits, relay_fault_response
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._config_controller import ConfigController
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._counted_store import CountedStore
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._feed_client import FeedClient
from lagoonfold_gateway._forwarder import Forwarder
from lagoonfold_gateway._heartbeats import Heartbeats
from lagoonfold_gateway._leaving_controller import LeavingController
from lagoonfold_gateway._limit_controller import LimitController
from lagoonfold_gateway._member_controller import POLL_INTERVAL_S, MemberController
from lagoonfold_gateway._peer_guard import PeerGuard
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._poison_tracker import PoisonTracker
from lagoonfold_gateway._pool_owners import PoolOwners
from lagoonfold_gateway._rate_limiter import RateLimiter
from lagoonfold_gateway._rate_owner import RateOwner
from lagoonfold_gateway._registration import MEMBER_PREFIX
from lagoonfold_gateway._replica_caller import ReplicaCaller
from lagoonfold_gateway._replica_controller import POLL_INTERVAL_S as REPLICA_INTERVAL_S
from lagoonfold_gateway._replica_controller import ReplicaController
from lagoonfold_gateway._replica_relay import ReplicaRelay
from lagoonfold_gateway._replica_statements import ReplicaStatements
from lagoonfold_gateway._retirement_responder import RetirementResponder
from lagoonfold_gateway._settings import GatewaySettings, TimesSection
from lagoonfold_gateway._store_mirror import StoreMirror
from lagoonfold_gateway._store_watch import PollTerms, poll_limit_s
from lagoonfold_gateway._usage import UsageReporter
from lagoonfold_gateway._version_controller import VersionController
from lagoonfold_gateway.cold import ColdController
from lagoonfold_gateway.evacuation import EvacuationController
from lagoonfold_gateway.explaining import ExplainEndpoint, Explainer
from lagoonfold_gateway.histories._disk_caller import DiskCaller
from lagoonfold_gateway.histories._disk_controller import DiskController
from lagoonfold_gateway.histories._history_client import HistoryClient
from lagoonfold_gateway.placing import Dispatcher, LatencyBaselines, PlacementClient, PlacementOwner
from lagoonfold_io import HttpClient, HttpLimits, HttpServer, MemoryGate
from lagoonfold_io.observe import EventLog, Metrics

SILENCE_LIMIT_S = 1.0  # of a replica with a request that can be sent elsewhere
UNREPEATABLE_SILENCE_LIMIT_S = 3.0  # sound replicas may be silent for a second or two
CONNECT_TIMEOUT_S = 0.5  # replicas are some ms away, but a dropped SYN is resent after seconds
MIN_SHARING_INSTANCES = 10  # that share the connections to a replica
SHARING_MARGIN = 1.3  # for instances that have started and are not yet known here
MIN_CONNECTIONS_PER_REPLICA = 2  # one more than a request waiting for its answer needs
IDLE_POLL_S = 0.05  # short compared to the seconds that a stop may take
BYTES_PER_MB = 1_000_000
MILLISECONDS_PER_S = 1_000
ANSWER_RESERVE_S = 0.2  # of that time, until the last answers have been sent
STOP_RESERVE_S = 0.7  # of the time for a stop, to return budget and deregister

_log = EventLog("gateway")


class Gateway:
    """One gateway instance with all its components."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: TransactionalStore,
        nursery: trio.Nursery,
    ) -> None:
        instance = settings.instance
        self.settings = settings
        self.start_id = new_id("start")
        self.board = GatewayBoard()
        self.metrics = Metrics()
        self.tasks = BackgroundTasks(nursery, self.metrics)
        self.caller_limits = CallerLimits(settings.memory, self.metrics)
        self.usage = UsageReporter(self.metrics)
        store = CountedStore(store, self.metrics)
        self.client = HttpClient(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            tcp_timeout_s=SILENCE_LIMIT_S,
            unrepeatable_tcp_timeout_s=UNREPEATABLE_SILENCE_LIMIT_S,
        )
        self.replica_tracker = ReplicaTracker()
        self.poison_tracker = PoisonTracker()
        self.bus = PeerBus(instance.id, self.tasks, self.metrics)
        self.replica_caller = ReplicaCaller(
            self.board, self.bus, self.client, self.metrics, random.Random()
        )
        self.relay_server = HttpServer(
            ReplicaRelay(self.board, self.replica_caller, self.client, dialect.headers).handle,
            limits=self.caller_limits.for_relay(),
            respond_to_fault=relay_fault_response,
            on_handler_error=self._record_handler_error,
            memory=self.caller_limits.memory,
            on_limit=self.caller_limits.record,
        )
        self.bus.guard = PeerGuard(self.caller_limits)
        self.bus.serve_http = self.relay_server.serve_stream
        self.mirror = StoreMirror(store, _poll_terms_by_prefix(settings.times, dialect))
        self.members = MemberController(
            instance, self.start_id, self.board, self.bus, store, self.mirror
        )
        self.members.is_store_reachable = lambda: store.is_reachable
        self.feed_client = FeedClient(self.board, self.bus, self.members, self.mirror, self.tasks)
        self.retirement_responder = RetirementResponder(
            dialect.retirement, self.members, store, self.tasks
        )
        self.evacuation_controller = EvacuationController(
            dialect.evacuation_prefix, self.board, self.metrics
        )
        self.config_controller = ConfigController(
            dialect,
            self.board,
            self.mirror,
            self._apply_operator_event,
            self.evacuation_controller.apply_listing,
        )
        self.replica_controller = ReplicaController(
            dialect, self.board, self.mirror, self.replica_tracker, self.client
        )
        self.disk_bus = PeerBus(instance.id, self.tasks, self.metrics)
        self.disk_controller = DiskController(self.board.disks, store, self.disk_bus, self.mirror)
        self.history_client = HistoryClient(
            self.board,
            DiskCaller(
                self.board, self.bus, self.disk_bus, self.metrics, random.Random(), self.tasks
            ),
            self.disk_controller,
            settings.histories.rule(),
            instance.failure_domain,
            self.metrics,
            MemoryGate(self.caller_limits.memory, self.caller_limits.record),
            cache_bytes=settings.histories.cache_mb * BYTES_PER_MB,
        )
        self.heartbeats = Heartbeats(
            self.bus,
            self.members,
            self.poison_tracker,
            self.config_controller.watch,
            self.replica_controller.watch,
            self.tasks,
            random.Random(),
        )
        self.heartbeats.on_behind = self.feed_client.refresh
        first = instance.is_first_start
        self.rate_owner = RateOwner(
            self.board,
            self.bus,
            self.members,
            self.tasks,
            settings.quotas.terms(),
            is_first_start=first,
        )
        self.rate_limiter = RateLimiter(self.bus, self.members)
        self.budget_owner = BudgetOwner(
            self.board, self.bus, store, self.members, self.tasks, is_first_start=first
        )
        self.pool_owners = PoolOwners(self.board, self.members.presence)
        self.limit_controller = LimitController(
            self.board, self.bus, self.members, self.pool_owners
        )
        self.cold_controller = ColdController(
            self.board, self.limit_controller.placing_since_s, self.replica_controller
        )
        self.leaving_controller = LeavingController(self.board, self.bus, self.client)
        self.version_controller = VersionController(self.board, self.bus, is_first_start=first)
        self.version_controller.told_ids = self.members.told_live_ids
        self.version_controller.has_left = self.members.has_left
        self.dispatcher = self._make_dispatcher()
        self.placement_owner = PlacementOwner(
            self.board, self.bus, self.dispatcher, self.limit_controller
        )
        self.explainer = Explainer(
            self.board,
            self.members,
            self.pool_owners,
            self.rate_owner,
            self.dispatcher,
            failure_domain=instance.failure_domain,
            admits_by_program=settings.admission.by_program,
        )
        self.forwarder = self._make_forwarder(dialect)
        self.http_server = HttpServer(
            self.forwarder.handle,
            limits=HttpLimits(max_connections=self.caller_limits.max_caller_connections),
            on_handler_error=self._record_handler_error,
            memory=self.caller_limits.memory,
            on_limit=self.caller_limits.record,
        )
        self.board.config.subscribe(self._apply_limits)
        self.board.live.subscribe(lambda view: self._share_connections())

    def _apply_operator_event(self, event: WatchEvent) -> None:
        """Apply a change of one of the operator's keys that is not the configuration."""
        self.evacuation_controller.apply_event(event)
        self.retirement_responder.handle_event(event)

    def _make_dispatcher(self) -> Dispatcher:
        prompt_index = PromptCacheIndex()
        selector = ReplicaSelector(
            self.replica_tracker,
            prompt_index,
            random.Random(),
            self.limit_controller.limits,
            cold=self.cold_controller.cold,
            count_rejection=lambda reason: self.metrics.count("placements_rejected", reason),
        )
        return Dispatcher(
            self.board,
            selector,
            self.replica_tracker,
            prompt_index,
            LatencyBaselines(),
            random.Random(),
        )

    def _make_forwarder(self, dialect: Dialect) -> Forwarder:
        placement_client = PlacementClient(
            self.board,
            self.bus,
            self.pool_owners,
            self.dispatcher,
            self.settings.instance.failure_domain,
            self.metrics,
        )
        context = ForwardContext(
            dialect=dialect,
            board=self.board,
            placement_client=placement_client,
            replica_statements=ReplicaStatements(
                dialect.headers,
                self.limit_controller,
                self.leaving_controller,
                self.cold_controller,
            ),
            replica_caller=self.replica_caller,
            cold=self.cold_controller.cold,
            poison_tracker=self.poison_tracker,
            rate_limiter=self.rate_limiter,
            budget_client=BudgetClient(self.bus, self.members),
            history_client=self.history_client,
            version_controller=self.version_controller,
            metrics=self.metrics,
            nursery=self.tasks,
            hedge_share=self.settings.hedging.share,
            admits_by_program=self.settings.admission.by_program,
        )
        return Forwarder(context)

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections here."""
        return (
            self.board.config.read() is not None
            and not self.board.stopping.read()
            and not self.members.is_isolated()
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the servers and all tasks of the instance."""
        instance = self.settings.instance
        await nursery.start(self.bus.serve, instance.peers)
        host, port = _split(instance.listen)
        await nursery.start(self.http_server.serve, host, port)
        await nursery.start(serve_readiness, instance.readiness, self.is_ready)
        if instance.metrics is not None:
            explain = ExplainEndpoint(self.explainer).handle
            await nursery.start(serve_metrics, instance.metrics, self.metrics, explain)
        duties = (
            self.config_controller.watch.run,
            self.replica_controller.watch.run,
            self.members.find_members,
            self.members.follow_members,
            self.members.registration.run,
            self.feed_client.run,
            self.heartbeats.run,
            self.heartbeats.watch_peers,
            self.replica_controller.expire,
            self.replica_caller.run,
            self.budget_owner.writer.run,
            self.budget_owner.sweep,
            self.usage.run,
            self.dispatcher.run,
            self.cold_controller.run,
            self.placement_owner.sweep,
            self.placement_owner.measure_load,
            self._follow_disks,
        )
        for duty in duties:
            self.tasks.start_duty(duty)
        _log.info("gateway.started", start_id=self.start_id, listen=instance.listen)

    async def _follow_disks(self) -> None:
        """Follow the list of disks from the first configuration on that has turns to keep."""
        needed = trio.Event()

        def look(view: ConfigView | None) -> None:
            if view is not None and any(route.keeps_history for route in view.config.routes):
                needed.set()

        self.board.config.subscribe(look)
        look(self.board.config.read())
        await needed.wait()
        await self.disk_controller.watch.run()

    async def stop(self) -> None:
        """Stop the instance without cutting requests, unless they exceed the time for a stop."""
        times = self.settings.times
        began_s = now_s()
        _log.info("gateway.stopping", active=self.forwarder.active_requests)
        self.board.stopping.write(True)
        self.http_server.announce_close()
        self.relay_server.announce_close()
        self.heartbeats.announce_leaving()
        self.forwarder.answer_all_until(began_s + times.stop_s - STOP_RESERVE_S - ANSWER_RESERVE_S)
        with trio.move_on_after(times.stop_s - STOP_RESERVE_S) as time:
            await trio.sleep(times.balancer_notice_s)
            self.http_server.begin_shutdown()
            self.relay_server.begin_shutdown()
            while self.http_server.connections or self.relay_server.connections:
                await trio.sleep(IDLE_POLL_S)
        if time.cancelled_caught:
            _log.warning("gateway.stop_cuts", active=self.forwarder.active_requests)
        with trio.move_on_after(max(0.1, times.stop_s - STOP_RESERVE_S / 2 - now_s() + began_s)):
            await self.budget_owner.release_unused()
            await self.members.registration.deregister()
        self.client.close()
        self.replica_caller.close()
        self.usage.log()
        _log.info("gateway.stopped", took_s=round(now_s() - began_s, 3))

    def _apply_limits(self, view: ConfigView | None) -> None:
        if view is None:
            return
        limits = view.config.limits
        self.http_server.set_limits(
            HttpLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                max_connections=self.caller_limits.max_caller_connections,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        )
        self._share_connections()

    def _share_connections(self) -> None:
        """Limit connections to this instance's share of those that a replica accepts in all."""
        view = self.board.config.read()
        services = view.config.services_by_name.values() if view is not None else ()
        max_connections = min((service.max_connections for service in services), default=None)
        if max_connections is not None:
            live = len(self.board.live.read().ids)
            sharing = max(MIN_SHARING_INSTANCES, math.ceil(SHARING_MARGIN * live))
            self.client.max_connections_per_address = max(
                MIN_CONNECTIONS_PER_REPLICA, max_connections // sharing
            )

    def _record_handler_error(self, error: BaseException) -> None:
        self.metrics.count("handler_errors", type(error).__name__)
        _log.error("request.handler_failed", error)


def _poll_terms_by_prefix(times: TimesSection, dialect: Dialect) -> dict[str, PollTerms]:
    config_s = times.config_in_force_ms / MILLISECONDS_PER_S
    drained_s = times.replica_drained_ms / MILLISECONDS_PER_S
    return {
        MEMBER_PREFIX: PollTerms(min_interval_s=POLL_INTERVAL_S),
        dialect.config_prefix: PollTerms(limit_s=poll_limit_s(config_s)),
        dialect.replica_prefix: PollTerms(
            limit_s=poll_limit_s(drained_s), min_interval_s=REPLICA_INTERVAL_S
        ),
    }


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
