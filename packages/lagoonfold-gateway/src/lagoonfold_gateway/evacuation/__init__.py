"""Failure domains whose replicas get no new requests, on request of an operator."""

from lagoonfold_gateway.evacuation._evacuation_controller import EvacuationController

__all__ = ["EvacuationController"]
