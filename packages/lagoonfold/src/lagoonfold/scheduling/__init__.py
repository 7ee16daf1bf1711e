"""Which call goes next, to which replica, what becomes of caches, and who is admitted.

Policies that vary are found by name in registries that decorators fill: `ORDERS_BY_NAME`,
`CHOOSERS_BY_NAME`, `CACHE_POLICIES_BY_NAME` and `ADMISSIONS_BY_NAME`.
"""

from lagoonfold.scheduling._admission import (
    ADMISSIONS_BY_NAME,
    DEFAULT_ADMISSION,
    Admission,
    AdmissionInput,
    admission,
)
from lagoonfold.scheduling._cache import (
    CACHE_POLICIES_BY_NAME,
    DEFAULT_CACHE_POLICY,
    CacheAction,
    CachePolicy,
    PauseInput,
    cache_policy,
)
from lagoonfold.scheduling._cached_prefixes import CachedPrefixes, CacheEvent, CacheEventKind
from lagoonfold.scheduling._candidates import MAX_REPLICAS_PER_MODEL, choose_candidates
from lagoonfold.scheduling._choosers import (
    CHOOSERS_BY_NAME,
    DEFAULT_CHOOSER,
    PlacementInput,
    ReplicaChooser,
    chooser,
)
from lagoonfold.scheduling._load import LoadReport, ReplicaLoad
from lagoonfold.scheduling._orders import DEFAULT_ORDER, ORDERS_BY_NAME, Order, order
from lagoonfold.scheduling._pace import MoveInput, PaceBoard, PaceNotice, is_sooner_elsewhere
from lagoonfold.scheduling._pace_watch import PaceWatch, RunningPace
from lagoonfold.scheduling._queue import DispatchQueue, QueuedCall
from lagoonfold.scheduling._service import PauseMeter, ServiceMeter, priority_of, service_s

__all__ = [
    "MAX_REPLICAS_PER_MODEL",
    "choose_candidates",
    "ADMISSIONS_BY_NAME",
    "CACHE_POLICIES_BY_NAME",
    "CHOOSERS_BY_NAME",
    "DEFAULT_ADMISSION",
    "DEFAULT_CACHE_POLICY",
    "DEFAULT_CHOOSER",
    "DEFAULT_ORDER",
    "ORDERS_BY_NAME",
    "Admission",
    "AdmissionInput",
    "CacheAction",
    "CacheEvent",
    "CacheEventKind",
    "CachePolicy",
    "CachedPrefixes",
    "DispatchQueue",
    "LoadReport",
    "MoveInput",
    "Order",
    "PaceBoard",
    "PaceNotice",
    "PaceWatch",
    "PauseInput",
    "PauseMeter",
    "PlacementInput",
    "QueuedCall",
    "ReplicaChooser",
    "ReplicaLoad",
    "RunningPace",
    "ServiceMeter",
    "admission",
    "cache_policy",
    "chooser",
    "is_sooner_elsewhere",
    "order",
    "priority_of",
    "service_s",
]
