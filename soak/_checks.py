"""Checks of what callers got: the five forms of ORDER, and two of MIXED.

Each returns a line for each fault of a stream. Streams of two versions are counted over the run.
"""

from collections import defaultdict
from itertools import pairwise

from soak._records import Run, Stream

MOST_JOINED_VERSIONS = 2  # streams of a service


def find_missing(stream: Stream) -> list[str]:
    """Return the places where a piece is missing."""
    numbers = [0, *(piece.number for piece in stream.pieces)]
    return [f"{after} after {before}" for before, after in pairwise(numbers) if after > before + 1]


def find_repeated(stream: Stream) -> list[str]:
    """Return the places where a piece comes twice, or a number goes back."""
    numbers = [0, *(piece.number for piece in stream.pieces)]
    return [f"{after} after {before}" for before, after in pairwise(numbers) if after <= before]


def find_joined_runs(stream: Stream, run_by_id: dict[int, Run]) -> list[str]:
    """Return the places where a run follows that was not asked to go on there."""
    faults, last_number, last_run = [], 0, None
    for piece in stream.pieces:
        run = run_by_id.get(piece.run_id)
        if run is None or run.stream != stream.name or piece.stream != stream.name:
            faults.append(f"{piece.number} is of {piece.stream}")
        elif last_run is not None and piece.run_id != last_run and not stream.can_resume:
            faults.append(f"run {piece.run_id} after {last_run}, which may not be resumed")
        elif piece.run_id != last_run and run.after != last_number:
            faults.append(f"run {piece.run_id} after {run.after} goes on after {last_number}")
        last_number, last_run = piece.number, piece.run_id
    return faults


def find_early_end(stream: Stream) -> list[str]:
    """Return the answer that ended as complete before the last piece."""
    if not stream.is_whole or stream.last_number >= stream.total:
        return []
    return [f"complete after {stream.last_number} of {stream.total}"]


def find_joined_versions(streams: list[Stream], run_by_id: dict[int, Run]) -> dict[str, list[str]]:
    """Return the streams that hold events of two versions, by service."""
    streams_by_service: defaultdict[str, list[str]] = defaultdict(list)
    for stream in streams:
        runs = [run_by_id[piece.run_id] for piece in stream.pieces if piece.run_id in run_by_id]
        for service in sorted({run.service for run in runs}):
            if len({run.version for run in runs if run.service == service}) > 1:
                streams_by_service[service].append(stream.name)
    return dict(streams_by_service)


def find_strange_bytes(stream: Stream) -> list[str]:
    """Return the bytes of successes that are no events."""
    return [
        f"{each.attempt}: {data[:120]!r}"
        for each in stream.tries
        if each.status == 200
        for data in each.strange
    ]


def find_unsealed(stream: Stream) -> list[str]:
    """Return the successes without a replica's seal."""
    return [
        each.attempt for each in stream.tries if 200 <= each.status < 300 and not each.is_sealed
    ]


def find_faults(stream: Stream, run_by_id: dict[int, Run]) -> dict[str, list[str]]:
    """Return what is wrong with a stream, by form."""
    faults_by_form = {
        "missing": find_missing(stream),
        "repeated": find_repeated(stream),
        "joined runs": find_joined_runs(stream, run_by_id),
        "early end": find_early_end(stream),
        "no events": find_strange_bytes(stream),
        "unsealed": find_unsealed(stream),
    }
    return {form: faults for form, faults in faults_by_form.items() if faults}
