"""Tests of the modules that the gateway imports when it starts."""

import subprocess
import sys

from tests._suite import load_functions

DAEMON_ONLY_MODULES = (
    "lagoonfold.config",
    "lagoonfold_io._etcd_store",
    "pynng",
    "pydantic",
    "fire",
)


def test_gateway_imports_no_module_that_only_the_daemon_needs() -> None:
    """After a power failure, each imported module delays the first request."""
    script = "import sys, lagoonfold_gateway; print(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True, timeout=60
    )
    loaded = set(run.stdout.split())
    assert "lagoonfold_gateway" in loaded
    assert not loaded & set(DAEMON_ONLY_MODULES)


load_tests = load_functions(globals())
