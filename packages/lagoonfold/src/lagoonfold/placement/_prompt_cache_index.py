"""Remembers which replicas have read which parts of prompts."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonfold.forwarding import Replica

MAX_INDEXED_PARTS = 8_192  # about a minute of the prompts of one pool of replicas


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id and its length in tokens."""

    part_id: str
    tokens: int


class PromptReading:
    """The tokens of one prompt that each replica would have to read."""

    def __init__(
        self, parts: tuple[PromptPart, ...], started_by_replica: list[dict[str, int]]
    ) -> None:
        # What is left to read from each part on, with the replicas that have read this part.
        self._steps: list[tuple[dict[str, int], int]] = []
        left = 0
        for part, started in zip(reversed(parts), reversed(started_by_replica), strict=True):
            left += part.tokens
            self._steps.append((started, left))
        self._steps.reverse()

    def uncached_tokens(self, replica: Replica) -> int:
        """Return the tokens of the first part that the replica has not read and all after it."""
        replica_id, started = replica.replica_id, replica.started
        for started_by_replica, left in self._steps:
            if started_by_replica.get(replica_id) != started:
                return left
        return 0


class PromptCacheIndex:
    """Maps prompt parts to the replicas that have read them in requests placed by this instance."""

    def __init__(self) -> None:
        self._replicas_by_part_id: OrderedDict[str, dict[str, int]] = OrderedDict()

    def record(self, replica_id: str, started: int, parts: Iterable[PromptPart]) -> None:
        """Record that a replica has read these parts in its incarnation `started`."""
        for part in parts:
            started_by_replica = self._replicas_by_part_id.setdefault(part.part_id, {})
            started_by_replica[replica_id] = started
            self._replicas_by_part_id.move_to_end(part.part_id)
        while len(self._replicas_by_part_id) > MAX_INDEXED_PARTS:
            self._replicas_by_part_id.popitem(last=False)

    def knows(self, part: PromptPart) -> bool:
        """Return whether this instance remembers placing a request with that part."""
        return part.part_id in self._replicas_by_part_id

    def reading(self, parts: Iterable[PromptPart]) -> "PromptReading":
        """Return what replicas have to read of one prompt, for the candidates of one search."""
        parts = tuple(parts)
        started_by_replica = [self._replicas_by_part_id.get(part.part_id, {}) for part in parts]
        return PromptReading(parts, started_by_replica)

    def uncached_tokens(self, replica: Replica, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the first part that the replica has not read and all after it."""
        return self.reading(parts).uncached_tokens(replica)
