"""Requests that crash the replicas that run them.

A lost answer blames the request if its replica then accepts no connection. A request that is blamed
for `MAX_CRASHES` crashes, and has not run to its end since the first of them, is refused at every
instance; the notices travel with the heartbeats.
"""

import xxhash

from lagoonfold.forwarding import Replica
from lagoonfold.resilience import PoisonNotice, PoisonRegistry
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._parsed_request import ParsedRequest
from lagoonfold_io import HttpClient
from lagoonfold_io.observe import EventLog

MAX_CRASHES = 2  # a third one may be under way elsewhere before the notice arrives
INCIDENT_TTL_S = 600.0  # a caller that sends such a request again does so within minutes
SEND_NOTICE_S = 2.0  # notices go out for some heartbeats, so that a lost one does no harm
CLEANUP_INTERVAL_S = 10.0  # how often old digests are dropped

_log = EventLog("crashes")


def request_digest(parsed: ParsedRequest, account: str) -> str:
    """Return the digest by which a repeat of a request is known: caller, target and body."""
    digest = xxhash.xxh3_128(account.encode())
    digest.update(parsed.request.target.encode("latin-1"))
    digest.update(parsed.request.body)
    return digest.hexdigest()


class PoisonTracker:
    """What this instance and its peers know of such requests."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._registry = PoisonRegistry(
            incident_ttl_s=INCIDENT_TTL_S, max_incidents=MAX_CRASHES, cleared_by_completion=True
        )
        self._send_until_s: dict[PoisonNotice, float] = {}
        self._cleaned_up_s = now_s()

    def is_poisonous(self, digest: str) -> bool:
        """Tell whether the request must not reach another replica."""
        return self._registry.is_poisonous(digest, now_s=now_s())

    def record_completed(self, digest: str, replica: Replica) -> None:
        """Take in that a replica ran the request to its end, which matters if it was blamed."""
        if not self._registry.has_record(digest):
            return
        self._registry.record_started(digest, replica.replica_id)
        self._registry.record_ended(digest, replica.replica_id, now_s=now_s(), is_finished=True)

    async def blame_if_unreachable(self, digest: str, replica: Replica, request_id: str) -> None:
        """Take in that an answer was lost; ask whether the replica is gone."""
        if await self._client.can_connect(replica.address):
            return
        notice = PoisonNotice(digest=digest, upstream_id=replica.replica_id, incident_id=request_id)
        self._registry.add_notice(notice, now_s=now_s())
        self._send_until_s[notice] = now_s() + SEND_NOTICE_S
        _log.warning(
            "request.blamed", request_id=request_id, digest=digest, replica=replica.replica_id
        )

    def add_peer_notices(self, notices: tuple[PoisonNotice, ...]) -> None:
        """Take in a peer's notices."""
        for notice in notices:
            if self._registry.add_notice(notice, now_s=now_s()):
                _log.info(
                    "request.blamed_by_peer", digest=notice.digest, replica=notice.upstream_id
                )

    def collect_notices(self) -> tuple[PoisonNotice, ...]:
        """Return the notices that go with the next heartbeat, and drop what is old."""
        now = now_s()
        self._send_until_s = {key: at_s for key, at_s in self._send_until_s.items() if at_s > now}
        if now - self._cleaned_up_s > CLEANUP_INTERVAL_S:
            self._registry.drop_expired(now_s=now)
            self._cleaned_up_s = now
        return tuple(self._send_until_s)
