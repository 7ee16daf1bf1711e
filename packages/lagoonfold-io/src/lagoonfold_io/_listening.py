"""Accepting and ending connections of a server."""

import trio

from lagoonfold_io._http_exchange import CONNECTION_ERRORS
from lagoonfold_io._http_messages import READ_SIZE_BYTES

_LINGER_S = 1.0


class KeptOpenListener(trio.abc.Listener[trio.SocketStream]):
    """A listener that stays open when `trio.serve_listeners` ends."""

    def __init__(self, listener: trio.SocketListener) -> None:
        self._listener = listener

    async def accept(self) -> trio.SocketStream:
        return await self._listener.accept()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


async def linger(stream: trio.SocketStream) -> None:
    """Read and drop further input for up to `_LINGER_S` seconds.

    Closing with unread input resets the connection, and the client may lose the response.
    """
    try:
        await stream.send_eof()
        with trio.move_on_after(_LINGER_S):
            while await stream.receive_some(READ_SIZE_BYTES):
                pass
    except CONNECTION_ERRORS:
        pass
