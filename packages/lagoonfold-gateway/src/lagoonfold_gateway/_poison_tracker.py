"""Detects poison requests, whose attempts crash the replicas that run them.

A lost answer counts as a crash if its replica then is down. A request with
`MAX_CRASHES` crashes that has not run to its end since the first of them is refused at every
instance. `on_notice` is called with what the other instances must be told.
"""

from collections.abc import Callable

import xxhash

from lagoonfold.forwarding import Replica
from lagoonfold.resilience import PoisonNotice, PoisonRegistry
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import PoisonReport
from lagoonfold_gateway._parsed_request import ParsedRequest
from lagoonfold_io.observe import EventLog

MAX_CRASHES = 2  # a third attempt may be in flight elsewhere before the notice arrives
INCIDENT_TTL_S = 600.0  # a caller that repeats such a request does so within minutes
CLEANUP_INTERVAL_S = 10.0  # between removals of expired digests

_log = EventLog("crashes")


def request_digest(parsed: ParsedRequest, account: str) -> str:
    """Return the digest of account, target and body, by which a repeated request is recognised."""
    digest = xxhash.xxh3_128(account.encode())
    digest.update(parsed.request.target.encode("latin-1"))
    digest.update(parsed.request.body)
    return digest.hexdigest()


class PoisonTracker:
    """Holds the crashes that this instance and its peers have recorded, by request digest."""

    def __init__(self) -> None:
        self._registry = PoisonRegistry(
            incident_ttl_s=INCIDENT_TTL_S, max_incidents=MAX_CRASHES, cleared_by_completion=True
        )
        self.on_notice: Callable[[PoisonReport], None] = lambda report: None
        self._cleaned_up_s = now_s()

    def is_poisonous(self, digest: str) -> bool:
        """Return whether the request must not reach another replica."""
        return self._registry.is_poisonous(digest, now_s=now_s())

    def record_completed(self, digest: str, replica: Replica) -> None:
        """Record that a replica ran the request to its end, if a crash of it is recorded."""
        if not self._registry.has_record(digest):
            return
        self._registry.record_started(digest, replica.replica_id)
        self._registry.record_ended(digest, replica.replica_id, now_s=now_s(), is_finished=True)

    def record_crash(self, digest: str, replica: Replica, request_id: str) -> None:
        """Record that a replica is down after it lost the answer to a request.

        All requests that were in progress there have one incident. A replica whose entry does not
        tell its starts apart has one for each request.
        """
        incident_id = f"{replica.replica_id}/{replica.started}" if replica.started else request_id
        notice = PoisonNotice(
            digest=digest, upstream_id=replica.replica_id, incident_id=incident_id
        )
        self._registry.add_notice(notice, now_s=now_s())
        self.on_notice(PoisonReport(notices=(notice,)))
        self._drop_expired()
        _log.warning(
            "request.blamed", request_id=request_id, digest=digest, replica=replica.replica_id
        )

    def add_peer_notices(self, notices: tuple[PoisonNotice, ...]) -> None:
        """Add a peer's notices to those of this instance."""
        self._drop_expired()
        for notice in notices:
            if self._registry.add_notice(notice, now_s=now_s()):
                _log.info(
                    "request.blamed_by_peer", digest=notice.digest, replica=notice.upstream_id
                )

    def _drop_expired(self) -> None:
        now = now_s()
        if now - self._cleaned_up_s > CLEANUP_INTERVAL_S:
            self._registry.drop_expired(now_s=now)
            self._cleaned_up_s = now
