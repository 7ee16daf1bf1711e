"""Runs the proofs of the promises, which are tests, and prints one line for each promise.

`python -m tests._prove` runs all of them; `--quick` skips those that start processes. A promise
is `held` if all its proofs that ran passed, and `not proved` if none of them ran. Property tests
are derandomized, so a run needs no seed; the fault plans of the process tests state theirs.
"""

import sys
import time
import unittest
from collections.abc import Iterator

from tests._promises import PROMISES, Promise
from tests._run import load_suite

_PROCESS_TESTS = "tests.failure."


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for each in suite:
        if isinstance(each, unittest.TestSuite):
            yield from _cases(each)
        else:
            yield each


def _is_proof(promise: Promise, test_id: str) -> bool:
    return any(test_id.startswith(proof) for proof in promise.proofs)


def _select(is_quick: bool) -> unittest.TestSuite:
    """Return the tests that prove at least one promise."""
    selected = [
        case
        for case in _cases(load_suite([]))
        if any(_is_proof(promise, case.id()) for promise in PROMISES)
        and not (is_quick and case.id().startswith(_PROCESS_TESTS))
    ]
    return unittest.TestSuite(selected)


def _line(promise: Promise, ran: set[str], failed: set[str]) -> str:
    own = {test_id for test_id in ran if _is_proof(promise, test_id)}
    broken = sorted(own & failed)
    verdict = "failed" if broken else "held" if own else "not proved"
    counts = f"{len(own) - len(broken)} of {len(own)} proofs passed"
    names = f": {', '.join(broken)}" if broken else ""
    return f"{promise.number:2} {verdict:10} {promise.text} ({counts}{names})"


def main(words: list[str]) -> int:
    """Run the proofs; return 0 if every promise held."""
    suite = _select("--quick" in words)
    ran = {case.id() for case in _cases(suite)}
    started = time.monotonic()
    outcome = unittest.TextTestRunner(verbosity=0).run(suite)
    failed = {case.id() for case, _ in [*outcome.failures, *outcome.errors]}
    lines = [_line(promise, ran, failed) for promise in PROMISES]
    print("\n".join(lines))
    print(f"seed: derandomized; {len(ran)} proofs in {time.monotonic() - started:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
