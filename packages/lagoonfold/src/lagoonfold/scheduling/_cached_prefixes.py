"""Which replica holds how much of each program's prefix, as far as is known."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from lagoonfold._ids import ProgramId, UpstreamId


class CacheEventKind(Enum):
    """What a replica reports of its cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change in a replica's cache; `sequence` grows by one with each of its events."""

    sequence: int
    kind: CacheEventKind
    program_id: ProgramId
    tokens: int


class CachedPrefixes:
    """Cached tokens by program and replica.

    What was sent from here is known at once; events correct it late. A gap in the sequence means
    that evictions may have been missed. The entries are kept all the same: a wrong belief costs
    one recomputed prefix, the loss of all of them would cost every one.
    """

    def __init__(self) -> None:
        self._tokens_by_program: dict[ProgramId, dict[UpstreamId, int]] = {}
        self._sequence_by_upstream: dict[UpstreamId, int] = {}
        self.sequence_gaps = 0

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the programs that are believed to be cached somewhere."""
        return tuple(self._tokens_by_program)

    def tokens_by_upstream(self, program_id: ProgramId) -> Mapping[UpstreamId, int]:
        """Return the tokens believed to be cached for a program, by replica."""
        return self._tokens_by_program.get(program_id, {})

    def set_cached_tokens(
        self, program_id: ProgramId, upstream_id: UpstreamId, tokens: int
    ) -> None:
        """Note that a call of the program has just run on a replica."""
        self._tokens_by_program.setdefault(program_id, {})[upstream_id] = tokens

    def apply_event(self, upstream_id: UpstreamId, event: CacheEvent) -> None:
        """Take in a replica's event; old and repeated ones are ignored."""
        seen = self._sequence_by_upstream.get(upstream_id)
        if seen is not None and event.sequence <= seen:
            return
        if seen is not None and event.sequence > seen + 1:
            self.sequence_gaps += 1
        self._sequence_by_upstream[upstream_id] = event.sequence
        if event.kind is CacheEventKind.STORED:
            self.set_cached_tokens(event.program_id, upstream_id, event.tokens)
        else:
            self._drop(event.program_id, upstream_id)

    def reset_sequence(self, upstream_id: UpstreamId) -> None:
        """Take a replica's events from the start of their numbers again.

        What is believed of it stays, since calls may have run there after it started again.
        """
        self._sequence_by_upstream.pop(upstream_id, None)

    def forget_program(self, program_id: ProgramId) -> tuple[UpstreamId, ...]:
        """Drop a program that is gone; return the replicas that are to free its cache."""
        return tuple(sorted(self._tokens_by_program.pop(program_id, {})))

    def forget_upstream(self, upstream_id: UpstreamId) -> None:
        """Drop all of a replica that was lost or restarted."""
        self._sequence_by_upstream.pop(upstream_id, None)
        for program_id in tuple(self._tokens_by_program):
            self._drop(program_id, upstream_id)

    def _drop(self, program_id: ProgramId, upstream_id: UpstreamId) -> None:
        tokens_by_upstream = self._tokens_by_program.get(program_id, {})
        tokens_by_upstream.pop(upstream_id, None)
        if not tokens_by_upstream:
            self._tokens_by_program.pop(program_id, None)
