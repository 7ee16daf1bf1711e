"""Settings of a storage instance: an INI file, checked as a whole before anything starts.

[instance]
id = storage-1
failure_domain = zone-a
peers = 10.0.0.4:7780
data_folder = /var/lib/lagoonfold
max_disk_mb = 500

[store]
address = 10.0.9.1:8362

[histories]
machine_losses = 1
"""

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Result

from lagoonfold_gateway._ini import parse_ini
from lagoonfold_gateway._settings import (
    Address,
    HistoriesSection,
    LogSection,
    Megabytes,
    MemorySection,
    StoreSection,
)

Name = Annotated[str, Meta(min_length=1, description="a name")]


class StorageInstanceSection(msgspec.Struct, frozen=True, kw_only=True):
    """This instance: its id, where it is, its addresses, and the folder and size of its disk."""

    id: Name
    failure_domain: Name
    region: str = ""
    peers: Address
    data_folder: Name
    max_disk_mb: Megabytes = 200
    metrics: Address | None = None


class RepairSection(msgspec.Struct, frozen=True, kw_only=True):
    """How fast turns are copied to disks that lack them, in megabytes a second."""

    mb_per_s: Megabytes = 8


class StorageSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one storage instance."""

    instance: StorageInstanceSection
    store: StoreSection
    histories: HistoriesSection = HistoriesSection(cache_mb=32)
    repair: RepairSection = RepairSection()
    memory: MemorySection = MemorySection()
    log: LogSection = LogSection()


def parse_storage_settings(text: str) -> Result[StorageSettings, tuple[str, ...]]:
    """Check the text of a settings file; an error holds every fault that was found."""
    return parse_ini(text, StorageSettings, process="storage instance")
