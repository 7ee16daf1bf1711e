"""Whether a socket has input, asked without waiting."""

import select

import trio


def is_readable(stream: trio.SocketStream) -> bool:
    """Tell whether input, or the end of input, is there to be read at once."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
