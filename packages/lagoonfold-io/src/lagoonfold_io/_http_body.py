"""Reads the body of a request, whose memory is charged before it is read further.

Chunks of a few bytes are gathered into blocks, so that a body costs about its bytes. One task at a
time parses more than `MAX_EVENTS_PER_TURN` events of one input, and lets all others run in between:
an input of 65,536 bytes may hold 10,922 chunks, which take about a tenth of a second.
"""

import h11
import trio

from lagoonfold_io._http_faults import FaultError, RequestFault, parse_event
from lagoonfold_io._http_messages import READ_SIZE_BYTES, HttpLimits
from lagoonfold_io._memory_budget import MemoryClaim
from lagoonfold_io._memory_gate import BODY_EVICTED, MemoryGate

MAX_EVENTS_PER_TURN = 64
BLOCK_BYTES = 65_536
LARGE_PART_BYTES = 16_384  # kept as a block of its own, which saves a copy
COPIES = 2  # of a whole body: the request and its encoded form on the way to a replica


class BodyReader:
    """Reads the body of one request."""

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: HttpLimits,
        memory: MemoryGate,
        claim: MemoryClaim,
        turn: trio.Lock,
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._limits = limits
        self._memory = memory
        self._claim = claim
        self._turn = turn
        self._blocks: list[bytearray] = []
        self._size = 0
        self._events = 0

    async def read(self, announced: int | None) -> bytes:
        """Return the whole body; raise `FaultError` if it cannot be read or kept."""
        self._claim.progressed_s = trio.current_time()
        with trio.move_on_after(self._limits.body_timeout_s) as time:
            with trio.CancelScope() as eviction:
                self._claim.evict = eviction.cancel
                try:
                    await self._gather(announced)
                    await self._memory.hold(self._claim, COPIES * self._size)
                    return b"".join(self._blocks)
                finally:
                    self._blocks.clear()
                    self._claim.evict = None
        if time.cancelled_caught:
            raise FaultError(RequestFault.REQUEST_TIMEOUT)
        self._memory.count(BODY_EVICTED)
        raise FaultError(RequestFault.MEMORY_SHORT)

    async def _gather(self, announced: int | None) -> None:
        while True:
            event = await self._next_event()
            if event is h11.NEED_DATA:
                await self._receive(announced)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.Data):
                self._add(event.data)
            else:
                raise FaultError(RequestFault.MALFORMED)

    async def _next_event(self) -> object:
        """Return the next event; from some events of one input on, take turns with others."""
        self._events += 1
        if self._events % MAX_EVENTS_PER_TURN:
            return parse_event(self._protocol)
        async with self._turn:
            await trio.lowlevel.checkpoint()
            return parse_event(self._protocol)

    async def _receive(self, announced: int | None) -> None:
        """Charge and read the next input, nothing beyond the announced length."""
        wanted = READ_SIZE_BYTES
        if announced is not None:
            wanted = max(1, min(wanted, announced - self._size))
        await self._memory.hold(self._claim, self._size + wanted)
        self._events = 0
        data = await self._stream.receive_some(wanted)
        self._claim.note_progress(len(data), trio.current_time())
        self._protocol.receive_data(data)

    def _add(self, data: bytes | bytearray) -> None:
        self._size += len(data)
        if self._size > self._limits.max_body_bytes:
            raise FaultError(RequestFault.BODY_TOO_LARGE)
        if len(data) >= LARGE_PART_BYTES:
            self._blocks.append(data)
        elif self._blocks and len(self._blocks[-1]) + len(data) <= BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))
