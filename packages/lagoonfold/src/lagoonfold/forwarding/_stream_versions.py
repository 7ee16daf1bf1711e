"""Remembers at which software version of a service a stream began.

What replicas of two versions write does not fit together, so a stream goes on only at the version
that began it. While a service has replicas of several versions, instances remember the version of
each stream that begins. While it has one version there is nothing to remember. That nobody
remembers a stream shows that it began before the other versions came only if those who would
remember it have all been asked. Versions are opaque texts without an order.

An instance that has started again has not seen which versions there were before, and one that was
frozen or cut off may not know of the newest. So others are asked of each stream that is taken up.

Answers the load of callers that take streams up at any instance while a release is under way and
instances are lost. Everything is decided from arguments, without I/O.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from result import Err, Ok, Result

STREAM_AGE_S = 10.0  # callers take a stream up within their deadline, some seconds after its start
UNREMEMBERED_AGE_S = 3.0  # of streams that began before a release; most last less than a second
LOSS_MARGIN_S = 1.0  # by which instances may know of a release at different times
MAX_STREAMS = 65_536  # of `STREAM_AGE_S`, at one instance


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version of the replica that began a stream."""

    service: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamReport:
    """What one instance knows of a stream, and of the software versions of its service.

    `version_before` is the one at which a stream began that nobody remembers, None if the instance
    cannot tell. `is_complete` says whether it has run for a stream's age, so that it remembers what
    it was told; None is from an earlier release, which does not say.
    """

    origin: StreamOrigin | None = None
    versions: frozenset[str] = frozenset()
    version_before: str | None = None
    is_complete: bool | None = None


class VersionHistory:
    """The software versions that one service's replicas have had lately.

    Before `known_since_s`, in seconds, there may have been others.

    history = VersionHistory()
    history.observe({"v1"}, now_s=0.0)
    history.observe({"v1", "v2"}, now_s=60.0)
    history.version_of_forgotten(now_s=61.0)    # Ok("v1")
    history.version_of_forgotten(now_s=64.0)    # Err(...)
    """

    def __init__(self, known_since_s: float = -math.inf) -> None:
        self._known_since_s = known_since_s
        self._versions: frozenset[str] = frozenset()
        self._only_before: str | None = None
        self._several_since_s = -math.inf
        self._several_until_s = -math.inf
        self._gone_s_by_version: dict[str, float] = {}

    def observe(self, versions: Iterable[str], *, now_s: float) -> None:
        """Record the versions of the service's replicas, drained or not, from now on."""
        versions = frozenset(versions)
        if not versions or versions == self._versions:
            return
        if self._versions and not self.has_several(now_s=now_s):
            (self._only_before,) = self._versions
            self._several_since_s = now_s
        elif not self._versions:
            self._several_since_s = now_s
        if len(versions) > 1 or self._versions:
            self._several_until_s = now_s
        self._gone_s_by_version.update(dict.fromkeys(self._versions - versions, now_s))
        self._versions = versions

    def knows(self, version: str) -> bool:
        """Return whether replicas of a version are listed."""
        return version in self._versions

    def report(self, origin: StreamOrigin | None, *, now_s: float) -> StreamReport:
        """Return what this instance knows, with the origin of a stream that it remembers."""
        before = self.version_of_forgotten(now_s=now_s)
        lately = (
            version
            for version, gone_s in self._gone_s_by_version.items()
            if now_s - gone_s < STREAM_AGE_S
        )
        return StreamReport(
            origin=origin,
            versions=self._versions.union(lately),
            version_before=before.ok_value if isinstance(before, Ok) else None,
            is_complete=now_s - self._known_since_s >= STREAM_AGE_S,
        )

    def has_several(self, *, now_s: float) -> bool:
        """Return whether a stream may still be under way that began beside another version."""
        several_until_s = max(self._several_until_s, self._known_since_s)
        return len(self._versions) > 1 or now_s - several_until_s < STREAM_AGE_S

    def only_version(self, *, now_s: float) -> str | None:
        """Return the version at which all streams under way began, None if there are several."""
        if len(self._versions) != 1 or self.has_several(now_s=now_s):
            return None
        (version,) = self._versions
        return version

    def version_of_forgotten(self, *, now_s: float) -> Result[str | None, str]:
        """Return the version of a stream that no instance remembers, as far as this one knows.

        It is None if the service has had no replica; an error says that it is not known.
        """
        if not self.has_several(now_s=now_s):
            return Ok(next(iter(self._versions), None))
        if self._only_before is not None and now_s - self._several_since_s < UNREMEMBERED_AGE_S:
            return Ok(self._only_before)
        if now_s - self._known_since_s < STREAM_AGE_S:
            return Err("the stream may have begun before this instance started")
        return Err(f"the stream may have begun at any of {len(self._versions)} software versions")


