"""Detection of poison requests: requests whose attempts crash the upstreams that run them.

A request is identified by the digest of its content, so a repeat under another id counts as the
same request. The crash of an upstream is an incident of every digest that was running there, and
a digest with an incident is a suspect. After `MAX_INCIDENTS_PER_DIGEST` incidents a digest is
refused everywhere. A connection that breaks while its upstream still answers is not an incident.
However, an upstream may restart so soon after a crash that it seems to have stayed up, so a
digest is also refused after `MAX_DISCONNECTS_PER_DIGEST` disconnects since it last ran to its
end. Two rules keep a poison request within these bounds and other requests from being refused:

- until a digest has once run to its end, its copies run on at most as many upstreams as it may
  still crash;
- a suspect is sent to no upstream that runs another suspect, so that the next incident shows
  which of them is the cause.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lagoonfold._ids import UpstreamId

MAX_INCIDENTS_PER_DIGEST = 2
MAX_DISCONNECTS_PER_DIGEST = 8
_INCIDENT_TTL_S = 3600.0


class PoisonNotice(msgspec.Struct, frozen=True, kw_only=True):
    """The failure of an upstream while it ran a request of this digest.

    `incident_id` identifies the failure, so that a repeated notice counts once. `is_confirmed` is
    True if the upstream answered no probe afterwards, and False if it answered and only the
    connection is known to have broken.
    """

    digest: str
    upstream_id: str
    incident_id: str
    is_confirmed: bool = True


@dataclass(slots=True)
class _DigestRecord:
    seen_s_by_incident: dict[str, float] = field(default_factory=dict)
    disconnect_seen_s_by_incident: dict[str, float] = field(default_factory=dict)
    running_by_upstream: Counter[UpstreamId] = field(default_factory=Counter)
    finished_s: float | None = None

    def count_incidents(self, oldest_s: float, *, cleared_by_completion: bool = False) -> int:
        since_s = oldest_s
        if cleared_by_completion and self.finished_s is not None:
            since_s = max(oldest_s, self.finished_s)
        return sum(seen_s > since_s for seen_s in self.seen_s_by_incident.values())

    def count_disconnects(self, oldest_s: float) -> int:
        since_s = oldest_s if self.finished_s is None else max(oldest_s, self.finished_s)
        return sum(seen_s > since_s for seen_s in self.disconnect_seen_s_by_incident.values())

    def is_poisonous(
        self, oldest_s: float, *, max_incidents: int, cleared_by_completion: bool
    ) -> bool:
        incidents = self.count_incidents(oldest_s, cleared_by_completion=cleared_by_completion)
        return (
            incidents >= max_incidents
            or self.count_disconnects(oldest_s) >= MAX_DISCONNECTS_PER_DIGEST
        )


class PoisonRegistry:
    """The failures and running copies of each digest, from this instance and peers' notices.

    With `cleared_by_completion`, the incidents of a digest before its last run to the end no
    longer count towards refusing it. This suits requests that many callers send alike, on
    upstreams that also fail for other reasons.
    """

    def __init__(
        self,
        *,
        incident_ttl_s: float = _INCIDENT_TTL_S,
        max_incidents: int = MAX_INCIDENTS_PER_DIGEST,
        cleared_by_completion: bool = False,
    ) -> None:
        self._incident_ttl_s = incident_ttl_s
        self._max_incidents = max_incidents
        self._cleared_by_completion = cleared_by_completion
        self._records_by_digest: dict[str, _DigestRecord] = {}
        self._notices_by_key: dict[tuple[str, str], PoisonNotice] = {}

    def add_notice(self, notice: PoisonNotice, *, now_s: float) -> bool:
        """Apply a notice of this instance or a peer; return whether it was new.

        A confirmed notice replaces an unconfirmed one of the same incident.
        """
        key = (notice.digest, notice.incident_id)
        known = self._notices_by_key.get(key)
        if known is not None and (known.is_confirmed or not notice.is_confirmed):
            return False
        self._notices_by_key[key] = notice
        record = self._record(notice.digest)
        if notice.is_confirmed:
            record.disconnect_seen_s_by_incident.pop(notice.incident_id, None)
            record.seen_s_by_incident[notice.incident_id] = now_s
        else:
            record.disconnect_seen_s_by_incident[notice.incident_id] = now_s
        return True

    def has_record(self, digest: str) -> bool:
        """Return whether the registry has a record of the digest."""
        return digest in self._records_by_digest

    def is_poisonous(self, digest: str, *, now_s: float, max_incidents: int | None = None) -> bool:
        """Return whether the digest has reached a bound on its failures and must be refused.

        `max_incidents` replaces the registry's bound on incidents for this digest.
        """
        record = self._records_by_digest.get(digest)
        return record is not None and record.is_poisonous(
            now_s - self._incident_ttl_s,
            max_incidents=max_incidents or self._max_incidents,
            cleared_by_completion=self._cleared_by_completion,
        )

    def allowed_upstreams(
        self, digest: str, candidates: Iterable[UpstreamId], *, now_s: float
    ) -> frozenset[UpstreamId]:
        """Return the candidates that a request of this digest may be sent to now.

        The result is empty for a poisonous digest. If it is empty for another digest, the request
        must wait until one of the running copies or another suspect has ended.
        """
        if self.is_poisonous(digest, now_s=now_s):
            return frozenset()
        incidents = self._count_incidents(digest, now_s)
        allowed = frozenset(candidates)
        record = self._records_by_digest.get(digest, _DigestRecord())
        if incidents:
            allowed -= self._upstreams_of_other_suspects(digest, now_s)
        is_proven = record.finished_s is not None and not incidents
        running_upstreams = frozenset(record.running_by_upstream)
        if not is_proven and len(running_upstreams) + incidents >= MAX_INCIDENTS_PER_DIGEST:
            allowed &= running_upstreams
        return allowed

    def record_started(self, digest: str, upstream_id: UpstreamId) -> None:
        """Count a request that is sent to an upstream."""
        self._record(digest).running_by_upstream[upstream_id] += 1

    def record_ended(
        self, digest: str, upstream_id: UpstreamId, *, now_s: float, is_finished: bool
    ) -> None:
        """Count a request's end; `is_finished` if the upstream ran it to its end."""
        record = self._record(digest)
        record.running_by_upstream[upstream_id] -= 1
        if record.running_by_upstream[upstream_id] <= 0:
            del record.running_by_upstream[upstream_id]
        if is_finished:
            self.record_finished(digest, finished_s=now_s)

    def record_finished(self, digest: str, *, finished_s: float) -> None:
        """Record that an upstream, here or at a peer, ran a request of this digest to its end."""
        record = self._record(digest)
        record.finished_s = max(finished_s, record.finished_s or finished_s)

    def last_failure_s(self, digest: str) -> float:
        """Return when the latest failure of the digest was, minus infinity without one."""
        record = self._records_by_digest.get(digest, _DigestRecord())
        times = (record.seen_s_by_incident, record.disconnect_seen_s_by_incident)
        return max((at_s for each in times for at_s in each.values()), default=-math.inf)

    def is_suspect(self, digest: str, *, now_s: float) -> bool:
        """Return whether failures of the digest count that came after its last run to the end."""
        record = self._records_by_digest.get(digest)
        if record is None:
            return False
        oldest_s = now_s - self._incident_ttl_s
        incidents = record.count_incidents(oldest_s, cleared_by_completion=True)
        return incidents + record.count_disconnects(oldest_s) > 0

    def notices(self) -> tuple[PoisonNotice, ...]:
        """Return all notices, for a peer that has just started."""
        return tuple(self._notices_by_key.values())

    def drop_expired(self, *, now_s: float) -> None:
        """Drop the digests that are not running and whose failures and runs have all expired."""
        oldest_s = now_s - self._incident_ttl_s
        for digest, record in tuple(self._records_by_digest.items()):
            is_recent = record.finished_s is not None and record.finished_s > oldest_s
            has_fresh_failures = record.count_incidents(oldest_s) or record.count_disconnects(
                oldest_s
            )
            if not (is_recent or record.running_by_upstream or has_fresh_failures):
                del self._records_by_digest[digest]
        self._notices_by_key = {
            key: notice
            for key, notice in self._notices_by_key.items()
            if notice.digest in self._records_by_digest
        }

    def _record(self, digest: str) -> _DigestRecord:
        return self._records_by_digest.setdefault(digest, _DigestRecord())

    def _count_incidents(self, digest: str, now_s: float) -> int:
        record = self._records_by_digest.get(digest)
        return record.count_incidents(now_s - self._incident_ttl_s) if record else 0

    def _upstreams_of_other_suspects(self, digest: str, now_s: float) -> frozenset[UpstreamId]:
        oldest_s = now_s - self._incident_ttl_s
        return frozenset(
            upstream_id
            for other, record in self._records_by_digest.items()
            if other != digest and record.count_incidents(oldest_s)
            for upstream_id in record.running_by_upstream
        )
