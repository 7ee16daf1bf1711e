"""A TCP connection's way between two instances, which a test can cut or silence.

    wire = Wire.start("127.0.0.1:7001")     # dial wire.address instead of 127.0.0.1:7001
    wire.silence()                          # open connections say nothing from now on
    wire.cut()                              # open connections end
    wire.close()

New connections always work: what goes silent is what is open, as when something between the two
ends has lost track of it.
"""

import threading
from dataclasses import dataclass, field

import trio

RECEIVE_BYTES = 65_536


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection through the wire; bytes of a silent one are taken and dropped."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_silent: bool = False


class Wire:
    """A loopback forwarder in a thread of its own."""

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
        """Return a wire that listens at its `address` and leads to the target."""
        wire = cls(target)
        wire._thread.start()
        wire._started.wait()
        return wire

    def silence(self) -> None:
        """Let the open connections stay open and pass nothing more."""
        trio.from_thread.run_sync(self._silence, trio_token=self._token)

    def cut(self) -> None:
        """End the open connections."""
        trio.from_thread.run_sync(self._cut, trio_token=self._token)

    def close(self) -> None:
        """End the wire with its connections."""
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
                nursery.start_soon(trio.serve_listeners, self._connect, listeners)
                self._started.set()

    async def _connect(self, near: trio.SocketStream) -> None:
        connection = _Connection()
        self._open.add(connection)
        host, _, port = self._target.rpartition(":")
        try:
            with connection.scope:
                far = await trio.open_tcp_stream(host, int(port))
                async with far, trio.open_nursery() as nursery:
                    nursery.start_soon(self._pass, connection, near, far)
                    nursery.start_soon(self._pass, connection, far, near)
        except* OSError:
            pass
        finally:
            self._open.discard(connection)

    async def _pass(
        self, connection: _Connection, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        """Pass bytes one way until the source ends; the connection ends with it."""
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if not connection.is_silent:
                    await sink.send_all(data)
                    self.passed_bytes += len(data)
        except trio.BrokenResourceError:
            pass
        if not connection.is_silent:
            connection.scope.cancel()
