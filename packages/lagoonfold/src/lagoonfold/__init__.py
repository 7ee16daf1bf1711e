"""The decision logic of the lagoonfold scheduler, for the daemons and for embedding programs.

Nothing in this package does I/O: time, random numbers and inputs are passed as arguments, and
decisions are returned as values.
"""

from lagoonfold._addresses import split_address
from lagoonfold._byte_limited_cache import ByteLimitedCache
from lagoonfold._cell import Cell
from lagoonfold._compression import compress, decompress
from lagoonfold._decoding import decode_json
from lagoonfold._errors import PROBLEM_TYPES_BY_KIND, ErrorKind, ProblemType, Ran, Refusal
from lagoonfold._ids import (
    AccountId,
    CallId,
    Epoch,
    InstanceId,
    KeyDigest,
    ProfileName,
    ProgramId,
    RequestId,
    RouteName,
    ShardId,
    UpstreamId,
    WriterId,
    new_id,
)
from lagoonfold._numbers import parse_count
from lagoonfold._ports import (
    ABSENT_REVISION,
    MAX_CREATES_PER_CALL,
    MAX_ENTRIES_PER_COMMIT,
    NO_LEASE,
    Changes,
    Check,
    CommitResult,
    Entry,
    InstanceList,
    KeyValueStore,
    LeaseGrant,
    ListedInstance,
    Listing,
    NewEntry,
    Put,
    StoreError,
    StoreErrorKind,
    TransactionalStore,
    WatchEvent,
)
from lagoonfold._redaction import redact
from lagoonfold._rendezvous import rendezvous_weight

__all__ = [
    "ABSENT_REVISION",
    "MAX_CREATES_PER_CALL",
    "MAX_ENTRIES_PER_COMMIT",
    "NO_LEASE",
    "PROBLEM_TYPES_BY_KIND",
    "AccountId",
    "ByteLimitedCache",
    "CallId",
    "Cell",
    "Changes",
    "Check",
    "CommitResult",
    "Entry",
    "Epoch",
    "ErrorKind",
    "InstanceId",
    "InstanceList",
    "KeyDigest",
    "KeyValueStore",
    "LeaseGrant",
    "ListedInstance",
    "Listing",
    "NewEntry",
    "ProblemType",
    "ProfileName",
    "ProgramId",
    "Put",
    "Ran",
    "Refusal",
    "RequestId",
    "RouteName",
    "ShardId",
    "StoreError",
    "StoreErrorKind",
    "TransactionalStore",
    "UpstreamId",
    "WatchEvent",
    "WriterId",
    "compress",
    "decode_json",
    "decompress",
    "new_id",
    "parse_count",
    "redact",
    "rendezvous_weight",
    "split_address",
]
