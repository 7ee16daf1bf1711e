"""Settings of one instance: an INI file, checked as a whole before anything starts."""

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
