"""Admission, queueing and placement of calls, and the policies for cached prefixes.

Interchangeable policies are registered by name through decorators and looked up in
`QUEUE_DISCIPLINES_BY_NAME`, `CHOOSERS_BY_NAME`, `CACHE_POLICIES_BY_NAME` and
`ADMISSION_POLICIES_BY_NAME`.
"""

from lagoonfold.scheduling._admission import (
    ADMISSION_POLICIES_BY_NAME,
    DEFAULT_ADMISSION_POLICY,
    AdmissionInput,
    AdmissionPolicy,
    admission_policy,
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
from lagoonfold.scheduling._choosers import (
    CHOOSERS_BY_NAME,
    DEFAULT_CHOOSER,
    PlacementInput,
    ReplicaChooser,
    chooser,
)
from lagoonfold.scheduling._load import LoadReport, ReplicaLoad
from lagoonfold.scheduling._queue import DispatchQueue, QueuedCall
from lagoonfold.scheduling._queue_disciplines import (
    DEFAULT_QUEUE_DISCIPLINE,
    QUEUE_DISCIPLINES_BY_NAME,
    QueueDiscipline,
    queue_discipline,
)
from lagoonfold.scheduling._service import (
    DurationAverage,
    PauseAverage,
    estimate_service_s,
    priority_of,
)
from lagoonfold.scheduling._slow_replicas import (
    EjectionNotice,
    MoveInput,
    SlowReplicaDetector,
    is_sooner_elsewhere,
)
from lagoonfold.scheduling._subsetting import MAX_REPLICAS_PER_MODEL, choose_replica_subset
from lagoonfold.scheduling._throughput import MonitoredCall, ThroughputMonitor

__all__ = [
    "ADMISSION_POLICIES_BY_NAME",
    "CACHE_POLICIES_BY_NAME",
    "CHOOSERS_BY_NAME",
    "DEFAULT_ADMISSION_POLICY",
    "DEFAULT_CACHE_POLICY",
    "DEFAULT_CHOOSER",
    "DEFAULT_QUEUE_DISCIPLINE",
    "MAX_REPLICAS_PER_MODEL",
    "QUEUE_DISCIPLINES_BY_NAME",
    "AdmissionInput",
    "AdmissionPolicy",
    "CacheAction",
    "CacheEvent",
    "CacheEventKind",
    "CachePolicy",
    "CachedPrefixes",
    "DispatchQueue",
    "DurationAverage",
    "EjectionNotice",
    "LoadReport",
    "MonitoredCall",
    "MoveInput",
    "PauseAverage",
    "PauseInput",
    "PlacementInput",
    "QueueDiscipline",
    "QueuedCall",
    "ReplicaChooser",
    "ReplicaLoad",
    "SlowReplicaDetector",
    "ThroughputMonitor",
    "admission_policy",
    "cache_policy",
    "choose_replica_subset",
    "chooser",
    "estimate_service_s",
    "is_sooner_elsewhere",
    "priority_of",
    "queue_discipline",
]
