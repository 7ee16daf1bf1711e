"""Checks of a settings file, and logging that never blocks."""

import json
import os

from lagoonfold_gateway import parse_settings
from lagoonfold_io.observe import LineWriter
from tests._suite import load_functions

GOOD = """
[instance]
id = g1
failure_domain = zone-a
listen = 127.0.0.1:1
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
metrics =
is_first_start = true
[store]
address = 127.0.0.1:4
[times]
stop_s = 8
"""


def test_good_settings() -> None:
    """Values are converted to their types; an empty value means the default."""
    settings = parse_settings(GOOD).unwrap()
    assert settings.instance.is_first_start and settings.instance.metrics is None
    assert settings.times.stop_s == 8.0


def test_all_faults_are_named_at_once() -> None:
    """Each fault names its section, key and value."""
    bad = GOOD.replace("127.0.0.1:1", "nowhere").replace("stop_s = 8", "stop_s = -1\nodd = 1")
    bad = bad.replace("id = g1\n", "") + "[extra]\na = 1\n"
    faults = "\n".join(parse_settings(bad).err_value)
    for part in ("listen = 'nowhere'", "stop_s = '-1'", "'odd'", "id is required", "[extra]"):
        assert part in faults, (part, faults)
    assert parse_settings("no section").is_err()
    assert len(parse_settings("").err_value) == 2


def test_lines_beyond_the_rate_are_counted() -> None:
    """The lines of an event beyond its limit per second are counted; other events go on."""
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end, max_per_s=2)
    allowed = [writer.reserve_line("a", now_s=1.0) for _ in range(5)]
    assert allowed == [True, True, False, False, False]
    assert writer.reserve_line("b", now_s=1.0)
    assert writer.reserve_line("a", now_s=2.0)
    assert writer.pop_dropped_count("a") == 3 and writer.pop_dropped_count("a") == 0
    os.close(reader)
    os.close(writer_end)


def test_reader_that_stops_does_not_stop_the_process() -> None:
    """A full pipe drops whole lines and does not block the writer."""
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    line = json.dumps({"text": "x" * 1_000}).encode()
    for _ in range(1_000):
        writer.write("a", line)
    left_out = writer.pop_dropped_count("a")
    assert 0 < left_out < 1_000
    os.close(writer_end)
    with os.fdopen(reader, "rb") as pipe:
        lines = pipe.read().splitlines()
    assert len(lines) == 1_000 - left_out
    assert all(json.loads(one) for one in lines)


load_tests = load_functions(globals())
