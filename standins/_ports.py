"""Free loopback ports for stand-ins, instances and benchmarks.

Ports are below the range that the operating system uses for outgoing connections. A port in that
range could be taken by a connection after a process is killed, before its successor listens there.
"""

import random
import socket

_FIRST_PORT = 10_000
_LAST_PORT = 31_999
_random = random.SystemRandom()
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free now and that this process has not returned before."""
    while True:
        port = _random.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
