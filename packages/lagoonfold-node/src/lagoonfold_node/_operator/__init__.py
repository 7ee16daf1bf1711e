"""The operators' port of an instance: liveness, metrics, status and explanations."""

from lagoonfold_node._operator._server import OperatorApi

__all__ = ["OperatorApi"]
