"""The `story` command: log lines about a request or a program, merged over instances."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from lagoonfold_ctl._story import read_timeline
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


def test_timeline_merges_the_instances_concerned() -> None:
    """The timeline holds lines about the id and context of its instances, and no other lines.

    Lines of other instances, of other requests and from long before the request are left out;
    lines that are not JSON are counted.
    """
    with tempfile.TemporaryDirectory() as folder:
        files = _write(folder)
        timeline = read_timeline("r1", files)
        events_in_order = [(line["at"], line["instance"], line["event"]) for line in timeline.lines]
        assert events_in_order == [
            (99.5, "g1", "members.changed"),
            (100.2, "g2", "store.call_failed"),
            (100.5, "g1", "request.done"),
        ]
        assert timeline.unreadable == 3
        events = [line["event"] for line in read_timeline("p1", files).lines]
        assert "budget.spent" in events and events.count("budget.spent") == 1


def test_command_prints_the_timeline_or_an_error() -> None:
    """An unknown id, a missing file and a missing argument are errors with their own statuses."""

    def run(*words: str) -> tuple[int, str]:
        command = [sys.executable, "-m", "lagoonfold_ctl", "story", *words]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        assert "Traceback" not in completed.stderr, completed.stderr
        return completed.returncode, completed.stdout + completed.stderr

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
