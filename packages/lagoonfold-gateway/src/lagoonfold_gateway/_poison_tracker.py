"""Detects poison requests, whose attempts crash the replicas that run them.

A lost answer counts as a crash if its replica then is down. A request with `MAX_CRASHES` crashes
that has not run to its end since the first of them is refused at every instance; one that ran to
its end before them, as a popular request does, with one crash more. A crash counts from when the
answer was lost, since it takes up to seconds to find out that the replica is down, and the request
may run to its end elsewhere meanwhile. What the other instances must be told are the crashes, and
that a request that was blamed has run to its end: those that refuse it cannot find that out.
"""

from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from lagoonfold.forwarding import Replica
from lagoonfold.resilience import PoisonNotice, PoisonRegistry
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import CompletedRun, PoisonReport
from lagoonfold_gateway._parsed_request import ParsedRequest
from lagoonfold_io.observe import EventLog

MAX_CRASHES = 2  # a third attempt may be in flight elsewhere before the notice arrives
MAX_CRASHES_AFTER_RUN = 3  # of a request that ran to its end before; two may have one other cause
INCIDENT_TTL_S = 600.0  # a caller that repeats such a request does so within minutes
MAX_RUNS = 4_096  # requests whose last run to the end is remembered; a gateway has 14 a second
CLEANUP_INTERVAL_S = 10.0  # between removals of expired digests

_log = EventLog("crashes")


def request_digest(parsed: ParsedRequest, account: str) -> str:
    """Return the digest of account, target and body, by which a repeated request is recognised."""
    digest = xxhash.xxh3_128(account.encode())
    digest.update(parsed.request.target.encode("latin-1"))
    digest.update(parsed.request.body)
    return digest.hexdigest()


@dataclass(slots=True)
class _Run:
    """The last run of a request to its end, and whether all instances have been told of it."""

    completed_s: float
    is_told: bool = False


class PoisonTracker:
    """Holds the crashes that this instance and its peers have recorded, by request digest.

    `on_notice` is called with a report to send to all peers, `on_cleared` with a digest for which
    `report_cleared` returns one.
    """

    def __init__(self) -> None:
        self._registry = PoisonRegistry(
            incident_ttl_s=INCIDENT_TTL_S, max_incidents=MAX_CRASHES, cleared_by_completion=True
        )
        self.on_notice: Callable[[PoisonReport], None] = lambda report: None
        self.on_cleared: Callable[[str], None] = lambda digest: None
        self._run_by_digest: dict[str, _Run] = {}
        self._untold: set[str] = set()
        self._blamed_s_by_digest: dict[str, float] = {}
        self._cleaned_up_s = now_s()

    def is_poisonous(self, digest: str) -> bool:
        """Return whether the request must not reach another replica."""
        now, run = now_s(), self._run_by_digest.get(digest)
        has_run = run is not None and run.completed_s > now - INCIDENT_TTL_S
        return self._registry.is_poisonous(
            digest, now_s=now, max_incidents=MAX_CRASHES_AFTER_RUN if has_run else MAX_CRASHES
        )

    def has_blamed(self, digest: str) -> bool:
        """Return whether this instance has recorded a crash of the request itself."""
        return digest in self._blamed_s_by_digest

    def record_completed(self, digest: str) -> None:
        """Record that a replica ran the request to its end."""
        self._remember(digest, _Run(now_s()))
        self._clear(digest)

    def record_crash(
        self, digest: str, replica: Replica, request_id: str, *, lost_s: float | None = None
    ) -> None:
        """Record that a replica is down after it lost the answer to a request at `lost_s`.

        All requests that were in progress there have one incident. A replica whose entry does not
        tell its starts apart has one for each request.
        """
        lost_s = now_s() if lost_s is None else lost_s
        incident_id = f"{replica.replica_id}/{replica.started}" if replica.started else request_id
        notice = PoisonNotice(
            digest=digest, upstream_id=replica.replica_id, incident_id=incident_id
        )
        self._registry.add_notice(notice, now_s=lost_s)
        self._blamed_s_by_digest[digest] = now_s()
        run = self._run_by_digest.get(digest)
        completed = () if run is None else (CompletedRun(digest, now_s() - run.completed_s),)
        if run is not None and run.completed_s >= lost_s:
            run.is_told = True
        self.on_notice(
            PoisonReport(notices=(notice,), ages_s=(now_s() - lost_s,), completed=completed)
        )
        self._drop_expired()
        _log.warning(
            "request.blamed", request_id=request_id, digest=digest, replica=replica.replica_id
        )
        self._clear(digest)

    def add_peer_report(self, report: PoisonReport) -> None:
        """Add what a peer has recorded to what this instance has."""
        self._drop_expired()
        time_s = now_s()
        for run in report.completed:
            self._remember(run.digest, _Run(time_s - run.age_s, is_told=True))
            self._clear(run.digest)
            if time_s - run.age_s >= self._registry.last_failure_s(run.digest):
                self._untold.discard(run.digest)
        ages_s = report.ages_s or (0.0,) * len(report.notices)
        for notice, age_s in zip(report.notices, ages_s, strict=True):
            if self._registry.add_notice(notice, now_s=time_s - age_s):
                _log.info(
                    "request.blamed_by_peer", digest=notice.digest, replica=notice.upstream_id
                )
                self._clear(notice.digest)

    def report_cleared(self, digest: str) -> PoisonReport | None:
        """Return the report that a request has run to its end; None if a peer has told it."""
        run = self._run_by_digest.get(digest)
        if run is None or digest not in self._untold:
            return None
        self._untold.discard(digest)
        told = CompletedRun(digest=digest, age_s=now_s() - run.completed_s)
        return PoisonReport(notices=(), completed=(told,))

    def _remember(self, digest: str, run: _Run) -> None:
        """Remember the latest run of a request."""
        known = self._run_by_digest.pop(digest, None)
        if known is not None and known.completed_s > run.completed_s:
            run = known
        self._run_by_digest[digest] = run
        if len(self._run_by_digest) > MAX_RUNS:
            del self._run_by_digest[next(iter(self._run_by_digest))]

    def _clear(self, digest: str) -> None:
        """Drop what blames a request from before it ran to its end, and have that told once."""
        run = self._run_by_digest.get(digest)
        if run is None or not self._registry.is_suspect(digest, now_s=now_s()):
            return
        self._registry.record_finished(digest, finished_s=run.completed_s)
        if not self._registry.is_suspect(digest, now_s=now_s()):
            _log.info("request.cleared", digest=digest, age_s=round(now_s() - run.completed_s, 3))
            if not run.is_told and digest not in self._untold:
                self._untold.add(digest)
                self.on_cleared(digest)

    def _drop_expired(self) -> None:
        now = now_s()
        if now - self._cleaned_up_s > CLEANUP_INTERVAL_S:
            self._registry.drop_expired(now_s=now)
            self._blamed_s_by_digest = {
                digest: blamed_s
                for digest, blamed_s in self._blamed_s_by_digest.items()
                if blamed_s > now - INCIDENT_TTL_S
            }
            self._cleaned_up_s = now
