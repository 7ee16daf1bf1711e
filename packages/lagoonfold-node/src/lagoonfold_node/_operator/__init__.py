"""The operators' HTTP API of an instance: liveness, metrics, status, explanations and orders."""

from lagoonfold_node._operator._server import OperatorApi

__all__ = ["OperatorApi"]
