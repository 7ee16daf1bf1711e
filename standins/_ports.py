"""Loopback ports for stand-ins, instances and benches.

A port is chosen below the range from which the system takes the local ports of outgoing
connections. Otherwise the port of a process that was killed may be taken before its successor
listens there again.
"""

import random
import socket

_FIRST_PORT = 10_000
_LAST_PORT = 31_999
_random = random.SystemRandom()
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free at this moment and was not given before."""
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
