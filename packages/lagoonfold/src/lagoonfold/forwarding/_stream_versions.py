"""Remembers at which software version of a service a stream began.

What replicas of two versions write does not fit together, so a stream goes on only at the version
that began it. While a service has replicas of several versions, instances remember the version of
each stream that begins. While it has one version there is nothing to remember: a stream that nobody
remembers began before the other versions came. Versions are opaque texts without an order.

An instance that has started again has not seen which versions there were before. For a while it
remembers streams as if there were several, and others may tell it that there was only one.

Answers the load of callers that take streams up at any instance while a release is under way and
instances are lost. Everything is decided from arguments, without I/O.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

STREAM_AGE_S = 10.0  # callers take a stream up within their deadline, some seconds after its start
UNREMEMBERED_AGE_S = 3.0  # of streams that began before a release; most last less than a second
MAX_STREAMS = 65_536  # of `STREAM_AGE_S`, at one instance


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version of the replica that began a stream."""

    service: str
    version: str


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
        self._versions = versions

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
        """Return the version of a stream that no instance remembers, None if any may go on with it.

        An error says that it is not known.
        """
        if not self.has_several(now_s=now_s):
            return Ok(None)
        if self._only_before is not None and now_s - self._several_since_s < UNREMEMBERED_AGE_S:
            return Ok(self._only_before)
        if now_s - self._known_since_s < STREAM_AGE_S:
            return Err("the stream may have begun before this instance started")
        return Err(f"the stream may have begun at any of {len(self._versions)} software versions")


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
