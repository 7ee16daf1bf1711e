"""Replicas that take only some requests a second, as they have just started."""

from lagoonfold_gateway.cold._cold_controller import ColdController

__all__ = ["ColdController"]
