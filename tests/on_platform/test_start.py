"""What the gateway loads at its start."""

import subprocess
import sys

from tests._suite import load_functions

NEEDLESS = ("lagoonfold.config", "lagoonfold_io._etcd_store", "pynng", "pydantic", "fire")


def test_gateway_loads_nothing_that_only_the_daemon_needs() -> None:
    """Each module costs time before the first request after a loss of power."""
    script = "import sys, lagoonfold_gateway; print(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True, timeout=60
    )
    loaded = set(run.stdout.split())
    assert "lagoonfold_gateway" in loaded
    assert not loaded & set(NEEDLESS)


load_tests = load_functions(globals())
