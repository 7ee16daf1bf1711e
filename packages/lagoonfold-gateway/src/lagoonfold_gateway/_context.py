"""What the parts of forwarding share in one instance."""

import random
from dataclasses import dataclass

import trio

from lagoonfold.forwarding import PromptCacheIndex, ReplicaSelector, ReplicaTracker
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._budget_desk import BudgetDesk
from lagoonfold_gateway._crash_watch import CrashWatch
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._loans import Loans
from lagoonfold_gateway._usual_times import UsualTimes
from lagoonfold_io import HttpClient
from lagoonfold_io.observe import Metrics


@dataclass(slots=True, kw_only=True)
class ForwardContext:
    """Board, books and the ways to others; `nursery` outlives every request."""

    dialect: Dialect
    board: GatewayBoard
    loads: ReplicaTracker
    memory: PromptCacheIndex
    placer: ReplicaSelector
    client: HttpClient
    crashes: CrashWatch
    loans: Loans
    budgets: BudgetDesk
    metrics: Metrics
    usual: UsualTimes
    rng: random.Random
    nursery: trio.Nursery
