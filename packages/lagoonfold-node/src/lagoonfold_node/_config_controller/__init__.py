"""The configuration controller: in each group one watcher sends changes to its peers."""

from lagoonfold_node._config_controller._controller import ConfigController
from lagoonfold_node._config_controller._handlers import HasConfiguration
from lagoonfold_node._config_controller._messages import (
    ConfigChanged,
    ConfigVerified,
    VerifyConfig,
)

__all__ = [
    "ConfigChanged",
    "ConfigController",
    "ConfigVerified",
    "HasConfiguration",
    "VerifyConfig",
]
