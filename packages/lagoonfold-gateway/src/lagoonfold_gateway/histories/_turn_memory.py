"""The kept turns that requests in progress go on from, charged to the memory for callers.

Requests that go on from the same turn share it and its charge. A turn is charged before it is read:
without memory a request waits, and is refused if none becomes free (`MemoryGate`).
"""

from dataclasses import dataclass

from lagoonfold.histories import KeptTurn
from lagoonfold_io import SMALL_BYTES, MemoryClaim, MemoryGate

COPIES = 2  # of a turn while it is read: the message, and what is decoded from it
LONG_READ_BYTES = 6_291_456  # a turn of the largest size, read at the first attempt
READ_BYTES = 1_048_576  # a long chain of ordinary turns is read in messages of this size
LONG_READ_SHARE = 0.5  # of the memory at most in use, for a read of the largest size


@dataclass(slots=True, eq=False)
class _Charged:
    turn: KeptTurn
    kept_until_s: float
    claim: MemoryClaim
    uses: int = 0


class TurnMemory:
    """The charged turns of one gateway, by their keys."""

    def __init__(self, gate: MemoryGate) -> None:
        self._gate = gate
        self._charged_by_key: dict[str, _Charged] = {}

    def open(self) -> "TurnUse":
        """Return the use that one request makes of turns, to be closed with it."""
        return TurnUse(self._gate, self._charged_by_key)

    def kept_until_s(self, key: str) -> float:
        """Return until when a turn in use is kept, as far as is known; 0.0 for one not in use."""
        charged = self._charged_by_key.get(key)
        return charged.kept_until_s if charged is not None else 0.0

    def renew(self, key: str, kept_until_s: float) -> None:
        """Note that a turn is kept for longer, for all requests that use it."""
        charged = self._charged_by_key.get(key)
        if charged is not None:
            charged.kept_until_s = max(charged.kept_until_s, kept_until_s)


class TurnUse:
    """The turns that one request uses."""

    def __init__(self, gate: MemoryGate, charged_by_key: dict[str, _Charged]) -> None:
        self._gate = gate
        self._charged_by_key = charged_by_key
        self._keys: set[str] = set()

    def share(self, key: str) -> KeptTurn | None:
        """Use a turn that another request uses, and return it; None if no other one does."""
        charged = self._charged_by_key.get(key)
        if charged is None:
            return None
        self._use(key, charged)
        return charged.turn

    async def take(self, turn: KeptTurn, kept_until_s: float) -> None:
        """Charge and use a turn that is cached and that no request uses.

        Raises `FaultError` without memory for it.
        """
        claim = self._gate.open()
        if not self._gate.budget.try_hold(claim, turn.size_bytes):
            await self._wait_and_take(turn, kept_until_s, claim)
            return
        charged = _Charged(turn, kept_until_s, claim)
        self._charged_by_key[turn.key] = charged
        self._use(turn.key, charged)

    async def _wait_and_take(self, turn: KeptTurn, kept_until_s: float, claim: MemoryClaim) -> None:
        """Charge and use a turn once there is memory; another request may have done so by then."""
        try:
            await self._gate.hold(claim, turn.size_bytes)
            self.adopt(turn, kept_until_s, claim)
        finally:
            self._gate.close(claim)

    def adopt(self, turn: KeptTurn, kept_until_s: float, reserved: MemoryClaim) -> None:
        """Use a turn that was read with a reservation, which gives up what the turn holds."""
        charged = self._charged_by_key.get(turn.key)
        if charged is None:
            charged = _Charged(turn, kept_until_s, self._gate.open())
            self._charged_by_key[turn.key] = charged
            left_bytes = max(0, reserved.held_bytes - turn.size_bytes)
            self._gate.release(reserved)
            self._gate.budget.hold(charged.claim, turn.size_bytes)
            self._gate.budget.hold(reserved, left_bytes)
        charged.kept_until_s = max(charged.kept_until_s, kept_until_s)
        self._use(turn.key, charged)

    def close(self) -> None:
        """Stop using all turns; those that no other request uses are no longer charged."""
        for key in self._keys:
            charged = self._charged_by_key[key]
            charged.uses -= 1
            if not charged.uses:
                del self._charged_by_key[key]
                self._gate.close(charged.claim)
        self._keys.clear()

    def _use(self, key: str, charged: _Charged) -> None:
        if key not in self._keys:
            self._keys.add(key)
            charged.uses += 1


class ReadReservation:
    """The memory for the answer of a disk's instance, whose size is not known before.

    As much is reserved as is free; an instance whose turn does not fit into `max_bytes` tells its
    size, and it is asked again once there is memory for it.
    """

    def __init__(self, gate: MemoryGate) -> None:
        self._gate = gate
        self.claim = gate.open()
        self.max_bytes = 0

    async def reserve(self) -> None:
        """Reserve what is free, at least for a small answer; raise `FaultError` without that."""
        budget = self._gate.budget
        is_calm = budget.used_bytes <= LONG_READ_SHARE * budget.max_bytes
        for size in (LONG_READ_BYTES, READ_BYTES) if is_calm else (READ_BYTES,):
            if budget.try_hold(self.claim, COPIES * size):
                self.max_bytes = size
                return
        await self._gate.hold(self.claim, SMALL_BYTES)
        self.max_bytes = SMALL_BYTES // COPIES

    async def reserve_for(self, size: int) -> None:
        """Reserve memory for a turn of a size; raise `FaultError` without memory for it."""
        await self._gate.hold(self.claim, COPIES * size)
        self.max_bytes = size

    def release(self) -> None:
        """Release what is reserved, until the next read."""
        self._gate.release(self.claim)

    def close(self) -> None:
        """Release what is reserved for good."""
        self._gate.close(self.claim)
