"""Checks every specification, without a fault and with each of its faults, and prints the results.

Exits with 1 if an invariant is broken or a fault is not caught.
"""

import sys
import time

from models import SPECIFICATIONS_BY_NAME, Finding, Specification, check_faulty, check_sound


def _print_sound(specification: Specification) -> bool:
    started = time.monotonic()
    findings = check_sound(specification)
    elapsed_s = time.monotonic() - started
    states = findings[0].states
    print(f"{specification.name}: {states} states, {elapsed_s:.1f} s")
    for finding in findings:
        print(f"  {finding.invariant}: {finding.verdict()}")
        _print_trace(finding)
    return all(finding.holds for finding in findings)


def _print_trace(finding: Finding) -> None:
    for step in finding.trace:
        print(f"      {step}")


def _print_faulty(specification: Specification) -> bool:
    caught = True
    for fault, invariant in specification.invariant_by_fault.items():
        finding = check_faulty(specification, fault)
        caught = caught and finding.holds is False
        steps = " > ".join(finding.trace)
        verdict = f"caught by {invariant}: {steps}" if finding.holds is False else "NOT CAUGHT"
        print(f"  fault {fault.value}: {verdict}")
    return caught


def main() -> int:
    """Check all specifications; return 0 if every invariant holds and every fault is caught."""
    verdicts = []
    for specification in SPECIFICATIONS_BY_NAME.values():
        verdicts.append(_print_sound(specification))
        verdicts.append(_print_faulty(specification))
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
