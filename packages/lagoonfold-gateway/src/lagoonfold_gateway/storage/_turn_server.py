"""Answers the messages about kept turns that gateways and other storage instances send.

Turns that wait for the disk, and those that are read for an answer, are charged to the memory for
callers.
"""

from collections.abc import Awaitable

from result import Err

from lagoonfold.histories import KeptTurn, lacks_copy, turn_key
from lagoonfold_gateway._messages import (
    CopiesLacking,
    CopyOffer,
    KeepRefused,
    KeepTurns,
    Message,
    TurnQuery,
    TurnsFound,
    TurnsKept,
    TurnTooLarge,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway.storage._disk_registration import DiskRegistration
from lagoonfold_gateway.storage._turn_store import TurnStore
from lagoonfold_io import FaultError, MemoryClaim, MemoryGate
from lagoonfold_io.observe import Metrics

NO_MEMORY = "no memory for turns"
MAX_ANSWER_BYTES = 1_048_576  # of turns in one answer, unless one turn is larger


class TurnServer:
    """Handles the messages of one storage instance."""

    def __init__(
        self,
        bus: PeerBus,
        turn_store: TurnStore,
        registration: DiskRegistration,
        metrics: Metrics,
        memory: MemoryGate,
    ) -> None:
        self._turn_store = turn_store
        self._registration = registration
        self._metrics = metrics
        self._memory = memory
        bus.register_handler(KeepTurns)(self._handle_keep)
        bus.register_handler(TurnQuery)(self._handle_query)
        bus.register_handler(CopyOffer)(self._handle_offer)

    def _handle_keep(self, request: Message) -> Message | Awaitable[Message]:
        assert isinstance(request, KeepTurns)
        if not self._registration.is_listed:
            return KeepRefused(reason="the disk is not listed")
        if self._registration.is_leaving:
            return KeepRefused(reason="the disk is leaving")
        if len(request.turns) != len(request.keep_s):
            return KeepRefused(reason=f"{len(request.turns)} turns, {len(request.keep_s)} times")
        if not all(map(self._registration.may_keep_for, request.keep_s)):
            return KeepRefused(reason=f"the disk may be forgotten within {max(request.keep_s)} s")
        return self._keep(request)

    async def _keep(self, request: KeepTurns) -> Message:
        claim = self._memory.open()
        try:
            if not self._memory.budget.try_hold(
                claim, sum(turn.size_bytes for turn in request.turns)
            ):
                self._metrics.count("turns_refused")
                return KeepRefused(reason=NO_MEMORY)
            kept = await self._turn_store.keep(request.turns, request.keep_s)
        finally:
            self._memory.close(claim)
        if isinstance(kept, Err):
            self._metrics.count("turns_refused")
            return KeepRefused(reason=kept.err_value, is_full=self._turn_store.is_full)
        return TurnsKept(disk_id=self._turn_store.disk_id, is_full=self._turn_store.is_full)

    async def _handle_query(self, query: Message) -> Message:
        assert isinstance(query, TurnQuery)
        size = self._turn_store.size_bytes(turn_key(query.account, query.turn_id))
        if query.max_bytes and size > query.max_bytes:
            return TurnTooLarge(size_bytes=size)
        claim = self._memory.open()
        try:
            await self._memory.hold(claim, size)
            return await self._read_chain(query, claim)
        except FaultError:
            self._metrics.count("turn_queries", "refused")
            return KeepRefused(reason=NO_MEMORY)
        finally:
            self._memory.close(claim)

    async def _read_chain(self, query: TurnQuery, claim: MemoryClaim) -> TurnsFound:
        """Return the turn, and as much of what precedes it as fits into the answer and memory."""
        max_bytes = min(MAX_ANSWER_BYTES, query.max_bytes or MAX_ANSWER_BYTES)
        turns: list[KeptTurn] = []
        size = 0
        wanted: str | None = query.turn_id
        while wanted is not None:
            key = turn_key(query.account, wanted)
            size += self._turn_store.size_bytes(key)
            if turns and (size > max_bytes or not self._memory.budget.try_hold(claim, size)):
                break
            turn = await self._turn_store.read(key)
            if turn is None:
                break
            turns.append(turn)
            wanted = turn.previous
        self._metrics.count("turn_queries", "found" if turns else "absent")
        return TurnsFound(
            disk_id=self._turn_store.disk_id,
            turns=tuple(turns),
            kept_for_s=tuple(self._turn_store.kept_for_s(turn.key) for turn in turns),
            is_full=self._turn_store.is_full,
        )

    def _handle_offer(self, offer: Message) -> Message:
        assert isinstance(offer, CopyOffer)
        offered_for_s = offer.kept_for_s or (0.0,) * len(offer.keys)
        lacking = tuple(
            key
            for key, kept_for_s in zip(offer.keys, offered_for_s, strict=True)
            if key not in self._turn_store
            or lacks_copy(self._turn_store.kept_for_s(key), kept_for_s)
        )
        return CopiesLacking(disk_id=self._turn_store.disk_id, keys=lacking)
