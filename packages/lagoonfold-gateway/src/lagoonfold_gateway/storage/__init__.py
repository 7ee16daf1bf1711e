"""The storage instance, which keeps turns on its disk for the gateways."""

from lagoonfold_gateway.storage._app import run_storage
from lagoonfold_gateway.storage._node import StorageNode
from lagoonfold_gateway.storage._settings import StorageSettings, parse_storage_settings

__all__ = ["StorageNode", "StorageSettings", "parse_storage_settings", "run_storage"]
