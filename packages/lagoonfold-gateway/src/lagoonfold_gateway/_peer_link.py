"""Messages between instances: length-prefixed frames on one TCP connection to each peer.

A call waits for its answer up to a timeout; a post has no answer. Neither waits to be sent: a task
of each connection sends what is queued. A connection that breaks fails its calls in flight, and the
next call connects again.
"""

import itertools
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import Envelope, Message
from lagoonfold_io import open_tcp_stream

MAX_FRAME_BYTES = 8_388_608  # a kept turn with the largest body that callers may send
CONNECT_TIMEOUT_S = 0.3  # some hundred times the latency between failure domains of a region
SILENCE_LIMIT_S = 1.0  # until a silent connection to a peer is replaced
READ_SIZE_BYTES = 65_536
BATCH_BYTES = 65_536  # of small frames that are joined to be sent at once
FRAME_START = b"\0"  # of a length below 2^24

_LENGTH = struct.Struct(">I")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)

PEER_LINK_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    msgspec.MsgspecError,
    RecursionError,
)


class PeerFault(Enum):
    """Why a call to a peer has no answer."""

    REFUSED = "refused"
    UNREACHED = "unreached"
    BROKEN = "broken"
    TIMEOUT = "timeout"


def encode_frame(envelope: Envelope) -> bytes:
    """Return a message as a frame: its length in 4 bytes, big-endian, then MessagePack."""
    body = _ENCODER.encode(envelope)
    return _LENGTH.pack(len(body)) + body


async def _receive(stream: trio.SocketStream, held_bytes: int) -> bytes:
    return await stream.receive_some(READ_SIZE_BYTES)


class FrameReader:
    """Reads frames from a stream; `receive` gets it and the number of bytes held so far."""

    def __init__(
        self,
        stream: trio.SocketStream,
        received: bytes = b"",
        receive: Callable[[trio.SocketStream, int], Awaitable[bytes]] = _receive,
    ) -> None:
        self._stream = stream
        self._receive = receive
        self._buffer = bytearray(received)

    async def read(self) -> Envelope | None:
        """Return the next message, None at the end; raise one of `PEER_LINK_ERRORS` on a fault."""
        while True:
            if len(self._buffer) >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(self._buffer)
                if length > MAX_FRAME_BYTES:
                    raise msgspec.DecodeError(f"frame of {length} bytes")
                end = _LENGTH.size + length
                if len(self._buffer) >= end:
                    with memoryview(self._buffer) as buffer:
                        envelope = _DECODER.decode(buffer[_LENGTH.size : end])
                    del self._buffer[:end]
                    return envelope
            data = await self._receive(self._stream, len(self._buffer))
            if not data:
                return None
            self._buffer += data


class FrameWriter:
    """Sends frames on one stream in the order in which they are put, small ones together.

    `on_unsent` gets the number of bytes that are queued or being sent whenever it changes.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        on_unsent: Callable[[int], None] = lambda unsent_bytes: None,
    ) -> None:
        self._stream = stream
        self._on_unsent = on_unsent
        self._frames: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._is_dropped = False
        self._wake = trio.Event()

    def put(self, envelope: Envelope) -> None:
        """Queue a message to be sent, without waiting."""
        if self._is_dropped:
            return
        frame = encode_frame(envelope)
        self._frames.append(frame)
        self._wake.set()
        self._count(len(frame))

    def drop(self) -> None:
        """Drop what is queued and whatever is put from now on, and close the connection."""
        self._is_dropped = True
        self._frames.clear()
        self._stream.socket.close()

    async def run(self) -> None:
        """Send queued frames until cancelled; raise one of `PEER_LINK_ERRORS` on a fault."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._frames:
                batch = self._take_batch()
                await self._stream.send_all(batch)
                self._count(-len(batch))

    def _take_batch(self) -> bytes:
        """Return the first frame, and with it those that follow up to `BATCH_BYTES`."""
        batch = [self._frames.popleft()]
        size = len(batch[0])
        while self._frames and size + len(self._frames[0]) <= BATCH_BYTES:
            batch.append(self._frames.popleft())
            size += len(batch[-1])
        return batch[0] if len(batch) == 1 else b"".join(batch)

    def _count(self, more_bytes: int) -> None:
        self._unsent_bytes += more_bytes
        self._on_unsent(self._unsent_bytes)


