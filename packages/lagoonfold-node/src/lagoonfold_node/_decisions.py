"""The latest decisions and their inputs, served by `/v1/explain`.

decisions.add("placement", request_id, program_id=program_id, upstream="engine-2")
decisions.entries_for(program_id)
"""

import time
from collections import deque

import msgspec

MAX_DECISIONS = 10_000


class DecisionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A decision and its inputs; `at_s` is the wall-clock time in seconds."""

    at_s: float
    kind: str
    request_id: str
    program_id: str
    inputs: dict[str, object]


class DecisionLog:
    """A ring buffer of the latest decisions of this instance."""

    def __init__(self, max_decisions: int = MAX_DECISIONS) -> None:
        self._decisions: deque[DecisionEntry] = deque(maxlen=max_decisions)

    def add(self, kind: str, request_id: str, *, program_id: str = "", **inputs: object) -> None:
        """Record a decision with the current time."""
        decision = DecisionEntry(
            at_s=time.time(),
            kind=kind,
            request_id=request_id,
            program_id=program_id,
            inputs=inputs,
        )
        self._decisions.append(decision)

    def entries_for(self, subject: str) -> list[DecisionEntry]:
        """Return the decisions about a request or program, oldest first."""
        return [
            decision
            for decision in self._decisions
            if subject in (decision.request_id, decision.program_id)
        ]
