"""The components that forwarding uses in one instance."""

from dataclasses import dataclass

from lagoonfold.placement import ColdReplicas
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._budget_client import BudgetClient
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._poison_tracker import PoisonTracker
from lagoonfold_gateway._rate_limiter import RateLimiter
from lagoonfold_gateway._replica_caller import ReplicaCaller
from lagoonfold_gateway._replica_statements import ReplicaStatements
from lagoonfold_gateway._version_controller import VersionController
from lagoonfold_gateway.histories._history_client import HistoryClient
from lagoonfold_gateway.placing import PlacementClient
from lagoonfold_io.observe import Metrics


@dataclass(slots=True, kw_only=True)
class ForwardContext:
    """Holds the shared components; `nursery` outlives every request.

    `hedge_share` is the share of requests that may get a second attempt while the first is late.
    With `admits_by_program`, owners of pools are told the program and the account of each request.
    """

    dialect: Dialect
    board: GatewayBoard
    placement_client: PlacementClient
    replica_statements: ReplicaStatements
    replica_caller: ReplicaCaller
    cold: ColdReplicas
    poison_tracker: PoisonTracker
    rate_limiter: RateLimiter
    budget_client: BudgetClient
    history_client: HistoryClient
    version_controller: VersionController
    metrics: Metrics
    nursery: TaskStarter
    hedge_share: float
    admits_by_program: bool
