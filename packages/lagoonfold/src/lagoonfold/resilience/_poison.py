"""Requests that take down the upstreams that run them.

A request is known by the digest of its content, so a repeat under another id counts as the same.
An upstream that dies blames each request it was running: the request becomes a suspect. A digest
blamed for `MAX_INCIDENTS_PER_DIGEST` incidents is refused everywhere. A connection that breaks
while its upstream still answers is no incident, but an upstream may be up again so soon that it
seems never to have gone: `MAX_DISCONNECTS_PER_DIGEST` breaks since the digest last ran to its end
refuse it too. Two rules keep the bound and spare the innocent:

- until a digest has once run to its end, its copies are exposed to at most as many upstreams as
  it may still take down;
- a suspect shares no upstream with another suspect, so the next incident tells them apart.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lagoonfold._ids import UpstreamId

MAX_INCIDENTS_PER_DIGEST = 2
MAX_DISCONNECTS_PER_DIGEST = 8
_MEMORY_S = 3600.0


class PoisonNotice(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream that went down while it ran a request of this digest.

    `incident_id` names the upstream's failure, so that a repeated notice counts once.
    `is_confirmed` says that the upstream answered no probe afterwards; otherwise it did, and only
    the connection is known to have broken.
    """

    digest: str
    upstream_id: str
    incident_id: str
    is_confirmed: bool = True


@dataclass(slots=True)
class _DigestRecord:
    seen_s_by_incident: dict[str, float] = field(default_factory=dict)
    break_seen_s_by_incident: dict[str, float] = field(default_factory=dict)
    running_by_upstream: Counter[UpstreamId] = field(default_factory=Counter)
    finished_s: float | None = None

    def fresh_incidents(self, oldest_s: float, *, cleared_by_completion: bool = False) -> int:
        since_s = oldest_s
        if cleared_by_completion and self.finished_s is not None:
            since_s = max(oldest_s, self.finished_s)
        return sum(seen_s > since_s for seen_s in self.seen_s_by_incident.values())

    def fresh_breaks(self, oldest_s: float) -> int:
        since_s = oldest_s if self.finished_s is None else max(oldest_s, self.finished_s)
        return sum(seen_s > since_s for seen_s in self.break_seen_s_by_incident.values())

    def is_poisonous(
        self, oldest_s: float, *, max_incidents: int, cleared_by_completion: bool
    ) -> bool:
        incidents = self.fresh_incidents(oldest_s, cleared_by_completion=cleared_by_completion)
        return (
            incidents >= max_incidents or self.fresh_breaks(oldest_s) >= MAX_DISCONNECTS_PER_DIGEST
        )


class PoisonRegistry:
    """What is known here of each digest, merged from own failures and peers' notices.

    `cleared_by_completion` forgets the incidents of a digest that has run to its end since, as
    where the same request comes from many callers and upstreams also fail by themselves.
    """

    def __init__(
        self,
        *,
        incident_ttl_s: float = _MEMORY_S,
        max_incidents: int = MAX_INCIDENTS_PER_DIGEST,
        cleared_by_completion: bool = False,
    ) -> None:
        self._incident_ttl_s = incident_ttl_s
        self._max_incidents = max_incidents
        self._cleared_by_completion = cleared_by_completion
        self._records_by_digest: dict[str, _DigestRecord] = {}
        self._notices_by_key: dict[tuple[str, str], PoisonNotice] = {}

    def add_notice(self, notice: PoisonNotice, *, now_s: float) -> bool:
        """Take in a notice, own or a peer's; return whether it is news."""
        key = (notice.digest, notice.incident_id)
        known = self._notices_by_key.get(key)
        if known is not None and (known.is_confirmed or not notice.is_confirmed):
            return False
        self._notices_by_key[key] = notice
        record = self._record(notice.digest)
        if notice.is_confirmed:
            record.break_seen_s_by_incident.pop(notice.incident_id, None)
            record.seen_s_by_incident[notice.incident_id] = now_s
        else:
            record.break_seen_s_by_incident[notice.incident_id] = now_s
        return True

    def has_record(self, digest: str) -> bool:
        """Tell whether anything is noted of the digest."""
        return digest in self._records_by_digest

    def is_poisonous(self, digest: str, *, now_s: float) -> bool:
        """Tell whether the digest has used up its incidents and must be refused."""
        record = self._records_by_digest.get(digest)
        return record is not None and record.is_poisonous(
            now_s - self._incident_ttl_s,
            max_incidents=self._max_incidents,
            cleared_by_completion=self._cleared_by_completion,
        )

    def allowed_upstreams(
        self, digest: str, candidates: Iterable[UpstreamId], *, now_s: float
    ) -> frozenset[UpstreamId]:
        """Return those of the candidates that a request of this digest may be sent to now.

        None for a poisonous digest. An empty answer for another digest means: wait until one of
        the running copies or another suspect has ended.
        """
        if self.is_poisonous(digest, now_s=now_s):
            return frozenset()
        incidents = self._incidents(digest, now_s)
        allowed = frozenset(candidates)
        record = self._records_by_digest.get(digest, _DigestRecord())
        if incidents:
            allowed -= self._upstreams_of_other_suspects(digest, now_s)
        is_proven = record.finished_s is not None and not incidents
        exposed = frozenset(record.running_by_upstream)
        if not is_proven and len(exposed) + incidents >= MAX_INCIDENTS_PER_DIGEST:
            allowed &= exposed
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
            record.finished_s = now_s

    def notices(self) -> tuple[PoisonNotice, ...]:
        """Return all that is known, for a peer that has just started."""
        return tuple(self._notices_by_key.values())

    def drop_expired(self, *, now_s: float) -> None:
        """Drop what is older than the memory and not running."""
        oldest_s = now_s - self._incident_ttl_s
        for digest, record in tuple(self._records_by_digest.items()):
            is_recent = record.finished_s is not None and record.finished_s > oldest_s
            is_blamed = record.fresh_incidents(oldest_s) or record.fresh_breaks(oldest_s)
            if not (is_recent or record.running_by_upstream or is_blamed):
                del self._records_by_digest[digest]
        self._notices_by_key = {
            key: notice
            for key, notice in self._notices_by_key.items()
            if notice.digest in self._records_by_digest
        }

    def _record(self, digest: str) -> _DigestRecord:
        return self._records_by_digest.setdefault(digest, _DigestRecord())

    def _incidents(self, digest: str, now_s: float) -> int:
        record = self._records_by_digest.get(digest)
        return record.fresh_incidents(now_s - self._incident_ttl_s) if record else 0

    def _upstreams_of_other_suspects(self, digest: str, now_s: float) -> frozenset[UpstreamId]:
        oldest_s = now_s - self._incident_ttl_s
        return frozenset(
            upstream_id
            for other, record in self._records_by_digest.items()
            if other != digest and record.fresh_incidents(oldest_s)
            for upstream_id in record.running_by_upstream
        )
