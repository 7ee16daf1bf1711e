"""The documents that operators configure: profiles, client accounts, API keys and routes.

A `Configuration` holds all of them. It is immutable; a change makes one with the next version.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lagoonfold._ids import AccountId, KeyDigest, ProfileName, RouteName

NEVER_VERIFIED_S = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """The limits of one program: tokens, calls, millionths of a currency unit, and seconds."""

    tokens: int
    calls: int
    cost_micros: int
    wall_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """The budget, routes and queueing of a class of programs.

    Only the accounts in `account_ids` may run programs under the profile, and only on `routes`.
    `max_wait_s` is how long a call may queue. `weight` is the profile's share relative to the other
    profiles of an account.
    """

    name: ProfileName
    account_ids: tuple[AccountId, ...]
    budget: Budget
    routes: tuple[RouteName, ...]
    max_wait_s: float = 30.0
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account; its rate and burst count requests over all instances together."""

    account_id: AccountId
    rate_per_s: float
    burst: int
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiKey:
    """A caller's key, identified by the SHA-256 digest of its text.

    `profile_names` limits the key to those profiles; empty allows all profiles of the account.
    `withdrawn_version` is the configuration version that withdrew the key, or zero.
    """

    digest: KeyDigest
    account_id: AccountId
    label: str = ""
    profile_names: tuple[ProfileName, ...] = ()
    withdrawn_version: int = 0

    def is_withdrawn(self) -> bool:
        """Return whether the key has been withdrawn; a withdrawn key never becomes valid again."""
        return self.withdrawn_version > 0


class RouteKind(Enum):
    """The kind of upstream that answers the calls of a route."""

    MODEL = "model"
    TOOL = "tool"
    SERVICE = "service"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A name under which callers reach a model, a tool or another service.

    `target` is the name of the model or the service in the instance list. Calls of a route with
    `is_open` need no key. `timeout_s` bounds one call. Costs are in millionths of a currency unit.
    """

    name: RouteName
    kind: RouteKind
    target: str
    is_idempotent: bool = False
    is_open: bool = False
    timeout_s: float = 60.0
    cost_micros_per_call: int = 0
    cost_micros_per_1000_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """All documents at one version; each accepted change increases the version by one."""

    version: int = 0
    profiles_by_name: Mapping[ProfileName, Profile] = field(default_factory=dict)
    accounts_by_id: Mapping[AccountId, Account] = field(default_factory=dict)
    keys_by_digest: Mapping[KeyDigest, ApiKey] = field(default_factory=dict)
    routes_by_name: Mapping[RouteName, Route] = field(default_factory=dict)


EMPTY_CONFIGURATION = Configuration()


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigView:
    """A configuration, and the process's clock in seconds when it was last known to be current."""

    configuration: Configuration = EMPTY_CONFIGURATION
    verified_at_s: float = NEVER_VERIFIED_S

    def is_stale(self, now_s: float, bound_s: float) -> bool:
        """Return whether the view was last verified more than `bound_s` seconds ago."""
        return now_s - self.verified_at_s > bound_s
