"""The messages between instances."""

import msgspec

from lagoonfold.histories import KeptTurn
from lagoonfold.liveness import InstanceStatus
from lagoonfold.resilience import PoisonNotice


class Heartbeat(msgspec.Struct, frozen=True, tag="StatusBeat", array_like=True):
    """The state of an instance, sent at regular intervals to those that watch it; it has no answer.

    `digest` is that of the instances which the sender takes for live. The revisions are those of
    the latest changes in the store that the sender has seen.
    """

    status: InstanceStatus
    digest: int
    config_revision: int
    replica_revision: int


class Hello(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The status of an instance that has found the receiver in the store.

    The answer is `StatusNews` with the receiver's status, what it knows of the sender and the
    initial members.
    """

    status: InstanceStatus


class StatusNews(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Statuses that have changed, sent to all peers; it has no answer.

    `initial_members` is set in the answer to `Hello` only.
    """

    statuses: tuple[InstanceStatus, ...]
    initial_members: tuple[str, ...] = ()


class StatusExchange(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All statuses that the sender knows; the answer is `StatusNews` with those of the receiver."""

    statuses: tuple[InstanceStatus, ...]


class Probe(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Question whether the receiver lives; the answer is `Ack`."""


class CompletedRun(msgspec.Struct, frozen=True, array_like=True):
    """A request that a replica ran to its end, `age_s` seconds before it was told."""

    digest: str
    age_s: float


class PoisonReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Requests whose attempts crashed replicas, sent to all peers; it has no answer.

    `ages_s` has the seconds since the answer of each notice was lost, and `completed` the last run
    to the end of requests that are or were blamed; an earlier release leaves both empty.
    """

    notices: tuple[PoisonNotice, ...]
    ages_s: tuple[float, ...] = ()
    completed: tuple[CompletedRun, ...] = ()


class TurnRequest(msgspec.Struct, frozen=True, tag="TurnAsk", array_like=True):
    """Request to admit a turn, sent to the program's owner by the instance where it arrived.

    The answer is `TurnCredit`, `BudgetExhausted`, `OwnerRedirect` or `OwnerUnavailable`.

    `initial_members` are those that the sender knows (see `InitialMembers`), as a digest, empty if
    it knows none. If the receiver knows others, the program may have another owner besides it.
    `unavailable_owners` cannot charge now or have failed to raise this turn's credit; the receiver
    takes over from them.
    `retention_s` is how long the budget record is kept after its last use.
    """

    program: str
    turn_id: str
    instance_id: str
    budget: int
    max_tokens: int
    retention_s: float
    initial_members: tuple[str, ...]
    unavailable_owners: tuple[str, ...] = ()


class TurnCreditRequest(msgspec.Struct, frozen=True, tag="TurnCover", array_like=True):
    """Request to raise the credit of a running turn, sent to the owner that admitted it.

    The answer is `TurnCredit` or `OwnerUnavailable`.
    """

    program: str
    turn_id: str
    max_tokens: int


class TurnEnd(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a turn has ended, sent to each owner that granted credit for it.

    `delivered_tokens` were delivered to the caller under that owner's credit. The answer is `Ack`.
    """

    program: str
    turn_id: str
    delivered_tokens: int


class TurnCredit(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of an owner: the tokens that a turn may deliver so far under its credit."""

    credit: int


class BudgetExhausted(msgspec.Struct, frozen=True, tag="BudgetSpent", array_like=True):
    """Answer of an owner: the program's budget cannot hold the turn."""

    spent: int
    budget: int


class OwnerRedirect(msgspec.Struct, frozen=True, tag="OwnedBy", array_like=True):
    """Answer to a turn request: another live instance owns the program."""

    instance: str


class OwnerUnavailable(msgspec.Struct, frozen=True, tag="NotNow", array_like=True):
    """Answer: the receiver is not the owner or cannot decide now, for the given reason."""

    reason: str


class TokenRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request for a token of a client account for one call, sent to the account's owner.

    The answer is `TokenGranted`, `TokenRefused` or `OwnerUnavailable`. The sender numbers its
    requests. Times are in seconds from the receipt: the call may wait for `wait_s`, and the owner
    holds the answer for up to `hold_s` while it waits. `time_left_s` is the time until its program
    should be done, None if that is not known.
    """

    instance: str
    number: int
    account: str
    program: str
    is_turn: bool
    wait_s: float
    time_left_s: float | None
    hold_s: float


class TokenGranted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of an account's owner: the call has a token."""


class TokenRefused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of an account's owner: the call has no token.

    `shortage` is the value of a `TokenShortage`; after `retry_after_s` seconds a token may be left.
    """

    shortage: str
    retry_after_s: float


class TokenReturn(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a call of this number needs no token any more; it has no answer.

    `exhausted_program` is its program if that program's budget could not hold the call.
    """

    instance: str
    number: int
    account: str
    exhausted_program: str | None


class PlaceRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request to place a request on a replica of a pool, sent to the pool's owner.

    The answer is `Placed` or `PlacementRefused`. The sender numbers its requests. The prompt's
    `parts` are ids with their lengths in tokens. Times are in seconds from the receipt: the owner
    holds the answer for up to `hold_s` while no replica has a slot, and refuses a request that
    would wait for longer than `wait_s`. The answer is of no use after `time_left_s`;
    `soft_time_left_s` is the time until the request's program should be done, `expected_tokens` the
    caller's estimate of the answer's length. With `version`, only replicas of that software version
    may be selected. Requests of the same `affinity` concern the same object. `prompt_tokens` is the
    length of the prompt and `output_tokens` the most that the request may generate, 0 if that is
    not known. With `is_hedge` the request is a second attempt, which only a clearly free replica
    gets; an owner of an earlier release places it like any other. `account` is the client account,
    None without one; `program` is the program's id if its objective is known, and `is_begun` says
    whether it has begun. The request has waited for a place for `waited_s` before; an earlier
    release does not tell that. `knows_busy` is set if the sender understands that the receiver is
    busy.
    """

    instance: str
    number: int
    service: str
    pool_index: int
    pool_count: int
    route: str
    parts: tuple[tuple[str, int], ...]
    excluded: tuple[str, ...]
    only: str | None
    failure_domain: str
    rank: int
    soft_time_left_s: float
    time_left_s: float
    hold_s: float
    expected_tokens: int | None = None
    wait_s: float | None = None
    version: str | None = None
    affinity: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    is_hedge: bool = False
    account: str | None = None
    is_begun: bool = True
    program: str | None = None
    waited_s: float | None = None
    knows_busy: bool = False


class Placed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of a pool's owner: the replica for a request, and why (see `ReplicaSelection`)."""

    replica_id: str
    requests: int
    slowdown: float
    uncached_tokens: int


class PlacementRefused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of a pool's owner: the value of a `PlacementShortage`, and when to come back.

    `retry_after_s` is 0 where that is not known. With `is_busy` the receiver has not looked for a
    replica, as its answers would come too late: another instance is to be asked.
    """

    shortage: str
    retry_after_s: float = 0.0
    is_busy: bool = False


class PlacementEnd(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a placed request has ended, or is not wanted any more; it has no answer.

    `outcome` is the value of an `AttemptOutcome`, None if the request was cancelled or never sent.
    The other fields are those of `PlacementEvidence`; the pace is None from an earlier release.
    """

    instance: str
    number: int
    route: str
    outcome: str | None
    reported_load: int | None
    answer_s: float | None
    event_s: float | None
    is_stream: bool
    names_no_limit: bool = False
    cold_s: float | None = None
    reported_pace: float | None = None
    reported_pace_age_s: float = 0.0


class ReplicaLimitNews(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a replica's incarnation names a limit, or no longer does; it has no answer.

    Sent to the owner of the replica's pool by the instance that got the answer, and by the owner to
    all. `limit_per_s` is the number of requests a second that the replica takes from all instances
    together, None if it names no limit any more.
    """

    replica: str
    started: int
    limit_per_s: float | None


class ReplicaLeavingNews(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a replica's incarnation has said in an answer that it leaves; has no answer.

    Sent to all instances by each that learns it from an answer, and to those that join by the owner
    of the replica's pool.
    """

    replica: str
    started: int


class FeedPoll(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request for the changes below prefixes of the store, sent to an instance that reads it.

    `revision_by_prefix` has the revision up to which the sender knows the changes, 0 if it knows
    nothing. The answer, a `FeedAnswer`, comes at the first change, or after `wait_s` seconds.
    """

    revision_by_prefix: dict[str, int]
    wait_s: float


class FeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the store; `value` is None for a removal, whose revision `revision` then is."""

    key: str
    value: bytes | None
    revision: int
    is_compressed: bool = False


class FeedChanges(msgspec.Struct, frozen=True, array_like=True):
    """The changes below a prefix up to a revision, or all entries if `is_listing` is set."""

    prefix: str
    revision: int
    is_listing: bool
    entries: tuple[FeedEntry, ...]


class FeedAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: what has changed; `is_healthy` is not set if the receiver cannot vouch for it."""

    is_healthy: bool
    feeds: tuple[FeedChanges, ...] = ()


class StreamOriginNote(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a stream begins at a software version, sent to its homes; it has no answer.

    `stream` is the id of the request whose answer brings its first event.
    """

    stream: str
    service: str
    version: str


class StreamOriginQuery(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Question where a stream began, sent to its homes; the answer is `StreamOriginAnswer`.

    `service` is that of the request that takes the stream up, "" from an earlier release.
    """

    stream: str
    service: str = ""


class StreamOriginAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of a stream's home: where it began, None if the home cannot tell.

    `is_remembered` says whether the home was told, or knows of one version only; it is None from an
    earlier release. See `lagoonfold.forwarding.StreamReport` for the other fields.
    """

    service: str = ""
    version: str | None = None
    is_remembered: bool | None = None
    versions: tuple[str, ...] = ()
    version_before: str | None = None
    is_complete: bool | None = None


class KeepTurns(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request to keep turns, sent to a storage instance by the one that answered or holds them.

    Each is to be kept for at least as many seconds from the receipt as `keep_s` has in its place.
    The answer is `TurnsKept` when they are durable, or `KeepRefused`.
    """

    turns: tuple[KeptTurn, ...]
    keep_s: tuple[float, ...]


class TurnsKept(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: the turns are durable on the disk of this id, which may be full now."""

    disk_id: str
    is_full: bool = False


class KeepRefused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: the turns are not kept, for the given reason; the disk may be full."""

    reason: str
    is_full: bool = False


class TurnQuery(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Question for a turn of an account and what it continues from; the answer is `TurnsFound`.

    If the turn is larger than `max_bytes`, the answer is `TurnTooLarge`; 0 stands for any size.
    """

    turn_id: str
    account: str
    max_bytes: int = 0


class TurnsFound(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: the turns of a chain that a disk holds, newest first, beginning with the one asked.

    `turns` is empty if the disk does not hold that turn. A long chain may be cut short; the asker
    asks for the rest. `kept_for_s` has the seconds for which each turn is kept. A disk that
    `is_full` has hardly room for new turns.
    """

    disk_id: str
    turns: tuple[KeptTurn, ...] = ()
    kept_for_s: tuple[float, ...] = ()
    is_full: bool = False


class TurnTooLarge(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: the disk holds the turn, which has more bytes than the asker has memory for now."""

    size_bytes: int


class DiskRelay(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A message to a storage instance that the sender cannot reach, for the receiver to pass on.

    The answer is the storage instance's, or `DiskUnreached`.
    """

    disk: str
    message: KeepTurns | TurnQuery


class DiskUnreached(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: the receiver cannot reach the storage instance either."""

    reason: str


class CopyOffer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Keys of turns that the receiver should hold; the answer is `CopiesLacking`.

    `kept_for_s` has the seconds for which the sender keeps each turn; an earlier release leaves it
    empty.
    """

    keys: tuple[str, ...]
    kept_for_s: tuple[float, ...] = ()


class CopiesLacking(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: which of the offered turns the disk of this id does not hold for as long."""

    disk_id: str
    keys: tuple[str, ...]


class ReplicaProbe(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Question whether the receiver can connect to a replica that the sender cannot reach."""

    address: str


class ReplicaProbed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer: whether the replica was reached; an instance that may be cut off cannot tell."""

    is_reached: bool
    can_tell: bool


class Ack(msgspec.Struct, frozen=True, tag="Done", array_like=True):
    """Answer: the message was processed, or its type is unknown to the receiver."""


Message = (
    Heartbeat
    | Hello
    | StatusNews
    | StatusExchange
    | Probe
    | PoisonReport
    | TurnRequest
    | TurnCreditRequest
    | TurnEnd
    | TurnCredit
    | BudgetExhausted
    | OwnerRedirect
    | OwnerUnavailable
    | TokenRequest
    | TokenGranted
    | TokenRefused
    | TokenReturn
    | PlaceRequest
    | Placed
    | PlacementRefused
    | PlacementEnd
    | ReplicaLimitNews
    | ReplicaLeavingNews
    | FeedPoll
    | FeedAnswer
    | StreamOriginNote
    | StreamOriginQuery
    | StreamOriginAnswer
    | KeepTurns
    | TurnsKept
    | KeepRefused
    | TurnQuery
    | TurnsFound
    | TurnTooLarge
    | DiskRelay
    | DiskUnreached
    | CopyOffer
    | CopiesLacking
    | ReplicaProbe
    | ReplicaProbed
    | Ack
)


def type_name(message: Message) -> str:
    """Return the name of a message's type as it stands on the wire."""
    return str(type(message).__struct_config__.tag)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of its call, which its answer repeats; 0 if no answer is wanted."""

    number: int
    is_answer: bool
    message: Message
