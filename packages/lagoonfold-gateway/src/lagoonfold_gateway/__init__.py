"""The gateway, which forwards requests of agent programs to replicas from many instances."""

from lagoonfold_gateway._app import run_gateway
from lagoonfold_gateway._dialect import (
    DEFAULT_DIALECT,
    DEFAULT_RETIREMENT,
    Dialect,
    HeaderNames,
    RetirementDialect,
)
from lagoonfold_gateway._gateway import Gateway
from lagoonfold_gateway._settings import GatewaySettings, parse_settings

__all__ = [
    "DEFAULT_DIALECT",
    "DEFAULT_RETIREMENT",
    "Dialect",
    "Gateway",
    "GatewaySettings",
    "HeaderNames",
    "RetirementDialect",
    "parse_settings",
    "run_gateway",
]
