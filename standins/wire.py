"""A TCP proxy between two instances whose connections a test can cut or silence.

    wire = Wire.start("127.0.0.1:7001")     # dial wire.address instead of 127.0.0.1:7001
    wire.silence()                          # open connections pass no more bytes
    wire.cut()                              # open connections are closed
    wire.close()

Connections opened later work normally. A silent connection behaves like one that a device between
the two ends has lost track of.
"""

import threading
from dataclasses import dataclass, field

import trio

RECEIVE_BYTES = 65_536


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection through the proxy; bytes of a silent one are received and dropped."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_silent: bool = False


class Wire:
    """A TCP proxy on loopback in its own thread; `passed_bytes` counts the bytes forwarded."""

    def __init__(self, target: str) -> None:
        self.address = ""
        self.passed_bytes = 0
        self._target = target
        self._open: set[_Connection] = set()
        self._scope = trio.CancelScope()
        self._started = threading.Event()
        self._token: trio.lowlevel.TrioToken | None = None
        self._thread = threading.Thread(target=trio.run, args=(self._serve,), daemon=True)

    @classmethod
    def start(cls, target: str) -> "Wire":
        """Start a proxy that listens at its `address` and forwards to the target."""
        wire = cls(target)
        wire._thread.start()
        wire._started.wait()
        return wire

    def silence(self) -> None:
        """Keep the open connections open but forward nothing more through them."""
        trio.from_thread.run_sync(self._silence, trio_token=self._token)

    def cut(self) -> None:
        """Close the open connections."""
        trio.from_thread.run_sync(self._cut, trio_token=self._token)

    def close(self) -> None:
        """Close the open connections, stop the proxy and wait for its thread."""
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join()

    def _silence(self) -> None:
        for connection in self._open:
            connection.is_silent = True

    def _cut(self) -> None:
        for connection in self._open:
            connection.scope.cancel()

    async def _serve(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        self._token = trio.lowlevel.current_trio_token()
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._handle, listeners)
                self._started.set()

    async def _handle(self, client: trio.SocketStream) -> None:
        connection = _Connection()
        self._open.add(connection)
        host, _, port = self._target.rpartition(":")
        try:
            with connection.scope:
                server = await trio.open_tcp_stream(host, int(port))
                async with server, trio.open_nursery() as nursery:
                    nursery.start_soon(self._forward, connection, client, server)
                    nursery.start_soon(self._forward, connection, server, client)
        except* OSError:
            pass
        finally:
            self._open.discard(connection)

    async def _forward(
        self, connection: _Connection, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        """Forward bytes in one direction until the source ends, then close the connection.

        A silent connection stays open when its source ends.
        """
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if not connection.is_silent:
                    await sink.send_all(data)
                    self.passed_bytes += len(data)
        except trio.BrokenResourceError:
            pass
        if not connection.is_silent:
            connection.scope.cancel()
