"""A check for input on a socket that does not wait."""

import select

import trio


def is_readable(stream: trio.SocketStream) -> bool:
    """Return whether input or the end of input can be read without waiting."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
