"""Placing requests on replicas: asking the owner of a pool, and deciding as one."""

from lagoonfold_gateway.placing._dispatch import Dispatcher, PlacementEvidence
from lagoonfold_gateway.placing._latency_baselines import LatencyBaselines
from lagoonfold_gateway.placing._placement_client import PlacementClient
from lagoonfold_gateway.placing._placement_needs import Placement, PlacementNeed
from lagoonfold_gateway.placing._placement_owner import PlacementOwner

__all__ = [
    "Dispatcher",
    "LatencyBaselines",
    "Placement",
    "PlacementClient",
    "PlacementEvidence",
    "PlacementNeed",
    "PlacementOwner",
]
