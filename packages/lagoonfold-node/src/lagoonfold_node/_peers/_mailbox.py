"""Sockets of the peer bus: one that listens, and one per peer that sends."""

from collections import deque

import pynng
import trio

RECEIVE_BUFFER_MESSAGES = 1024
SEND_BUFFER_MESSAGES = 256
MAX_QUEUED_BYTES = 8_388_608
MAX_MESSAGE_BYTES = 16_777_216
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 500
MAX_RECEIVE_BATCH = 64
SEND_RETRY_S = 0.002


class Inbox:
    """The socket on which an instance receives."""

    def __init__(self, address: str) -> None:
        self._socket = pynng.Pull0()
        self._socket.recv_buffer_size = RECEIVE_BUFFER_MESSAGES
        self._socket.recv_max_size = MAX_MESSAGE_BYTES
        listener = self._socket.listen(f"tcp://{address}")
        self.port: int = listener.local_address.port
        # nng reports the port in network byte order.
        self.port = int.from_bytes(self.port.to_bytes(2, "little"), "big")
        self._receive_fileno: int = self._socket.recv_fd
        self._is_drained = False

    async def receive(self) -> list[bytes]:
        """Wait for messages and return those that are ready, at most `MAX_RECEIVE_BATCH`."""
        batch: list[bytes] = []
        while not batch:
            if self._is_drained:
                await trio.lowlevel.wait_readable(self._receive_fileno)
            else:
                await trio.lowlevel.checkpoint()
            batch = self._receive_ready()
        return batch

    def _receive_ready(self) -> list[bytes]:
        batch: list[bytes] = []
        try:
            while len(batch) < MAX_RECEIVE_BATCH:
                batch.append(self._receive_one())
            self._is_drained = False
        except pynng.TryAgain:
            self._is_drained = True
        return batch

    def _receive_one(self) -> bytes:
        try:
            return self._socket.recv(block=False)
        except RuntimeError:
            # pynng cannot unpack an empty message.
            return b""

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Outbox:
    """The queue of messages to one peer, and the socket that sends them in order."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = trio.Event()
        self._socket = self._open()

    def _open(self) -> pynng.Push0:
        socket = pynng.Push0()
        socket.send_buffer_size = SEND_BUFFER_MESSAGES
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        socket.dial(f"tcp://{self.address}", block=False)
        return socket

    def put(self, data: bytes) -> bool:
        """Send now if the socket accepts it, else queue; return False if the queue is full."""
        if not self._queue and self._try_send(data):
            return True
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    def _try_send(self, data: bytes) -> bool:
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def run(self) -> None:
        """Send queued messages until cancelled."""
        while True:
            await self._wake.wait()
            while self._queue and self._try_send(self._queue[0]):
                self._queued_bytes -= len(self._queue.popleft())
            if self._queue:
                await trio.sleep(SEND_RETRY_S)
            else:
                self._wake = trio.Event()

    def reconnect(self) -> None:
        """Close the connection, drop all unsent messages, and dial a new connection."""
        self._socket.close()
        self._queue.clear()
        self._queued_bytes = 0
        self._socket = self._open()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
