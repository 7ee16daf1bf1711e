"""Which requests are refused after replicas have crashed under them."""

from lagoonfold.forwarding import Replica
from lagoonfold.resilience import PoisonNotice
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import PoisonReport
from lagoonfold_gateway._poison_tracker import PoisonTracker
from tests._suite import load_functions


def _replica(replica_id: str, started: int) -> Replica:
    return Replica(
        replica_id=replica_id,
        service="models",
        address="10.0.0.1:1",
        failure_domain="zone-a",
        slots=4,
        started=started,
    )


def _trackers() -> tuple[PoisonTracker, PoisonTracker]:
    """Return two trackers, the first of which tells the second what it records."""
    own, peer = PoisonTracker(), PoisonTracker()

    own.on_notice = peer.add_peer_report
    return own, peer


def _tell_cleared(teller: PoisonTracker, told: PoisonTracker, digest: str) -> bool:
    """Let one tracker tell another that a request was cleared; return whether it has to."""
    report = teller.report_cleared(digest)
    if report is not None:
        told.add_peer_report(report)
    return report is not None


def test_one_crash_counts_once_however_many_like_requests_were_in_progress() -> None:
    """Two lookups alike at a replica that crashed once were refused for ten minutes (DENIED)."""
    own, peer = _trackers()
    for request_id in ("a1", "a2", "a3"):
        own.record_crash("digest", _replica("r1", 7), request_id)
        peer.record_crash("digest", _replica("r1", 7), request_id + "x")
    assert not own.is_poisonous("digest") and not peer.is_poisonous("digest")


def test_request_that_crashes_a_replica_after_each_start_is_refused() -> None:
    """It may be the same replica, started again."""
    own, peer = _trackers()
    own.record_crash("digest", _replica("r1", 7), "a1")
    own.record_crash("digest", _replica("r1", 8), "a2")
    assert own.is_poisonous("digest") and peer.is_poisonous("digest")
    own.record_crash("other", _replica("r1", 0), "a3")
    own.record_crash("other", _replica("r1", 0), "a4")
    assert own.is_poisonous("other")


def test_crash_that_an_earlier_release_tells_counts_by_its_request() -> None:
    """Its notices name the request; two of them are two incidents, as before."""
    _, peer = _trackers()
    notices = tuple(
        PoisonNotice(digest="digest", upstream_id="r1", incident_id=each) for each in ("a1", "a2")
    )
    peer.add_peer_report(PoisonReport(notices=notices))
    assert peer.is_poisonous("digest")


def test_request_that_runs_to_its_end_after_two_crashes_is_refused_nowhere() -> None:
    """Instances that did not have it answered never learned it (DENIED, review/10)."""
    own, peer = _trackers()
    for replica_id in ("r1", "r2"):
        own.record_crash("digest", _replica(replica_id, 7), "a1")
    assert own.is_poisonous("digest") and peer.is_poisonous("digest")
    cleared: list[str] = []
    own.on_cleared = cleared.append
    own.record_completed("digest")
    own.record_completed("digest")
    assert cleared == ["digest"] and _tell_cleared(own, peer, "digest")
    assert not own.is_poisonous("digest") and not peer.is_poisonous("digest")
    own.record_completed("digest")
    assert cleared == ["digest"] and not _tell_cleared(own, peer, "digest")


def test_request_that_ran_to_its_end_before_its_crash_was_found_out_is_not_refused() -> None:
    """A replica that lost its power takes seconds to be found down; then nothing could clear it."""
    own, peer = _trackers()
    lost_s = now_s() - 4.0
    own.record_completed("digest")
    for replica_id in ("r1", "r2", "r3"):
        own.record_crash("digest", _replica(replica_id, 7), "a1", lost_s=lost_s)
    assert not own.is_poisonous("digest") and not peer.is_poisonous("digest")
    assert own.report_cleared("digest") is None, "the crash tells it"


def test_run_to_the_end_is_told_by_few_instances() -> None:
    """All instances have a popular request answered at the same moment."""
    own, peer = _trackers()
    own.record_crash("digest", _replica("r1", 7), "a1")
    assert own.has_blamed("digest") and not peer.has_blamed("digest")
    own.record_completed("digest")
    peer.record_completed("digest")
    assert _tell_cleared(own, peer, "digest")
    peer.record_completed("digest")
    assert peer.report_cleared("digest") is None


def test_popular_request_is_not_refused_as_two_replicas_crash_together() -> None:
    """It was, until the first one in progress elsewhere had run to its end (DENIED, review/10)."""
    own, peer = _trackers()
    own.record_completed("digest")
    for replica_id in ("r1", "r2"):
        own.record_crash("digest", _replica(replica_id, 7), "a1")
    assert not own.is_poisonous("digest") and not peer.is_poisonous("digest")


def test_request_that_crashes_each_replica_is_refused_though_it_once_ran_to_its_end() -> None:
    """Runs after its crashes clear a request, one before them lets it crash a third replica."""
    own, peer = _trackers()
    own.record_completed("digest")
    for replica_id in ("r1", "r2", "r3"):
        own.record_crash("digest", _replica(replica_id, 7), "a1")
    assert own.is_poisonous("digest") and peer.is_poisonous("digest")
    assert own.report_cleared("digest") is None and peer.report_cleared("digest") is None


load_tests = load_functions(globals())
