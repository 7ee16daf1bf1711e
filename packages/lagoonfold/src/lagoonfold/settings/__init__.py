"""The settings of one instance: an INI file, checked completely before the instance starts."""

from lagoonfold.settings._load import SettingsFault, load_settings, parse_settings
from lagoonfold.settings._models import (
    ClusterSettings,
    InstanceSettings,
    KeySettings,
    LimitSettings,
    LogSettings,
    PlatformSettings,
    SchedulingSettings,
    Settings,
)

__all__ = [
    "ClusterSettings",
    "InstanceSettings",
    "KeySettings",
    "LimitSettings",
    "LogSettings",
    "PlatformSettings",
    "SchedulingSettings",
    "Settings",
    "SettingsFault",
    "load_settings",
    "parse_settings",
]
