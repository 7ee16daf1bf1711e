"""Merges the log lines about a request or a program from the log files of several instances.

The timeline also holds lines about the instances concerned from the time of the request, such as
changes of the configuration, members or replicas, and failed calls to the store. Lines that are not
JSON, such as tracebacks or truncated lines, are counted and skipped.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CONTEXT_EVENTS = (
    "budget.",
    "config.",
    "disk.",
    "disks.",
    "feeds.",
    "gateway.",
    "members.",
    "rate.",
    "replica.",
    "store.",
    "turns.",
)
CONTEXT_BEFORE_S = 2.0  # a membership or configuration change takes effect within this time
_ID_FIELDS = ("request_id", "program", "program_id", "turn", "previous_turn")
_COMMON_FIELDS = ("at", "instance", "level", "event")


@dataclass(frozen=True, slots=True)
class Timeline:
    """Log lines about one id, oldest first, and the number of lines that could not be parsed."""

    lines: tuple[dict[str, Any], ...]
    unreadable: int


def read_timeline(id_: str, files: Iterable[Path]) -> Timeline:
    """Return the timeline of an id; raise `OSError` for a file that can't be read."""
    lines: list[dict[str, Any]] = []
    unreadable = 0
    for file in files:
        for text in file.read_text(encoding="utf-8", errors="replace").splitlines():
            line = _parse(text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    matching = [line for line in lines if _is_about(line, id_)]
    selected = matching + [line for line in lines if _is_context(line, matching, id_)]
    return Timeline(tuple(sorted(selected, key=lambda line: line["at"])), unreadable)


def describe_line(line: dict[str, Any], began_at: float) -> dict[str, object]:
    """Return a line as a table row: seconds since `began_at`, instance, event and inputs."""
    inputs = {key: value for key, value in line.items() if key not in _COMMON_FIELDS}
    return {
        "after_s": f"{line['at'] - began_at:+.3f}",
        "instance": line.get("instance", ""),
        "event": line["event"],
        "inputs": {key: value for key, value in inputs.items() if value is not None},
    }


def _parse(text: str) -> dict[str, Any] | None:
    try:
        line = json.loads(text)
    except ValueError:
        return None
    is_event = isinstance(line, dict) and isinstance(line.get("at"), int | float)
    return line if is_event and isinstance(line.get("event"), str) else None


def _is_about(line: dict[str, Any], id_: str) -> bool:
    return any(line.get(field) == id_ for field in _ID_FIELDS)


def _is_context(line: dict[str, Any], matching: list[dict[str, Any]], id_: str) -> bool:
    """Return whether a line is context of a line about the id.

    Its instance must be the one that logged that line or the owner named in it, and its time must
    lie between `CONTEXT_BEFORE_S` before the start of the request, `took_s` before that line, and
    that line. Lines about other ids are not context.
    """
    if _is_about(line, id_) or not line["event"].startswith(CONTEXT_EVENTS):
        return False
    if any(field in line for field in _ID_FIELDS):
        return False
    return any(
        line.get("instance") in (match.get("instance"), match.get("owner"))
        and match["at"] - match.get("took_s", 0) - CONTEXT_BEFORE_S <= line["at"] <= match["at"]
        for match in matching
    )
