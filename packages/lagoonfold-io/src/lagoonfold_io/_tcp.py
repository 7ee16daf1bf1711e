"""TCP connections that break when the other end stops acknowledging."""

import math
import socket
from typing import Protocol

import trio
from result import Err

from lagoonfold import split_address

MILLISECONDS_PER_S = 1_000
KEEPALIVE_PROBES = 2  # unanswered probes after which a connection breaks


class StreamOpener(Protocol):
    """Opens a connection to `host:port`; raises `OSError` if it cannot be made."""

    async def __call__(self, address: str, *, tcp_timeout_s: float) -> trio.SocketStream:
        """Return the connection, with its TCP timeout set in seconds."""


async def open_tcp_stream(address: str, *, tcp_timeout_s: float) -> trio.SocketStream:
    """Connect to `host:port` and set the connection's TCP timeout in seconds.

    Raises `OSError` if the connection cannot be made.
    """
    split = split_address(address)
    if isinstance(split, Err):
        raise OSError(split.err_value)
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_tcp_timeout(sock, tcp_timeout_s)
        await sock.connect(split.ok_value)
    except ValueError as error:
        sock.close()
        raise OSError(f"host of address {address!r} cannot be looked up: {error}") from error
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def set_tcp_timeout(sock: trio.socket.SocketType, tcp_timeout_s: float) -> None:
    """Make a connection break, idle or not, after that many seconds without acknowledgements."""
    probe_s = max(1, math.ceil(tcp_timeout_s / (KEEPALIVE_PROBES + 1)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_user_timeout(sock, tcp_timeout_s)


def set_user_timeout(sock: trio.socket.SocketType, user_timeout_s: float) -> None:
    """Change after how long a connection breaks; it also decides when keep-alive gives up."""
    limit_ms = int(user_timeout_s * MILLISECONDS_PER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
