"""What callers, replicas and the operator observe over a run. Times are seconds of one clock."""

import math
from dataclasses import dataclass, field

from soak._records import Try


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a replica received and did not answer with 421."""

    at_s: float
    attempt: str
    replica: str
    zone: str
    started: int = 0  # of the replica, in Unix milliseconds
    is_cold: bool = False


@dataclass(frozen=True, slots=True)
class Stall:
    """A time during which the loop of callers and replicas stood still."""

    begun_s: float
    ended_s: float


@dataclass(slots=True)
class Evacuation:
    """An evacuation from the store's acknowledgement to the removal of its key."""

    zone: str
    acknowledged_s: float
    removed_s: float = math.inf


@dataclass(slots=True)
class Freeze:
    """A time during which a gateway was suspended."""

    gateway: str
    begun_s: float
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class AccountLimit:
    """A client account's limit that is in force from a time on, until its next one."""

    account: str
    since_s: float
    rate_per_s: float
    burst: float


@dataclass(slots=True)
class Evidence:
    """The observations of a run.

    Replicas do not observe which gateway sends a request: it is taken to be the one at which the
    caller's request arrived, as no link between a gateway and a replica fails in the soak.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    freezes: list[Freeze] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    limits: list[AccountLimit] = field(default_factory=list)
    once_attempts: frozenset[str] = frozenset()
    began_s: float = 0.0
    try_by_attempt: dict[str, Try] = field(default_factory=dict)
    old_gateways: frozenset[str] = frozenset()

    def gateway_of(self, arrival: Arrival) -> str:
        """Return the gateway that sent a request, "" if no caller sent it."""
        sent = self.try_by_attempt.get(arrival.attempt)
        return sent.gateway if sent is not None else ""

    @property
    def checked_arrivals(self) -> list[Arrival]:
        """Return the arrivals of requests that gateways of the previous build did not send."""
        return [each for each in self.arrivals if self.gateway_of(each) not in self.old_gateways]
