"""A short run with real gateways has no fault, of those that do not depend on speed."""

import subprocess
import tempfile
from pathlib import Path

import trio

from soak.__main__ import ROOT, make_parser, run
from tests._suite import load_functions

ARGUMENTS = ["--seed", "7", "--seconds", "10", "--gateways", "2", "--untimed"]


def test_short_run_has_no_fault() -> None:
    """A change breaks streams, rates or runs of non-idempotent requests, or the soak itself."""
    subprocess.run(["sh", "deploy/build"], cwd=ROOT, check=True, capture_output=True)
    with tempfile.TemporaryDirectory() as folder:
        status = trio.run(run, make_parser().parse_args([*ARGUMENTS, "--out", folder]))
        record = (Path(folder) / "record.txt").read_text()
    assert status == 0, record
    assert ", 0 whole," not in record, "a run in which callers got nothing shows nothing"


load_tests = load_functions(globals())
