"""Forwarded requests: route, place, repeat and resume, decided without I/O.

A forwarded request passes through unchanged; what it is follows from its headers and its route.
"""

from lagoonfold.forwarding._documents import (
    CallerLimits,
    ClientAccount,
    ForwardConfig,
    ForwardRoute,
    ForwardService,
    RouteKind,
    WeightedService,
)
from lagoonfold.forwarding._events import Event, EventError, EventFilter
from lagoonfold.forwarding._lateness import engine_urgency, rank_in_line
from lagoonfold.forwarding._loads import LoadBook
from lagoonfold.forwarding._placement import (
    Placement,
    PlacementRequest,
    Placer,
    PromptMemory,
    PromptPart,
)
from lagoonfold.forwarding._replicas import Replica, ReplicaDirectory
from lagoonfold.forwarding._routing import RouteTable, pick_service
from lagoonfold.forwarding._tries import NextStep, TryEnd, TryRecord
from lagoonfold.forwarding._waiting import WaitingLine

__all__ = [
    "CallerLimits",
    "ClientAccount",
    "Event",
    "EventError",
    "EventFilter",
    "ForwardConfig",
    "ForwardRoute",
    "ForwardService",
    "LoadBook",
    "NextStep",
    "Placement",
    "PlacementRequest",
    "Placer",
    "PromptMemory",
    "PromptPart",
    "Replica",
    "ReplicaDirectory",
    "RouteKind",
    "RouteTable",
    "TryEnd",
    "TryRecord",
    "WaitingLine",
    "WeightedService",
    "engine_urgency",
    "pick_service",
    "rank_in_line",
]
