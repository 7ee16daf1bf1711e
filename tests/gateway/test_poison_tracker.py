"""Which requests are refused after replicas have crashed under them."""

from lagoonfold.forwarding import Replica
from lagoonfold.resilience import PoisonNotice
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

    def tell(report: PoisonReport) -> None:
        peer.add_peer_notices(report.notices)

    own.on_notice = tell
    return own, peer


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
    peer.add_peer_notices(notices)
    assert peer.is_poisonous("digest")


load_tests = load_functions(globals())
