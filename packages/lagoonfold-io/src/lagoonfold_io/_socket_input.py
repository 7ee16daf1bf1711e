"""A check for input on a socket that does not wait."""

import select

import trio


def is_readable(source: trio.SocketStream | trio.SocketListener) -> bool:
    """Return whether input, its end or a new connection can be had without waiting."""
    poll = select.poll()
    poll.register(source.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
