"""Routing, retries and stream resumption of forwarded requests, without I/O.

A forwarded request passes through unchanged; its headers and its route decide how it is handled.
"""

from lagoonfold._wait_queue import WaitQueue
from lagoonfold.forwarding._attempts import AttemptHistory, AttemptOutcome, RetryDecision
from lagoonfold.forwarding._documents import (
    CallerLimits,
    ClientAccount,
    ForwardConfig,
    ForwardRoute,
    ForwardService,
    RouteKind,
    WeightedService,
)
from lagoonfold.forwarding._event_numbers import EventNumbers
from lagoonfold.forwarding._events import Event, EventError, EventFilter
from lagoonfold.forwarding._hedge_policy import HedgePolicy, HedgeWithheld
from lagoonfold.forwarding._late_programs import engine_urgency, queue_rank
from lagoonfold.forwarding._overdue_heads import OverdueHeads
from lagoonfold.forwarding._replicas import Replica, ReplicaDirectory, check_replica
from lagoonfold.forwarding._routing import RouteTable, pick_service
from lagoonfold.forwarding._stream_versions import (
    LOSS_MARGIN_S,
    UNREMEMBERED_AGE_S,
    StreamOrigin,
    StreamOrigins,
    StreamReport,
    VersionHistory,
    only_version_of,
    version_before_release,
)

__all__ = [
    "LOSS_MARGIN_S",
    "UNREMEMBERED_AGE_S",
    "only_version_of",
    "version_before_release",
    "AttemptHistory",
    "AttemptOutcome",
    "CallerLimits",
    "ClientAccount",
    "Event",
    "EventError",
    "EventFilter",
    "EventNumbers",
    "ForwardConfig",
    "ForwardRoute",
    "ForwardService",
    "HedgePolicy",
    "HedgeWithheld",
    "OverdueHeads",
    "Replica",
    "ReplicaDirectory",
    "RetryDecision",
    "RouteKind",
    "RouteTable",
    "StreamOrigin",
    "StreamOrigins",
    "StreamReport",
    "VersionHistory",
    "WaitQueue",
    "WeightedService",
    "check_replica",
    "engine_urgency",
    "pick_service",
    "queue_rank",
]
