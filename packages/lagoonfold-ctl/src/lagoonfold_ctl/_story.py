"""What the log files of several instances say of a request or a program, in one order.

Lines about the id itself are joined by what changed at the instances concerned while it was under
way: views, members, owners, failed calls to the store. A line that is not JSON, as a traceback or a
line that was cut short, is counted and passed over.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CONTEXT_EVENTS = ("config.", "members.", "store.", "replica.", "rate.", "budget.", "gateway.")
CONTEXT_BEFORE_S = 2.0  # a change of view takes effect within that time
_ID_FIELDS = ("request_id", "program", "program_id")
_COMMON_FIELDS = ("at", "instance", "level", "event")


@dataclass(frozen=True, slots=True)
class Story:
    """The lines of a story, the oldest first, and how many lines could not be read."""

    lines: tuple[dict[str, Any], ...]
    unreadable: int


def read_story(wanted: str, files: Iterable[Path]) -> Story:
    """Return what the files say of an id; raises `OSError` for a file that cannot be read."""
    lines: list[dict[str, Any]] = []
    unreadable = 0
    for file in files:
        for text in file.read_text(encoding="utf-8", errors="replace").splitlines():
            line = _parse(text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    about = [line for line in lines if _is_about(line, wanted)]
    told = about + [line for line in lines if _is_context(line, about, wanted)]
    return Story(tuple(sorted(told, key=lambda line: line["at"])), unreadable)


def describe_line(line: dict[str, Any], began_at: float) -> dict[str, object]:
    """Return a line as a row: when, counted from the first line, where, what, and its inputs."""
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


def _is_about(line: dict[str, Any], wanted: str) -> bool:
    return any(line.get(field) == wanted for field in _ID_FIELDS)


def _is_context(line: dict[str, Any], about: list[dict[str, Any]], wanted: str) -> bool:
    """Tell whether a line is of an instance that the story names, from its time or just before."""
    if _is_about(line, wanted) or not line["event"].startswith(CONTEXT_EVENTS):
        return False
    if any(field in line for field in _ID_FIELDS):
        return False
    return any(
        line.get("instance") in (told.get("instance"), told.get("owner"))
        and told["at"] - told.get("took_s", 0) - CONTEXT_BEFORE_S <= line["at"] <= told["at"]
        for told in about
    )
