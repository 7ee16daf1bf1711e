"""Runs the test suite and prints the counts of passed, failed and skipped tests as its last line.

The failures of tests that KNOWN-RED.txt lists are printed and do not fail the run. A test marked
with `unittest.expectedFailure` that passes fails the run; a listed test that passes does not.
"""

import faulthandler
import sys
import unittest
from pathlib import Path

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the test ids listed in KNOWN-RED.txt: the word after each `test:`."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def load_suite(names: list[str]) -> unittest.TestSuite:
    """Return the tests of the named modules, or all tests if no name is given."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))


@settings(
    max_examples=10,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(st.integers(), min_size=100))
def collect_constants(numbers: list[int]) -> None:
    """Make Hypothesis collect the constants of the loaded modules.

    Hypothesis does so once, when it first draws a constant. In a new clone that takes about a
    second, which would fail the health check of the first property test on a busy machine.
    """


def main(names: list[str]) -> int:
    """Run the tests and return the exit status of the process."""
    faulthandler.enable()  # a crash of the interpreter then names the test
    known_red = read_known_red()
    runner = unittest.TextTestRunner(verbosity=2 if names else 1)
    suite = load_suite(names)
    collect_constants()
    outcome = runner.run(suite)
    failed = {case.id() for case, _ in [*outcome.failures, *outcome.errors]}
    red = sorted(failed & known_red)
    unexpected = failed - known_red
    mended = {case.id() for case in outcome.unexpectedSuccesses}
    for name in red:
        print(f"known red: {name}")
    passed = outcome.testsRun - len(failed) - len(outcome.skipped)
    print(
        f"{passed} passed, {len(unexpected) + len(mended)} failed, {len(outcome.skipped)} skipped"
    )
    return 1 if unexpected or mended or outcome.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
