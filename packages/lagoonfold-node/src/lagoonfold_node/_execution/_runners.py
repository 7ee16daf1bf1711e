"""The registry of the functions that run the calls of each kind of route."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from result import Result

from lagoonfold import Refusal
from lagoonfold.config import RouteKind
from lagoonfold.records import Cost
from lagoonfold_node._execution._answer_buffer import CallAnswer
from lagoonfold_node._execution._running import RunningCall


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """A whole answer with its cost; `last_part` ends the answer of streaming readers."""

    answer: CallAnswer
    used: Cost
    last_part: bytes = b""


Runner = Callable[[Any, RunningCall], Awaitable[Result[RunResult, Refusal]]]

RUNNERS_BY_KIND: dict[RouteKind, Runner] = {}


def runner_for(kind: RouteKind) -> Callable[[Runner], Runner]:
    """Register the decorated function as the runner of calls to routes of a kind."""

    def register(runner: Runner) -> Runner:
        RUNNERS_BY_KIND[kind] = runner
        return runner

    return register
