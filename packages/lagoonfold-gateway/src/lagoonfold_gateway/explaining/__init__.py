"""Explains where a request would go now, from what this instance knows, without changing it."""

from lagoonfold_gateway.explaining._endpoint import ExplainEndpoint
from lagoonfold_gateway.explaining._explainer import Explainer
from lagoonfold_gateway.explaining._requests import ExplainRequest, PartInput, parse_explain_request

__all__ = [
    "ExplainEndpoint",
    "ExplainRequest",
    "Explainer",
    "PartInput",
    "parse_explain_request",
]
