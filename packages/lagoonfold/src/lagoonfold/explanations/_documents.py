"""What an instance says of where a request would go now, as JSON on the wire.

Every field that a later release adds is optional, and unknown ones are ignored. Ages and waits are
in seconds. Whatever is not known is None.
"""

from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """What a request, or a step of its way, comes to."""

    SERVED = "served"
    QUEUED = "queued"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """What the owner of an account or a pool would decide of a request that arrives now.

    `before` is the number of waiting requests that go before it, `wait_s` how long it is expected
    to wait, and `retry_after_s` when a rejected caller should come back.
    """

    outcome: Outcome
    replica_id: str | None = None
    before: int = 0
    wait_s: float | None = None
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Why a request is rejected, with the HTTP status that its caller gets."""

    status: int
    kind: str
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteExplanation:
    """The route of the request and the service that it picks."""

    name: str
    prefix: str
    service: str
    timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountExplanation:
    """The client account; with `rate_per_s` None its rate is not limited.

    `tokens` are those left now and `reserved` those of them withheld for programs; both are told
    by the owner only.
    """

    name: str
    rate_per_s: float | None = None
    burst: float | None = None
    owner: str | None = None
    is_owned: bool = False
    tokens: float | None = None
    reserved: float | None = None
    waiting: int | None = None
    decision: Decision | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaExplanation:
    """A replica of a pool, with the cost of the request there by cost term.

    `rejected_by` is the capacity rule that rejects it. `cold_left_s` is for how long it is still
    cold. `age_s_by_figure` tells how old the data behind its figures is.
    """

    replica_id: str
    failure_domain: str
    slots: int
    requests: int | None = None
    uncached_tokens: int | None = None
    cost_s: float | None = None
    cost_terms_s: dict[str, float] = field(default_factory=dict)
    rejected_by: str | None = None
    is_evacuated: bool = False
    is_ejected: bool = False
    cold_left_s: float | None = None
    limit_per_s: float | None = None
    age_s_by_figure: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolExplanation:
    """A pool of the service by what the instance knows that explains.

    `at_once` is what a request gets that does not wait, `decision` what one gets that may. Both are
    None for a pool that the request would not be placed in, whose replicas are left out.
    """

    subject: str
    owner: str
    is_owned: bool = False
    waiting: int | None = None
    at_once: Decision | None = None
    decision: Decision | None = None
    replicas: tuple[ReplicaExplanation, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What the request as a whole comes to; `status` is None where the replica's own counts.

    `not_asked` are the owners by whose knowledge it would be decided and that were not asked.
    """

    outcome: Outcome
    detail: str
    status: int | None = None
    replica_id: str | None = None
    wait_s: float | None = None
    retry_after_s: float | None = None
    not_asked: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """All that one instance says; `pools` are in the order in which they are asked.

    `rejection` is that of a request that gets as far as no account and no pool. `members_age_s` is
    how long the instance has known the live instances that decide who owns what.
    """

    instance: str
    config_version: int | None = None
    config_age_s: float | None = None
    members: int = 0
    members_age_s: float | None = None
    route: RouteExplanation | None = None
    account: AccountExplanation | None = None
    pools: tuple[PoolExplanation, ...] = ()
    rejection: Rejection | None = None
    verdict: Verdict | None = None
