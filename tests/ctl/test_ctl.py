"""Runs the operators' command line as a process, against the key-value stand-in."""

import json
import subprocess
import sys
import tempfile
from base64 import b64encode
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from lagoonfold.membership import Member, encode_member
from standins._ports import free_port
from standins._process import Process
from standins.fleet import call, is_ready, wait_until
from tests._run import ROOT
from tests._suite import load_functions

_FIVE_FAULTS = """
[instance]
id = Entry 1
failure_domain = domain-a
listen = entry-1.example:8080
peer = 10.0.0.1:8081
operator = 10.0.0.1:8082
[platform]
instance_list = 10.0.9.2:8500
[limits]
max_conections = 5
[keys]
withdrawal_bound_s = soon
"""


def _lagoonfold(*words: str) -> tuple[int, str, str]:
    command = [sys.executable, "-m", "lagoonfold_ctl", *words]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert "Traceback" not in completed.stderr, completed.stderr
    return completed.returncode, completed.stdout, completed.stderr


@contextmanager
def _store() -> Iterator[str]:
    """Yield the address of a running key-value stand-in."""
    address = f"127.0.0.1:{free_port()}"
    port = address.rpartition(":")[2]
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "standins.kv", f"--port={port}"]
        process = Process.start(command, Path(folder) / "kv.log")
        try:
            wait_until(lambda: is_ready(address, "/livez"), "the key-value stand-in")
            yield address
        finally:
            process.kill()


def test_help_lists_every_command() -> None:
    """Without arguments, or with a word that asks for help, the overview is printed."""
    for words in ((), ("--help",), ("help",)):
        status, text, _ = _lagoonfold(*words)
        assert status == 0
        names = ("account", "route", "profile", "key", "history", "status", "explain", "check")
        assert all(f"lagoonfold {name}" in text for name in names), text


def test_check_names_five_faults_on_five_lines() -> None:
    """Every fault of a settings file is reported, not just the first, as text and as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "instance.ini"
        path.write_text(_FIVE_FAULTS)
        status, text, _ = _lagoonfold("check", str(path))
        assert status == 1
        lines = text.strip().splitlines()
        assert len(lines) == 5, text
        assert any(line.startswith("[limits] max_conections = '5': ") for line in lines)
        status, text, _ = _lagoonfold("check", str(path), "--json")
        faults = json.loads(text)
        assert status == 1 and len(faults) == 5
        assert set(faults[0]) == {"section", "key", "value", "expected"}


def test_check_passes_the_examples() -> None:
    """The settings file in `examples/` has no faults."""
    assert _lagoonfold("check", str(ROOT / "examples" / "brunner.ini"))[0] == 0


def test_an_operator_adds_changes_and_withdraws() -> None:
    """An account and a key are added, changed and retired, and the history lists each change.

    The secret of a key is never shown after it was added, and a command repeated with the same
    change id returns the same record.
    """
    with _store() as address:
        options = (f"--kv={address}", "--by=ada", "--json")

        def operate(*words: str) -> dict | list:
            status, text, errors = _lagoonfold(*words, *options)
            assert status == 0, errors
            return json.loads(text)

        assert operate("account", "add", "north", "--rate=50", "--burst=100")["version"] == 1
        added = operate("key", "add", "north", "--label=crew 7")
        assert added["key"].startswith("lfk_")
        shown = operate("key", "show", added["digest"][:10])
        assert shown["label"] == "crew 7" and added["key"] not in json.dumps(shown)
        assert operate("account", "change", "north", "--rate=60")["from_version"] == 2
        assert operate("account", "show", "north")["rate_per_s"] == 60.0
        operate("key", "retire", added["digest"][:10])
        assert operate("key", "list")[0]["withdrawn_version"] == 4
        history = operate("history")
        assert [change["version"] for change in history] == [4, 3, 2, 1]
        assert {change["changed_by"] for change in history} == {"ada"}
        repeat = ("account", "change", "north", "--burst=7", "--change-id=change-7")
        assert operate(*repeat) == operate(*repeat)


def test_status_and_explain_query_the_registered_instances() -> None:
    """A registered instance that does not answer is still listed; an unknown id is an error."""
    with _store() as address:
        member = Member(
            instance_id="i1",
            incarnation="run-1",
            address="127.0.0.1:1",
            failure_domain="domain-a",
            operator_address=address,
        )
        put = {
            "key": b64encode(b"instances/i1").decode(),
            "value": b64encode(encode_member(member)).decode(),
        }
        assert call("POST", address, "/v3/kv/put", put)[0] == 200
        kv = f"--kv={address}"
        status, text, _ = _lagoonfold("status", kv, "--json")
        assert status == 0 and json.loads(text) == [{"operator": address, "state": "no answer"}]
        assert _lagoonfold("status", kv)[1].splitlines()[1].endswith("no answer")
        assert _lagoonfold("explain", "prg-1", kv)[0] == 1


def test_a_mistyped_command_changes_nothing() -> None:
    """An unknown flag or a surplus argument is a usage error and no change is committed.

    fire calls the command before it parses the rest of the line, see `lagoonfold_ctl._commands`.
    """
    with _store() as address:
        kv = f"--kv={address}"
        add = ("account", "add", "north", "--rate=1", "--burst=1", kv)
        assert _lagoonfold(*add, "--wieght=2")[0] == 2
        assert _lagoonfold(*add, "extra", "words")[0] == 2
        assert _lagoonfold("account", "list", kv, "--json")[1].strip() == "[]"


def test_refusals_have_their_own_exit_statuses() -> None:
    """Invalid input, conflicts, an unreachable store and usage errors have their own statuses."""
    with _store() as address:
        kv = f"--kv={address}"
        add = ("account", "add", "north", "--rate=1", "--burst=1", kv)
        assert _lagoonfold(*add)[0] == 0
        assert _lagoonfold(*add)[0] == 3
        status, _, errors = _lagoonfold("account", "add", "x", "--rate=-1", "--burst=b", kv)
        assert status == 1 and "rate" in errors and "burst" in errors
        status, _, errors = _lagoonfold(
            "account", "change", "north", "--rate=2", "--expect-version=0", kv, "--json"
        )
        assert status == 3 and json.loads(errors)["kind"] == "version-conflict"
        assert "account north" in json.loads(errors)["error"]
    assert _lagoonfold("account", "list", f"--kv={address}")[0] == 4
    assert _lagoonfold("account", "list")[0] == 2


load_tests = load_functions(globals())
