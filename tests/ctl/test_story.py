"""The story of a request or a program from the log files of several instances."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from lagoonfold_ctl._story import read_story
from tests._suite import load_functions

DONE = {
    "at": 100.5,
    "instance": "g1",
    "event": "request.done",
    "request_id": "r1",
    "program": "p1",
    "owner": "g2",
    "took_s": 0.4,
}
LINES_BY_FILE = {
    "g1.log": [
        {"at": 90.0, "instance": "g1", "event": "members.changed", "gone": ["g9"]},
        {"at": 99.5, "instance": "g1", "event": "members.changed", "gone": ["g3"]},
        DONE,
        {"at": 100.1, "instance": "g1", "event": "request.done", "request_id": "r2"},
    ],
    "g2.log": [
        {"at": 100.2, "instance": "g2", "event": "store.call_failed", "reason": "status 503"},
        {"at": 100.3, "instance": "g2", "event": "budget.spent", "program": "p1"},
        {"at": 100.3, "instance": "g2", "event": "budget.spent", "program": "other"},
    ],
    "g3.log": [{"at": 100.2, "instance": "g3", "event": "store.call_failed"}],
}


def _write(folder: str) -> list[Path]:
    paths = []
    for name, lines in LINES_BY_FILE.items():
        path = Path(folder) / name
        path.write_text("\n".join(json.dumps(line) for line in lines) + "\nnot json\n")
        paths.append(path)
    return paths


def test_story_joins_the_instances_that_it_names() -> None:
    """Lines of the id and changes at its instances stand in order; others are left out."""
    with tempfile.TemporaryDirectory() as folder:
        files = _write(folder)
        story = read_story("r1", files)
        told = [(line["at"], line["instance"], line["event"]) for line in story.lines]
        assert told == [
            (99.5, "g1", "members.changed"),
            (100.2, "g2", "store.call_failed"),
            (100.5, "g1", "request.done"),
        ]
        assert story.unreadable == 3
        events = [line["event"] for line in read_story("p1", files).lines]
        assert "budget.spent" in events and events.count("budget.spent") == 1


def test_command_prints_the_story_or_says_what_is_wrong() -> None:
    """An unknown id, a missing file and no file at all have their own messages."""

    def run(*words: str) -> tuple[int, str]:
        command = [sys.executable, "-m", "lagoonfold_ctl", "story", *words]
        ran = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        assert "Traceback" not in ran.stderr, ran.stderr
        return ran.returncode, ran.stdout + ran.stderr

    with tempfile.TemporaryDirectory() as folder:
        files = [str(path) for path in _write(folder)]
        status, text = run("r1", *files)
        assert status == 0 and "request.done" in text and "3 lines could not be read" in text
        status, text = run("r9", *files)
        assert status == 1 and "r9" in text
        status, text = run("r1", str(Path(folder) / "missing.log"))
        assert status == 2 and "missing.log" in text
        assert run("r1")[0] == 2


load_tests = load_functions(globals())
