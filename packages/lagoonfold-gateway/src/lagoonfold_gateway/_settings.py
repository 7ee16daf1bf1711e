"""Settings of a gateway instance: an INI file, checked as a whole before anything starts.

[instance]
id = gateway-1
failure_domain = zone-a
listen = 10.0.0.1:8080
readiness = 10.0.0.1:8081
peers = 10.0.0.1:7780

[store]
address = 10.0.9.1:8362

[quotas]
window_s = 5
"""

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Result

from lagoonfold.histories import CopyRule
from lagoonfold.rates import QuotaTerms
from lagoonfold_gateway._ini import parse_ini

Address = Annotated[str, Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$", description="IPv4:port")]
Seconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds above 0")]
Milliseconds = Annotated[float, Meta(gt=0, le=86_400_000, description="milliseconds above 0")]


class InstanceSection(msgspec.Struct, frozen=True, kw_only=True):
    """This instance: its id, failure domain and addresses.

    `is_first_start` is true only when the whole system starts for the first time. The processor
    capacity is the product of `processor_cores` and `processor_share`, the share of their time that
    the instance may use; a product that cannot be used counts as 1.0 core.
    """

    id: Annotated[str, Meta(min_length=1, description="a name")]
    failure_domain: Annotated[str, Meta(min_length=1, description="a name")]
    listen: Address
    readiness: Address
    peers: Address
    metrics: Address | None = None
    is_first_start: bool = False
    processor_cores: float = 1.0
    processor_share: float = 1.0

    @property
    def capacity(self) -> float:
        """Return the processor capacity in cores, as it stands in the settings."""
        return self.processor_cores * self.processor_share


class StoreSection(msgspec.Struct, frozen=True, kw_only=True):
    """The store."""

    address: Address


class TimesSection(msgspec.Struct, frozen=True, kw_only=True):
    """Times that the deployment grants.

    `stop_s` is the longest time of a stop, and for `balancer_notice_s` the balancer still sends
    after a stop was announced. A change of the configuration must be in force everywhere
    `config_in_force_ms` after the store has acknowledged it, and a replica that drains must get no
    requests after `replica_drained_ms`.
    """

    stop_s: Seconds = 8.0
    balancer_notice_s: Seconds = 2.5
    config_in_force_ms: Milliseconds = 2_000.0
    replica_drained_ms: Milliseconds = 2_000.0


class QuotasSection(msgspec.Struct, frozen=True, kw_only=True):
    """How quotas of client accounts are counted; see `lagoonfold.rates.QuotaTerms`."""

    window_s: Seconds = 5.0
    slack_calls: Annotated[float, Meta(ge=0, le=1_000_000, description="calls from 0")] = 0.0

    def terms(self) -> QuotaTerms:
        """Return the terms for the owners of accounts."""
        return QuotaTerms(window_s=self.window_s, slack_calls=self.slack_calls)


Count = Annotated[int, Meta(ge=0, le=100, description="a count from 0 to 100")]
Megabytes = Annotated[int, Meta(ge=1, le=1_000_000, description="megabytes above 0")]


class HistoriesSection(msgspec.Struct, frozen=True, kw_only=True):
    """How many losses of machines with a disk, of failure domains or of regions turns survive.

    `cache_mb` limits the memory for turns that were served or read lately. After `forget_after_s`
    without a sign of life, a disk is no longer asked for turns, which have expired by then.
    """

    machine_losses: Count = 1
    domain_losses: Count = 0
    region_losses: Count = 0
    cache_mb: Megabytes = 8
    forget_after_s: Seconds = 900.0

    def rule(self) -> CopyRule:
        """Return on how many disks a turn must lie."""
        return CopyRule.for_losses(
            machines=self.machine_losses, domains=self.domain_losses, regions=self.region_losses
        )


class AdmissionSection(msgspec.Struct, frozen=True, kw_only=True):
    """With `by_program`, programs and accounts decide what a pool takes while it is short of room.

    See `lagoonfold.placement.ProgramAdmission`. Without it, each request is ordered by itself.
    """

    by_program: bool = False


class HedgingSection(msgspec.Struct, frozen=True, kw_only=True):
    """Second attempts of requests whose first one is late; see `lagoonfold.forwarding.HedgePolicy`.

    `share` is that of the requests that may be repeated; 0 switches them off.
    """

    share: Annotated[float, Meta(ge=0, le=0.1, description="a share from 0 to 0.1")] = 0.0


class MemorySection(msgspec.Struct, frozen=True, kw_only=True):
    """The limits of the machine, and how much of it is for callers; 0 stands for not known.

    `caller_share` of the memory is for what is held for callers: bodies that are being read or
    forwarded, and answers that callers do not read.
    """

    machine_mb: Annotated[int, Meta(ge=0, le=1_000_000, description="megabytes from 0")] = 0
    caller_share: Annotated[float, Meta(gt=0, le=1, description="a share up to 1")] = 0.25
    max_descriptors: Annotated[int, Meta(ge=0, le=10_000_000, description="a count from 0")] = 0


class LogSection(msgspec.Struct, frozen=True, kw_only=True):
    """The lowest level that is logged."""

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$", description="a level")] = (
        "info"
    )


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one gateway instance."""

    instance: InstanceSection
    store: StoreSection
    times: TimesSection = TimesSection()
    quotas: QuotasSection = QuotasSection()
    histories: HistoriesSection = HistoriesSection()
    admission: AdmissionSection = AdmissionSection()
    hedging: HedgingSection = HedgingSection()
    memory: MemorySection = MemorySection()
    log: LogSection = LogSection()


def parse_settings(text: str) -> Result[GatewaySettings, tuple[str, ...]]:
    """Check the text of a settings file; an error holds every fault that was found.

    See `_ini` for what counts as a fault.
    """
    return parse_ini(text, GatewaySettings, process="gateway")
