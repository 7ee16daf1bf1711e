"""One instance: creates its parts and connects them through the blackboard.

The peer bus passes the node to its handlers, which use its parts by attribute name.
"""

from dataclasses import dataclass, field
from functools import partial

import trio

from lagoonfold import InstanceId, ProgramId
from lagoonfold.settings import Settings
from lagoonfold_io import (
    EtcdStore,
    HttpClient,
    HttpInstanceList,
    HttpLimits,
    MemoryBudget,
    MemoryGate,
)
from lagoonfold_io.observe import EventLog, Metrics
from lagoonfold_node._account_owners import ShardAccountOwners
from lagoonfold_node._board import Board
from lagoonfold_node._caller_api import (
    CallerApi,
    KeyAuthenticator,
    OperationForwarder,
    ServiceProxy,
)
from lagoonfold_node._config_controller import ConfigController
from lagoonfold_node._decisions import DecisionLog
from lagoonfold_node._dispatch import Dispatcher, DispatchService
from lagoonfold_node._execution import ExecutionShard, Executor
from lagoonfold_node._operator import OperatorApi
from lagoonfold_node._orders import EngineOrders
from lagoonfold_node._ownership import Ownership, OwnershipContext, OwnershipSettings
from lagoonfold_node._peers import PeerBus
from lagoonfold_node._rates import Lenders, RateLimiter
from lagoonfold_node._status import describe_node, not_ready_reason
from lagoonfold_node._upstreams import (
    EngineClient,
    ServiceClient,
    UpstreamClients,
    UpstreamDirectory,
)

BYTES_PER_MB = 1_000_000


