"""Track how much of each program's prefix each replica has cached."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from lagoonfold._ids import ProgramId, UpstreamId


class CacheEventKind(Enum):
    """The kind of a change in a replica's cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change in a replica's cache; `sequence` increases by one with each event of a replica."""

    sequence: int
    kind: CacheEventKind
    program_id: ProgramId
    tokens: int


class CachedPrefixes:
    """Estimate of the cached tokens by program and replica.

    Calls sent by this instance update it at once, and events of the replicas correct it later. A
    gap in a replica's sequence numbers means that evictions may have been missed. The entries are
    kept nevertheless: a wrong entry costs one recomputed prefix, dropping all of them would cost
    every prefix.
    """

    def __init__(self) -> None:
        self._tokens_by_program: dict[ProgramId, dict[UpstreamId, int]] = {}
        self._sequence_by_upstream: dict[UpstreamId, int] = {}
        self.sequence_gaps = 0

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the programs with an entry for at least one replica."""
        return tuple(self._tokens_by_program)

    def tokens_by_upstream(self, program_id: ProgramId) -> Mapping[UpstreamId, int]:
        """Return the estimated cached tokens of a program, by replica."""
        return self._tokens_by_program.get(program_id, {})

    def set_cached_tokens(
        self, program_id: ProgramId, upstream_id: UpstreamId, tokens: int
    ) -> None:
        """Set the tokens that a replica has cached for a program."""
        self._tokens_by_program.setdefault(program_id, {})[upstream_id] = tokens

    def apply_event(self, upstream_id: UpstreamId, event: CacheEvent) -> None:
        """Apply an event of a replica; old and repeated events are ignored."""
        last_sequence = self._sequence_by_upstream.get(upstream_id)
        if last_sequence is not None and event.sequence <= last_sequence:
            return
        if last_sequence is not None and event.sequence > last_sequence + 1:
            self.sequence_gaps += 1
        self._sequence_by_upstream[upstream_id] = event.sequence
        if event.kind is CacheEventKind.STORED:
            self.set_cached_tokens(event.program_id, upstream_id, event.tokens)
        else:
            self._drop(event.program_id, upstream_id)

    def reset_sequence(self, upstream_id: UpstreamId) -> None:
        """Expect a replica's sequence numbers to start from the beginning, as after a restart.

        The replica's entries stay, since calls may have run there after the restart.
        """
        self._sequence_by_upstream.pop(upstream_id, None)

    def forget_program(self, program_id: ProgramId) -> tuple[UpstreamId, ...]:
        """Drop an ended program and return the replicas that must free its cached prefix."""
        return tuple(sorted(self._tokens_by_program.pop(program_id, {})))

    def forget_upstream(self, upstream_id: UpstreamId) -> None:
        """Drop all entries of a replica that was lost or restarted."""
        self._sequence_by_upstream.pop(upstream_id, None)
        for program_id in tuple(self._tokens_by_program):
            self._drop(program_id, upstream_id)

    def _drop(self, program_id: ProgramId, upstream_id: UpstreamId) -> None:
        tokens_by_upstream = self._tokens_by_program.get(program_id, {})
        tokens_by_upstream.pop(upstream_id, None)
        if not tokens_by_upstream:
            self._tokens_by_program.pop(program_id, None)
