"""Each check of the soak run reports a planted fault, and no other check does."""

from dataclasses import replace

from soak._checks import MOST_JOINED_VERSIONS, find_faults, find_joined_versions
from soak._records import Piece, Run, Stream, Try, read_event
from tests._suite import load_functions

TOTAL = 4
FIRST = Run(1, "s", "a1", 0, "r1", "model", "v1", "broken")
SECOND = Run(2, "s", "a1", 2, "r2", "model", "v1", "sound")
RUNS = {1: FIRST, 2: SECOND}


def _stream(*pieces: tuple[int, int], is_complete: bool = True, **options: object) -> Stream:
    """Return a stream of one try from the numbers of its events and of their runs."""
    each = Try("a1", "g1", 0, 0.0, status=200, is_sealed=True, is_complete=is_complete)
    each.pieces = [Piece(number, "v1", "s", run) for number, run in pieces]
    fields: dict = {"can_resume": True, **options}
    return Stream("s", TOTAL, "drafts", tries=[each], **fields)


WHOLE = ((1, 1), (2, 1), (3, 2), (4, 2))


def _forms(stream: Stream, run_by_id: dict[int, Run] = RUNS) -> list[str]:
    return list(find_faults(stream, run_by_id))


def test_stream_that_goes_on_has_no_fault() -> None:
    """Neither has one that is broken off."""
    assert _forms(_stream(*WHOLE)) == []
    assert _forms(_stream(*WHOLE[:3], is_complete=False)) == []


def test_missing_piece_is_found() -> None:
    """An event is left out within a run."""
    assert _forms(_stream((1, 1), (2, 1), (4, 2))) == ["missing"]


def test_repeated_piece_is_found() -> None:
    """An event comes twice within a run."""
    assert _forms(_stream(*WHOLE[:2], (2, 1), *WHOLE[2:])) == ["repeated"]


def test_joined_runs_are_found() -> None:
    """The second run had begun at the first event, or may not follow."""
    begun_again = {1: FIRST, 2: replace(SECOND, after=0)}
    assert _forms(_stream(*WHOLE), begun_again) == ["joined runs"]
    assert _forms(_stream(*WHOLE, can_resume=False)) == ["joined runs"]
    of_another = {1: FIRST, 2: replace(SECOND, stream="t")}
    assert set(_forms(_stream(*WHOLE), of_another)) == {"joined runs"}


def test_early_end_is_found() -> None:
    """The answer is complete without its last event, or without any."""
    assert _forms(_stream(*WHOLE[:3])) == ["early end"]
    assert _forms(_stream()) == ["early end"]


def test_streams_of_two_versions_are_found() -> None:
    """More of them than the rule allows are reported by service."""
    two_versions = {1: FIRST, 2: replace(SECOND, version="v2")}
    streams = [_stream(*WHOLE) for _ in range(MOST_JOINED_VERSIONS + 1)]
    assert find_joined_versions(streams, two_versions) == {"model": ["s"] * len(streams)}
    assert find_joined_versions(streams, RUNS) == {}


def test_bytes_that_are_no_event_are_found() -> None:
    """Comments and fields without data are none of them."""
    stream = _stream(*WHOLE)
    stream.tries[0].strange.append(b"no room")
    assert _forms(stream) == ["no events"]
    for data in (b"no room", b"data: no room", b"id: 3\nno room", b"HTTP/1.1 500 Error\r\na: b"):
        assert read_event(data) == data
    assert read_event(b": comment") is None and read_event(b"event: ping") is None
    assert read_event(b"id: 3\ndata: v1 s 2 3/4  ") == Piece(3, "v1", "s", 2)


def test_success_without_seal_is_found() -> None:
    """The seal is the replica's."""
    stream = _stream(*WHOLE)
    stream.tries[0].is_sealed = False
    assert _forms(stream) == ["unsealed"]


load_tests = load_functions(globals())
