"""Checks of a settings file, and logging that never blocks."""

import ast
import contextlib
import io
import json
import os
import tempfile
from pathlib import Path

import trio

from lagoonfold.rates import RateLimit
from lagoonfold_gateway import parse_settings
from lagoonfold_gateway._settings_file import SettingsFile
from lagoonfold_io.observe import LineWriter
from standins.replica import Behaviour
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, make_config, run_and_collect_lines

PACKAGES = Path(__file__).resolve().parents[2] / "packages"
LINE_KEYS = {"at", "instance", "level", "event", "left_out", "error"}
LOG_METHODS = {"debug", "info", "warning", "error"}

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
config_in_force_ms = 4000
"""


def test_good_settings() -> None:
    """Values are converted to their types; an empty value means the default."""
    settings = parse_settings(GOOD).unwrap()
    assert settings.instance.is_first_start and settings.instance.metrics is None
    assert settings.times.stop_s == 8.0
    assert settings.times.config_in_force_ms == 4_000.0
    assert settings.times.replica_drained_ms == 2_000.0


def test_placeholders_that_were_not_filled_count_as_empty() -> None:
    """A template of this release, filled by what fills those of the one before, must not fail."""
    text = GOOD + "[memory]\nmachine_mb = {{Machine.Memory}}\n"
    assert parse_settings(text).unwrap().memory.machine_mb == 0
    assert parse_settings(GOOD.replace("id = g1", "id = {{Name}}")).is_err()


def test_all_faults_are_named_at_once() -> None:
    """Each fault names its section, key and value."""
    bad = GOOD.replace("127.0.0.1:1", "nowhere").replace("stop_s = 8", "stop_s = -1\nodd = 1")
    bad = bad.replace("id = g1\n", "") + "[extra]\na = 1\n"
    faults = "\n".join(parse_settings(bad).err_value)
    for part in ("listen = 'nowhere'", "stop_s = '-1'", "'odd'", "id is required", "[extra]"):
        assert part in faults, (part, faults)
    assert parse_settings("no section").is_err()
    assert len(parse_settings("").err_value) == 2


def test_settings_file_that_cannot_be_read_is_named() -> None:
    """At the start in one line without a traceback; a running process keeps its settings."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.ini"
        assert _load_from(path).startswith(f"{path}: the file cannot be read: [Errno 2] No such")
        path.write_bytes(b"\xff\xfe")
        assert "can't decode byte 0xff" in _load_from(path)
        path.write_text(GOOD.replace("stop_s = 8", "stop_s = soon"))
        assert "stop_s" in _load_from(path)


def _load_from(path: Path) -> str:
    """Return what is written to standard error by a load that fails."""
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        assert SettingsFile(str(path), parse_settings).load() is None
    return errors.getvalue()


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


def test_no_field_overwrites_a_key_that_each_line_has() -> None:
    """A field such as `level` would replace the level of its line."""
    clashes = []
    for path in sorted(PACKAGES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LOG_METHODS
                and ast.unparse(node.func.value) == "_log"
            ):
                names = {keyword.arg for keyword in node.keywords} & LINE_KEYS
                clashes += [f"{path.name}:{node.lineno} {name}" for name in sorted(names)]
    assert not clashes, clashes


def test_usage_line_names_messages_and_store_calls_by_kind() -> None:
    """The line counts since the line before, so that work can be told apart by kind."""

    async def check(fleet: Fleet) -> None:
        assert (await fleet.send_turn(fleet.gateways[0], "p1", budget=1_000)).status == 200
        await trio.sleep(0.3)
        for gateway in fleet.gateways:
            gateway.usage.log()
            gateway.usage.log()

    lines = run_and_collect_lines(check, gateways=2)["instance.usage"]
    first, second = lines[0], lines[1]
    assert first["processor_s"] > 0 and first["sent"] and first["received"]
    assert first["store_calls"]["list gateway/config"] == 1, first
    assert "list gateway/config" not in second["store_calls"], second


def test_line_of_an_attempt_names_its_answer_and_its_events() -> None:
    """What a stream went on with can be told from the status, the media type and the numbers."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour = behaviour
        assert (await fleet.send_turn(fleet.gateways[0], "p1", budget=1_000)).status == 200

    behaviour = Behaviour(break_after=2)
    first, second = run_and_collect_lines(check)["request.done"][0]["tries"]
    assert " answer=200,None events=None..2 delivered=2 " in first, first
    assert " answer=200,None events=2..5 delivered=5 " in second, second


def test_refused_call_names_its_cause() -> None:
    """The owner's line tells an empty bucket from tokens that are withheld."""

    async def check(fleet: Fleet) -> None:
        statuses = [(await fleet.send(fleet.gateways[0], "/read/a")).status for _ in range(4)]
        assert 429 in statuses

    limit = RateLimit(rate_per_s=0.001, burst=2)
    lines = run_and_collect_lines(check, config=make_config(limit=limit))
    assert lines["rate.owned"][0]["burst"] == 2
    short = lines["rate.short"][0]
    assert (short["cause"], short["account"], short["tokens_left"]) == ("empty", "acme", 0.0), short


load_tests = load_functions(globals())