@dataclass(slots=True)
class Node:
    """The parts of one instance, created from its settings."""

    settings: Settings
    board: Board = field(default_factory=Board)
    metrics: Metrics = field(default_factory=Metrics)
    decisions: DecisionLog = field(default_factory=DecisionLog)
    client: HttpClient = field(default_factory=HttpClient)
    log: EventLog = field(default_factory=lambda: EventLog("node"))
    store: EtcdStore = field(init=False)
    instance_list: HttpInstanceList = field(init=False)
    bus: PeerBus = field(init=False)
    configuration: ConfigController = field(init=False)
    ownership: Ownership = field(init=False)
    directory: UpstreamDirectory = field(init=False)
    dispatch: DispatchService = field(init=False)
    rates: RateLimiter = field(init=False)
    executor: Executor = field(init=False)
    authenticator: KeyAuthenticator = field(init=False)
    caller_api: CallerApi = field(init=False)
    operator_api: OperatorApi = field(init=False)

    def __post_init__(self) -> None:
        self._create_platform_adapters()
        self._create_controllers()
        self._create_request_path()
        self.operator_api = OperatorApi(
            metrics=self.metrics,
            decisions=self.decisions,
            not_ready_reason=lambda: not_ready_reason(self),
            status=lambda: describe_node(self),
            owner_of=self.ownership.shards.owner_of,
            send_order=EngineOrders(self).send,
        )

    @property
    def instance_id(self) -> InstanceId:
        """Return this instance's id."""
        return InstanceId(self.settings.instance.id)

    @property
    def dispatcher(self) -> Dispatcher:
        """Return the dispatcher, which places calls on upstreams."""
        return self.dispatch.dispatcher

    def _create_platform_adapters(self) -> None:
        platform = self.settings.platform
        self.store = EtcdStore(
            self.client,
            platform.kv,
            calls_per_s=platform.kv_calls_per_s,
            call_timeout_s=platform.kv_timeout_s,
        )
        self.bus = PeerBus(
            self.instance_id,
            self.settings.instance.peer,
            self._find_peer_address,
            self,
            on_fault=self._on_fault,
        )
        self.instance_list = HttpInstanceList(self.client, platform.instance_list)
        self.directory = UpstreamDirectory(
            self.board.upstreams,
            self.instance_list,
            interval_s=platform.instance_list_interval_s,
        )

    def _create_controllers(self) -> None:
        settings, board = self.settings, self.board
        self.configuration = ConfigController(
            instance_id=self.instance_id,
            failure_domain=settings.instance.failure_domain,
            store=self.store,
            bus=self.bus,
            cell=board.config,
            members=board.members,
            metrics=self.metrics,
            withdrawal_bound_s=settings.keys.withdrawal_bound_s,
        )
        self.ownership = Ownership(
            OwnershipContext(
                instance_id=self.instance_id,
                peer_address=settings.instance.peer,
                failure_domain=settings.instance.failure_domain,
                store=self.store,
                board=board,
                metrics=self.metrics,
                settings=_ownership_settings(settings),
                bus=self.bus,
                instance_list=self.instance_list,
                operator_address=settings.instance.operator,
                on_expired=self._evict_program,
                incarnation=self.bus.incarnation,
            )
        )
        self.dispatch = DispatchService(
            self.instance_id,
            board,
            self.bus,
            self.store,
            self.client,
            self.metrics,
            is_gone=self._is_gone,
            policies=settings.scheduling,
        )
        owners = ShardAccountOwners(self.ownership.shards, board.shards)
        find_account = lambda account_id: (  # noqa: E731
            board.config.read().configuration.accounts_by_id.get(account_id)
        )
        self.rates = RateLimiter(self.instance_id, self.bus, owners, Lenders(owners, find_account))

    def _create_request_path(self) -> None:
        settings = self.settings
        upstream_clients = UpstreamClients(
            engine=EngineClient(self.client),
            services=ServiceClient(self.client),
            dispatcher=self.dispatcher,
        )
        self.executor = Executor(
            shards=self.ownership.shards,
            config=self.board.config,
            upstream_clients=upstream_clients,
            decisions=self.decisions,
            on_ended=self._evict_program,
            on_fault=self._on_fault,
        )
        forwarder = OperationForwarder(
            instance_id=self.instance_id,
            shards=self.ownership.shards,
            bus=self.bus,
            executor=self.executor,
            metrics=self.metrics,
        )
        memory = MemoryBudget(settings.limits.caller_memory_mb * BYTES_PER_MB)
        count_limit = partial(self.metrics.count, "caller_limits")
        self.authenticator = KeyAuthenticator(self.board.config, settings.keys.max_config_age_s)
        self.caller_api = CallerApi(
            board=self.board,
            authenticator=self.authenticator,
            rates=self.rates,
            forwarder=forwarder,
            service_proxy=ServiceProxy(
                self.board, forwarder, upstream_clients, MemoryGate(memory, count_limit)
            ),
            metrics=self.metrics,
            decisions=self.decisions,
            limits=_http_limits(settings),
            max_streams=settings.limits.max_streams,
            memory=memory,
        )

    def _find_peer_address(self, instance_id: str) -> str | None:
        member = self.board.members.read().get(InstanceId(instance_id))
        return member.peer_address if member is not None else None

    def _on_fault(self, event: str, error: BaseException) -> None:
        self.metrics.count("faults", event)
        self.log.error(event, error)

    def _evict_program(self, program_id: ProgramId, shard: ExecutionShard) -> None:
        self.dispatcher.evict_program(program_id, all_engines=shard.predates_ownership(program_id))

    def _is_gone(self, program_id: ProgramId) -> bool:
        """Return whether this instance owns the program's shard and it has ended or is unknown."""
        shard = self.ownership.shards.find_open_for(program_id)
        if shard is None or not shard.holds_ownership():
            return False
        program = shard.state.programs_by_id.get(program_id)
        return program is None or program.end_reason is not None

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all parts until cancelled."""
        instance = self.settings.instance
        async with trio.open_nursery() as nursery:
            await nursery.start(self.operator_api.server.serve, *_host_and_port(instance.operator))
            await nursery.start(self.bus.serve)
            await nursery.start(self.executor.run)
            await nursery.start(self.rates.run)
            for run in (
                self.ownership.run,
                self.configuration.run,
                self.directory.run,
                self.dispatch.run,
                self.authenticator.run,
            ):
                nursery.start_soon(run)
            await nursery.start(self.caller_api.server.serve, *_host_and_port(instance.listen))
            self.log.info("node.started", instance_id=self.instance_id)
            task_status.started()


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _ownership_settings(settings: Settings) -> OwnershipSettings:
    cluster = settings.cluster
    return OwnershipSettings(
        shard_count=cluster.shards,
        lease_s=cluster.lease_s,
        renew_s=cluster.renew_s,
        takeover_wait_s=cluster.takeover_wait_s,
        commit_interval_s=cluster.commit_interval_s,
        commits_through_committer=cluster.commit_scope == "failure-domain",
        checkpoint_commits=cluster.checkpoint_commits,
    )


def _http_limits(settings: Settings) -> HttpLimits:
    limits = settings.limits
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_connections=limits.max_connections,
        header_timeout_s=limits.header_timeout_s,
        body_timeout_s=limits.body_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        write_timeout_s=limits.write_timeout_s,
    )