def only_version_of(own: StreamReport, reports: Sequence[StreamReport | None]) -> Result[str, str]:
    """Return the one version of a service, as its homes report it; None stands for no answer.

    A stream that none of them remembers began at it. An error says that there are several versions,
    or that the reports do not suffice.
    """
    answered = [report for report in reports if report is not None]
    if reports and not answered:
        return Err("no instance that was told where streams began has answered")
    known = own.versions.union(*(report.versions for report in answered))
    if len(known) > 1:
        return Err(f"the stream may have begun at any of {len(known)} software versions")
    for report in (own, *answered):
        if report.is_complete and report.version_before is not None:
            return Ok(report.version_before)
    return Err("the stream may have begun before the instances that were asked started")


def version_before_release(
    own: StreamReport,
    report_by_id: Mapping[str, StreamReport | None],
    *,
    left: AbstractSet[str],
    lost: AbstractSet[str],
    copies: int,
) -> Result[str, str]:
    """Return the version of a stream that nobody remembers, after all instances were asked.

    Since the release began, the instances `left` have stopped as planned and those in `lost` are
    gone otherwise; one that was lost may have begun the stream and told nobody. While a service has
    several versions, `copies` instances remember each stream. An error says why the version is not
    known.

    own = StreamReport(versions=frozenset({"v1", "v2"}), version_before="v1", is_complete=True)
    version_before_release(own, {"i-2": own}, left=set(), lost=set(), copies=3)      # Ok("v1")
    version_before_release(own, {"i-2": own}, left=set(), lost={"i-3"}, copies=3)    # Err(...)
    """
    if lost or not own.is_complete:
        return Err("an instance that may have remembered the stream was lost")
    if None in report_by_id.values():
        return Err("an instance that may remember the stream does not answer")
    reports = {key: report for key, report in report_by_id.items() if report is not None}
    forgetful = left | {key for key, report in reports.items() if report.is_complete is False}
    if len(forgetful) >= copies:
        return Err(f"{len(forgetful)} instances that may have remembered the stream have stopped")
    opinions = {report.version_before for report in (own, *reports.values()) if report.is_complete}
    version = opinions.pop() if len(opinions) == 1 else None
    if version is None:
        return Err("the stream may have begun at any of several software versions")
    return Ok(version)


class StreamOrigins:
    """The origins of streams that this instance has begun or was told, by the first request's id.

    Callers name the request whose answer brought a stream's first event.
    """

    def __init__(self) -> None:
        self._origin_by_id: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()

    def remember(self, stream_id: str, origin: StreamOrigin, *, now_s: float) -> None:
        """Remember where a stream began, for `STREAM_AGE_S`."""
        self._origin_by_id[stream_id] = (origin, now_s + STREAM_AGE_S)
        self._origin_by_id.move_to_end(stream_id)
        while len(self._origin_by_id) > MAX_STREAMS or self._is_first_over(now_s):
            self._origin_by_id.popitem(last=False)

    def recall(self, stream_id: str, *, now_s: float) -> StreamOrigin | None:
        """Return where a stream began, None if that is not remembered."""
        origin, until_s = self._origin_by_id.get(stream_id, (None, -math.inf))
        return origin if now_s < until_s else None

    def _is_first_over(self, now_s: float) -> bool:
        if not self._origin_by_id:
            return False
        _, until_s = next(iter(self._origin_by_id.values()))
        return until_s <= now_s
