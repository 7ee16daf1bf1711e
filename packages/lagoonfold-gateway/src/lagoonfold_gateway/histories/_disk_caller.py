"""Calls storage instances, by way of another gateway while one cannot be reached from here.

Reads `live`. A gateway that is cut off from some storage instances may still reach other gateways,
and these the storage instances. Storage instances tell in their answers whether their disks are
full; such a disk is asked again now and then while turns would be written to it.
"""

import random
from collections.abc import Awaitable

from result import Err, Ok, Result

from lagoonfold.histories import Disk
from lagoonfold.liveness import RelayPaths
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import (
    DiskRelay,
    DiskUnreached,
    KeepRefused,
    KeepTurns,
    Message,
    TurnQuery,
    TurnsFound,
    TurnsKept,
)
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog, Metrics

RELAY_TIMEOUT_S = 0.5  # a disk's own time and a hop more
MAX_RELAYS_TRIED = 2
ROOM_POLL_S = 0.5  # between questions to a full disk; turns expire at any time
ROOM_TIMEOUT_S = 0.3  # for an answer from memory

_log = EventLog("histories")


class DiskCaller:
    """Calls the storage instances for one gateway, and for others that cannot reach them."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        disk_bus: PeerBus,
        metrics: Metrics,
        rng: random.Random,
        nursery: TaskStarter,
    ) -> None:
        self._nursery = nursery
        self._asked_s_by_full_name: dict[str, float] = {}
        self._board = board
        self._bus = bus
        self._disk_bus = disk_bus
        self._metrics = metrics
        self._paths = RelayPaths(rng)
        disk_bus.on_fault = self._record_fault
        disk_bus.on_answer = self._paths.record_reached
        bus.register_handler(DiskRelay)(self._handle_relay)

    def is_faulty(self, disk: Disk) -> bool:
        """Return whether a disk's instance did not answer this gateway lately."""
        return self._paths.is_faulty(disk.name, now_s=now_s())

    def is_out_of_reach(self, disk: Disk) -> bool:
        """Return whether a disk's instance answered lately neither here nor through others."""
        return self._paths.is_out_of_reach(disk.name, now_s=now_s())

    def is_full(self, disk: Disk) -> bool:
        """Return whether a disk has said that it is full, and find out whether it still is."""
        asked_s = self._asked_s_by_full_name.get(disk.name)
        if asked_s is None:
            return False
        if now_s() - asked_s >= ROOM_POLL_S:
            self._asked_s_by_full_name[disk.name] = now_s()
            self._nursery.start_soon(self._ask_for_room, disk)
        return True

    async def _ask_for_room(self, disk: Disk) -> None:
        """Ask for a turn that does not exist; the answer tells whether the disk is full."""
        await self.call(disk, TurnQuery(turn_id="", account=""), timeout_s=ROOM_TIMEOUT_S)

    def record_refused(self, disk: Disk) -> None:
        """Record that a disk's instance has refused to keep a turn, for whichever reason."""
        self._paths.record_failed(disk.name, now_s=now_s())

    async def call(
        self, disk: Disk, message: KeepTurns | TurnQuery, *, timeout_s: float
    ) -> Result[Message, PeerFault]:
        """Send a message to a disk's instance and return the answer.

        One that did not answer lately is called through others first.
        """
        answer = await self._call(disk, message, timeout_s)
        if isinstance(answer, Ok):
            self._note_room(disk, answer.ok_value)
        return answer

    def _note_room(self, disk: Disk, answer: Message) -> None:
        if not isinstance(answer, TurnsKept | KeepRefused | TurnsFound):
            return
        if answer.is_full:
            if disk.name not in self._asked_s_by_full_name:
                _log.warning("disk.full", disk=disk.name)
                self._asked_s_by_full_name[disk.name] = now_s()
        elif self._asked_s_by_full_name.pop(disk.name, None) is not None:
            _log.info("disk.has_room", disk=disk.name)

    async def _call(
        self, disk: Disk, message: KeepTurns | TurnQuery, timeout_s: float
    ) -> Result[Message, PeerFault]:
        if self.is_faulty(disk) and not self.is_out_of_reach(disk):
            relayed = await self._call_through_others(disk, message)
            if isinstance(relayed, Ok):
                return relayed
        direct = await self._disk_bus.call(disk.name, message, timeout_s=timeout_s)
        if isinstance(direct, Ok) or self.is_out_of_reach(disk):
            return direct
        return await self._call_through_others(disk, message)

    async def _call_through_others(
        self, disk: Disk, message: KeepTurns | TurnQuery
    ) -> Result[Message, PeerFault]:
        relay = DiskRelay(disk=disk.name, message=message)
        peers = [each for each in self._board.live.read().ids if each != self._bus.own_id]
        for peer in self._paths.relays(disk.name, peers, now_s=now_s(), limit=MAX_RELAYS_TRIED):
            self._metrics.count("disk_calls_relayed")
            answer = await self._bus.call(peer, relay, timeout_s=RELAY_TIMEOUT_S)
            if isinstance(answer, Ok) and not isinstance(answer.ok_value, DiskUnreached):
                self._paths.record_relayed(disk.name, peer, now_s=now_s())
                return answer
            if isinstance(answer, Err):
                self._paths.record_relay_failed(peer, now_s=now_s())
        self._paths.record_unrelayed(disk.name, now_s=now_s())
        return Err(PeerFault.UNREACHED)

    def _handle_relay(self, relay: Message) -> Awaitable[Message]:
        assert isinstance(relay, DiskRelay)
        return self._pass_on(relay)

    async def _pass_on(self, relay: DiskRelay) -> Message:
        answer = await self._disk_bus.call(relay.disk, relay.message, timeout_s=RELAY_TIMEOUT_S)
        if isinstance(answer, Err):
            return DiskUnreached(reason=answer.err_value.value)
        return answer.ok_value

    def _record_fault(self, name: str, fault: PeerFault) -> None:
        self._paths.record_failed(name, now_s=now_s())