@dataclass(slots=True)
class _PendingCall:
    done: trio.Event = field(default_factory=trio.Event)
    answer: Result[Message, PeerFault] = Err(PeerFault.TIMEOUT)


class PeerLink:
    """Connects to one peer and sends it messages; its tasks run in the nursery of the bus.

    `on_received` is called for each answer, `on_fault` when a message could not be sent.
    """

    def __init__(
        self,
        address: str,
        nursery: TaskStarter,
        on_received: Callable[[], None],
        on_fault: Callable[[PeerFault], None] = lambda fault: None,
    ) -> None:
        self.address = address
        self._nursery = nursery
        self._on_received = on_received
        self._on_fault = on_fault
        self._numbers = itertools.count(1)
        self._writer: FrameWriter | None = None
        self._scope: trio.CancelScope | None = None
        self._unsent: list[Envelope] = []
        self._is_connecting = False
        self._is_closed = False
        self._calls_by_number: dict[int, _PendingCall] = {}
        self._received_s = 0.0

    async def call(self, message: Message, *, timeout_s: float) -> Result[Message, PeerFault]:
        """Send a message and wait for the answer.

        If nothing arrives in the meantime, the connection may have gone silent: the next message is
        sent on a new one, and the old one stays open for a while for the answers to earlier calls.
        """
        call, began_s = _PendingCall(), now_s()
        number = next(self._numbers)
        self._calls_by_number[number] = call
        self._put(Envelope(number, False, message))
        try:
            with trio.move_on_after(timeout_s):
                await call.done.wait()
            if not call.done.is_set() and self._received_s < began_s:
                self._retire()
            return call.answer
        finally:
            del self._calls_by_number[number]

    def post(self, message: Message) -> None:
        """Send a message that has no answer, without waiting."""
        self._put(Envelope(0, False, message))

    def close(self) -> None:
        """Close the connection for good and fail the calls in flight."""
        self._is_closed = True
        self._fail_calls(PeerFault.BROKEN)
        if self._scope is not None:
            self._scope.cancel()

    def _put(self, envelope: Envelope) -> None:
        if self._writer is not None:
            self._writer.put(envelope)
            return
        self._unsent.append(envelope)
        if not self._is_connecting:
            self._is_connecting = True
            self._nursery.start_soon(self._run)

    async def _run(self) -> None:
        """Connect, send what has been queued, and serve the connection until it ends."""
        try:
            connected = await self._connect()
        finally:
            self._is_connecting = False
        unsent, self._unsent = self._unsent, []
        if isinstance(connected, Err):
            self._fail_calls(connected.err_value)
            self._on_fault(connected.err_value)
            return
        stream = connected.ok_value
        if self._is_closed:
            stream.socket.close()
            return
        writer = self._writer = FrameWriter(stream)
        for envelope in unsent:
            writer.put(envelope)
        try:
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                nursery.start_soon(writer.run)
                await self._read(stream)
                nursery.cancel_scope.cancel()
        except* PEER_LINK_ERRORS:
            # The calls in flight fail below; the next one reports a peer that stays away.
            pass
        finally:
            stream.socket.close()
            if self._writer is writer:
                self._writer = self._scope = None
                self._fail_calls(PeerFault.BROKEN)

    async def _connect(self) -> Result[trio.SocketStream, PeerFault]:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return Ok(await open_tcp_stream(self.address, tcp_timeout_s=SILENCE_LIMIT_S))
        except ConnectionRefusedError:
            return Err(PeerFault.REFUSED)
        except (OSError, trio.TooSlowError):
            return Err(PeerFault.UNREACHED)

    async def _read(self, stream: trio.SocketStream) -> None:
        reader = FrameReader(stream)
        while (envelope := await reader.read()) is not None:
            self._received_s = now_s()
            self._on_received()
            call = self._calls_by_number.get(envelope.number)
            if call is not None:
                call.answer = Ok(envelope.message)
                call.done.set()

    def _retire(self) -> None:
        """Use a new connection from now on, and close the present one later."""
        scope, self._scope, self._writer = self._scope, None, None
        if scope is not None:
            scope.deadline = trio.current_time() + SILENCE_LIMIT_S

    def _fail_calls(self, fault: PeerFault) -> None:
        for call in self._calls_by_number.values():
            if not call.done.is_set():
                call.answer = Err(fault)
                call.done.set()
