"""What is known of the version of a stream that is taken up."""

from result import Ok, Result

from lagoonfold.forwarding import (
    StreamOrigin,
    StreamOrigins,
    StreamReport,
    VersionHistory,
    only_version_of,
    version_before_release,
)
from lagoonfold.forwarding._stream_versions import MAX_STREAMS, STREAM_AGE_S, UNREMEMBERED_AGE_S
from tests._suite import load_functions

V1 = StreamOrigin("models", "v1")


def _history(*steps: tuple[float, str]) -> VersionHistory:
    """Return the history of versions, each step with its time and the versions' names."""
    history = VersionHistory()
    for at_s, versions in steps:
        history.observe(versions.split(), now_s=at_s)
    return history


def test_one_version_needs_no_memory() -> None:
    """Any replica may go on with a stream; replicas without a version have one together."""
    history = _history((0.0, "v1"), (5.0, "v1"))
    assert not history.has_several(now_s=5.0)
    assert history.version_of_forgotten(now_s=5.0) == Ok("v1")
    assert VersionHistory().version_of_forgotten(now_s=5.0) == Ok(None)
    unnamed = VersionHistory()
    unnamed.observe([""], now_s=0.0)
    assert not unnamed.has_several(now_s=1.0)
    unnamed.observe(["", "v1"], now_s=2.0)
    assert unnamed.has_several(now_s=2.0)
    assert unnamed.version_of_forgotten(now_s=2.1) == Ok("")


def test_forgotten_stream_began_before_the_release_for_a_while() -> None:
    """Later, each stream would be remembered, so its version is not known."""
    history = _history((0.0, "v1"), (60.0, "v1 v2"), (61.0, "v1 v2 v3"))
    assert history.version_of_forgotten(now_s=62.0) == Ok("v1")
    assert history.version_of_forgotten(now_s=60.0 + UNREMEMBERED_AGE_S).is_err()


def test_versions_are_remembered_until_streams_of_the_old_one_are_over() -> None:
    """After the last replica of a version has gone, a stream of it may still be taken up."""
    history = _history((0.0, "v1"), (60.0, "v1 v2"), (75.0, "v2"))
    assert history.has_several(now_s=76.0)
    assert history.version_of_forgotten(now_s=76.0).is_err()
    assert history.version_of_forgotten(now_s=75.0 + STREAM_AGE_S) == Ok("v2")


def test_replicas_that_are_all_replaced_between_two_views_have_two_versions() -> None:
    """A view in which the service has no replica says nothing."""
    history = _history((0.0, "v1"), (60.0, ""), (61.0, "v2"))
    assert history.has_several(now_s=61.0)
    assert history.version_of_forgotten(now_s=62.0) == Ok("v1")


def test_instance_that_starts_beside_several_versions_knows_of_no_stream() -> None:
    """It cannot tell before which release a stream began."""
    history = _history((0.0, "v1 v2"))
    assert history.has_several(now_s=0.0) and history.version_of_forgotten(now_s=0.1).is_err()


def test_instance_that_has_started_again_knows_of_no_stream_from_before() -> None:
    """Others may have served before; after a stream's age none of theirs is under way."""
    history = VersionHistory(known_since_s=10.0)
    history.observe(["v1"], now_s=10.2)
    assert history.has_several(now_s=11.0) and history.only_version(now_s=11.0) is None
    assert history.version_of_forgotten(now_s=11.0).is_err()
    history.observe(["v1", "v2"], now_s=12.0)
    assert history.version_of_forgotten(now_s=12.1).is_err()
    history.observe(["v2"], now_s=13.0)
    assert history.only_version(now_s=13.0 + STREAM_AGE_S) == "v2"


def test_second_release_soon_after_the_first_does_not_bring_back_its_old_version() -> None:
    """Streams of the version in between are remembered."""
    history = _history((0.0, "v1"), (60.0, "v1 v2"), (70.0, "v2"), (72.0, "v2 v3"))
    assert history.version_of_forgotten(now_s=73.0).is_err()


def test_origins_are_kept_for_a_streams_age() -> None:
    """The latest origin of a stream counts, and memory is bounded."""
    origins = StreamOrigins()
    origins.remember("s1", V1, now_s=0.0)
    assert origins.recall("s1", now_s=STREAM_AGE_S - 0.1) == V1
    assert origins.recall("s1", now_s=STREAM_AGE_S) is None
    later = StreamOrigin("models", "v2")
    origins.remember("s1", later, now_s=1.0)
    assert origins.recall("s1", now_s=STREAM_AGE_S + 0.9) == later
    for number in range(MAX_STREAMS + 10):
        origins.remember(f"t{number}", V1, now_s=2.0)
    assert origins.recall("t0", now_s=2.0) is None
    assert origins.recall(f"t{MAX_STREAMS + 9}", now_s=2.0) == V1


def _report(versions: str, before: str | None, *, is_complete: bool | None = True) -> StreamReport:
    return StreamReport(
        versions=frozenset(versions.split()), version_before=before, is_complete=is_complete
    )


def test_instance_that_has_missed_a_version_learns_it_from_the_homes() -> None:
    """A frozen or cut-off instance took the version it knew for the only one (ORDER)."""
    behind, ahead = _report("v1", "v1"), _report("v1 v2", "v1")
    assert only_version_of(behind, [behind, ahead]).is_err()
    assert only_version_of(ahead, [behind, behind]).is_err()
    assert only_version_of(behind, [None, None]).is_err()
    assert only_version_of(behind, [behind, None]) == Ok("v1")
    assert only_version_of(behind, []) == Ok("v1")
    started = _report("v1", None, is_complete=False)
    assert only_version_of(started, [started]).is_err()
    assert only_version_of(started, [started, behind]) == Ok("v1")
    earlier_release = StreamReport()
    assert only_version_of(behind, [earlier_release]) == Ok("v1")


def test_forgotten_stream_is_of_the_old_version_only_if_all_who_would_remember_were_asked() -> None:
    """One that began at the new version was forgotten with the instances that were killed."""
    own = _report("v1 v2", "v1")

    def find(
        report_by_id: dict[str, StreamReport | None], *, left: str = "", lost: str = ""
    ) -> Result[str, str]:
        gone = {"left": set(left.split()), "lost": set(lost.split())}
        return version_before_release(own, report_by_id, **gone, copies=3)

    assert find({"i2": own, "i3": own}) == Ok("v1")
    assert find({"i2": own, "i3": StreamReport()}) == Ok("v1")
    assert find({"i2": own, "i3": None}).is_err()
    assert find({"i2": own}, lost="i3").is_err()
    assert find({"i2": own}, left="i3 i4") == Ok("v1")
    assert find({"i2": own}, left="i3 i4 i5").is_err()
    started = _report("v1 v2", None, is_complete=False)
    assert find({"i2": own, "i3": started, "i4": started}) == Ok("v1")
    assert find({"i2": own, "i3": started, "i4": started}, left="i5").is_err()
    assert find({"i2": own, "i3": _report("v1 v2", None)}).is_err()
    assert find({"i2": own, "i3": _report("v2 v3", "v2")}).is_err()


load_tests = load_functions(globals())
