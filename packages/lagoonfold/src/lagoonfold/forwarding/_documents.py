"""The configuration of forwarded requests: routes, services, client accounts and limits."""

from dataclasses import dataclass, field
from enum import Enum

from lagoonfold.rates import RateLimit


class RouteKind(Enum):
    """How often a route's requests may run, and the form of its answers.

    Requests of an `IDEMPOTENT` route may be repeated, those of other kinds only if the route has
    `can_resume`. A `STREAM` route answers with a stream of events.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that receives a share of a route's requests in proportion to `weight`."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRoute:
    """A route of forwarded requests, matched by `host` and path `prefix`; times in seconds.

    `targets` are the services that share the requests. `timeout_s` is the longest time that a
    caller may be kept waiting, `objective_s` the target latency. `rank` is the priority; 0 is the
    most urgent. `patience_s` is how long a caller waits for the next event of a stream, None if
    until its deadline. `max_upstreams` is the number of upstreams at which one request may run. An
    open route (`is_open`) needs no API key. `can_resume` allows a broken stream to be resumed.
    `is_program_turn` marks requests that are turns of a program. `retention_s` is how long the
    budget record of a program without running turns is kept after its last use. A route that
    `keeps_history` gets turns without what they continue from: answered turns are kept for as long.
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
    patience_s: float | None = None
    keeps_history: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.can_resume


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardService:
    """A service of interchangeable replicas.

    `max_connections` applies to each replica and is shared by all callers. `tokens_per_event` is
    the number of tokens that one event of a stream counts as. A replica is cold for `cold_start_s`
    after its start, never if that is 0, and takes `cold_per_s` requests a second then, from all
    instances together. `memory_tokens` is how many tokens
    the requests at one replica may occupy together, 0 if that is not known.
    """

    name: str
    max_connections: int
    tokens_per_event: int = 1
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account.

    `rank` is the priority of its requests and overrides that of the route unless it is None. With
    `limit` None the account's rate is not limited.
    """

    name: str
    rank: int | None = None
    limit: RateLimit | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on callers: sizes of header and body, time for a header, and idle time.

    Sizes are in bytes, times in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardConfig:
    """One version of the configuration.

    `accounts_by_key` maps API keys to client accounts; with None, no request needs a key.
    `limits` apply to every caller.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    services_by_name: dict[str, ForwardService]
    accounts_by_key: dict[str, ClientAccount] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
