"""What the operator has put in force for forwarded requests: routes, services, accounts, limits."""

from dataclasses import dataclass, field
from enum import Enum

from lagoonfold.rates import RateLimit


class RouteKind(Enum):
    """What may be repeated on a route, and what form its answers have."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that takes a share of a route's requests, in proportion to `weight`."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRoute:
    """A route of forwarded requests; times in seconds.

    `max_upstreams` is how many upstreams one request may be sent to, `timeout_s` the longest that
    a caller may be kept, `objective_s` the time in which an answer is on time. `rank` orders
    requests by urgency, 0 first. `can_resume` says that a broken stream may be continued.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    rank: int = 0
    max_upstreams: int = 1
    is_open: bool = False
    can_resume: bool = False
    is_program_turn: bool = False
    retention_s: float = 60.0

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.can_resume


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardService:
    """A service of interchangeable replicas; `max_connections` is per replica, over all callers."""

    name: str
    max_connections: int
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account; `rank` goes before that of the route, and no `limit` means no limit."""

    name: str
    rank: int | None = None
    limit: RateLimit | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardConfig:
    """One version of the configuration; requests carry keys unless `accounts_by_key` is None."""

    version: int
    routes: tuple[ForwardRoute, ...]
    services_by_name: dict[str, ForwardService]
    accounts_by_key: dict[str, ClientAccount] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
