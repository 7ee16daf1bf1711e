"""Answers the messages about kept turns that gateways and other storage instances send."""

from collections.abc import Awaitable

from result import Err

from lagoonfold.histories import KeptTurn, turn_key
from lagoonfold_gateway._messages import (
    CopiesLacking,
    CopyOffer,
    KeepRefused,
    KeepTurns,
    Message,
    TurnQuery,
    TurnsFound,
    TurnsKept,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway.storage._disk_registration import DiskRegistration
from lagoonfold_gateway.storage._turn_store import TurnStore
from lagoonfold_io.observe import Metrics

MAX_ANSWER_BYTES = 1_048_576  # of turns in one answer, unless one turn is larger


class TurnServer:
    """Handles the messages of one storage instance."""

    def __init__(
        self,
        bus: PeerBus,
        turn_store: TurnStore,
        registration: DiskRegistration,
        metrics: Metrics,
    ) -> None:
        self._turn_store = turn_store
        self._registration = registration
        self._metrics = metrics
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
        kept = await self._turn_store.keep(request.turns, request.keep_s)
        if isinstance(kept, Err):
            self._metrics.count("turns_refused")
            return KeepRefused(reason=kept.err_value)
        return TurnsKept(disk_id=self._turn_store.disk_id)

    async def _handle_query(self, query: Message) -> Message:
        assert isinstance(query, TurnQuery)
        turns: list[KeptTurn] = []
        size = 0
        wanted: str | None = query.turn_id
        while wanted is not None:
            turn = await self._turn_store.read(turn_key(query.account, wanted))
            if turn is None or (turns and size + turn.size_bytes > MAX_ANSWER_BYTES):
                break
            turns.append(turn)
            size += turn.size_bytes
            wanted = turn.previous
        self._metrics.count("turn_queries", "found" if turns else "absent")
        return TurnsFound(
            disk_id=self._turn_store.disk_id,
            turns=tuple(turns),
            kept_for_s=tuple(self._turn_store.kept_for_s(turn.key) for turn in turns),
        )

    def _handle_offer(self, offer: Message) -> Message:
        assert isinstance(offer, CopyOffer)
        lacking = tuple(key for key in offer.keys if key not in self._turn_store)
        return CopiesLacking(disk_id=self._turn_store.disk_id, keys=lacking)
