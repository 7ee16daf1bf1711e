"""The pydantic models of an instance's settings file, one class for each section."""

import ipaddress
from collections.abc import Collection
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from lagoonfold.scheduling import (
    ADMISSION_POLICIES_BY_NAME,
    CHOOSERS_BY_NAME,
    DEFAULT_ADMISSION_POLICY,
    DEFAULT_CHOOSER,
    DEFAULT_QUEUE_DISCIPLINE,
    QUEUE_DISCIPLINES_BY_NAME,
)

_MAX_PORT = 65_535
_RENEWALS_PER_LEASE = 3
_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("an IPv4 number and a port, such as 10.0.0.1:8080") from None
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"a port from 1 to {_MAX_PORT}, such as 10.0.0.1:8080")
    return address


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
PositiveInt = Annotated[int, Field(gt=0)]
PositiveSeconds = Annotated[float, Field(gt=0, le=86_400)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]


class _Section(BaseModel):
    """Base of all sections: unknown keys are refused and values are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class InstanceSettings(_Section):
    """This instance's id, its failure domain, and the addresses that it listens on."""

    id: Name
    failure_domain: Name
    listen: Address
    peer: Address
    operator: Address


class PlatformSettings(_Section):
    """Addresses of the platform's services, and how often this instance calls them."""

    kv: Address
    instance_list: Address
    kv_calls_per_s: PositiveInt = 60
    kv_timeout_s: PositiveSeconds = 2.0
    instance_list_interval_s: PositiveSeconds = 1.0


class ClusterSettings(_Section):
    """Shards, leases and commits; must be equal on all instances of a deployment."""

    shards: Annotated[int, Field(ge=1, le=4_096)] = 32
    lease_s: PositiveSeconds = 9.0
    takeover_wait_s: PositiveSeconds = 1.0
    commit_interval_s: Seconds = 0.005
    commit_scope: Literal["instance", "failure-domain"] = "instance"
    checkpoint_commits: PositiveInt = 256

    @property
    def renew_s(self) -> float:
        """Return the seconds between lease renewals: a third of the lease, so that one may fail."""
        return self.lease_s / _RENEWALS_PER_LEASE


class LimitSettings(_Section):
    """Limits on callers' connections and requests: sizes in bytes, times in seconds.

    `caller_memory_mb` limits, in megabytes, what is held for all callers together.
    """

    max_header_bytes: Annotated[int, Field(ge=1_024, le=1_048_576)] = 32_768
    max_body_bytes: Annotated[int, Field(ge=1_024, le=1_073_741_824)] = 8_388_608
    max_connections: PositiveInt = 2_000
    max_streams: PositiveInt = 1_000
    caller_memory_mb: PositiveInt = 512
    header_timeout_s: PositiveSeconds = 10.0
    body_timeout_s: PositiveSeconds = 30.0
    idle_timeout_s: PositiveSeconds = 75.0
    write_timeout_s: PositiveSeconds = 30.0
    drain_s: PositiveSeconds = 60.0


class KeySettings(_Section):
    """How soon a withdrawn key is refused, and how long keys are accepted in an outage.

    An instance refuses requests with keys once it could not verify the configuration for
    `withdrawal_bound_s`; `outage_grace_s` extends that time while the key-value service cannot be
    reached.
    """

    withdrawal_bound_s: Annotated[float, Field(ge=1, le=60)] = 5.0
    outage_grace_s: Seconds = 0.0

    @property
    def max_config_age_s(self) -> float:
        """Return the configuration age in seconds above which requests with keys are refused."""
        return self.withdrawal_bound_s + self.outage_grace_s


def _check_order(name: str) -> str:
    return _check_registered(name, QUEUE_DISCIPLINES_BY_NAME)


def _check_replica(name: str) -> str:
    return _check_registered(name, CHOOSERS_BY_NAME)


def _check_admission(name: str) -> str:
    return _check_registered(name, ADMISSION_POLICIES_BY_NAME)


def _check_registered(name: str, registry: Collection[str]) -> str:
    if name not in registry:
        raise ValueError(f"one of {', '.join(sorted(registry))}")
    return name


class SchedulingSettings(_Section):
    """The names of the policies for queue order, choice of replica, and admission."""

    order: Annotated[str, AfterValidator(_check_order)] = DEFAULT_QUEUE_DISCIPLINE
    replica: Annotated[str, AfterValidator(_check_replica)] = DEFAULT_CHOOSER
    admission: Annotated[str, AfterValidator(_check_admission)] = DEFAULT_ADMISSION_POLICY


class LogSettings(_Section):
    """The least severe level that is logged."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(_Section):
    """All settings of one instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    cluster: ClusterSettings = ClusterSettings()
    limits: LimitSettings = LimitSettings()
    keys: KeySettings = KeySettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    log: LogSettings = LogSettings()
