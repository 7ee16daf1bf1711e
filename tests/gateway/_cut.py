"""Cuts of an instance's paths to the replicas."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from lagoonfold_gateway import Gateway
from lagoonfold_io import open_tcp_stream


async def _hang(address: str, *, tcp_timeout_s: float) -> trio.SocketStream:
    await trio.sleep_forever()
    raise AssertionError


async def _refuse(address: str, *, tcp_timeout_s: float) -> trio.SocketStream:
    await trio.lowlevel.checkpoint()
    raise ConnectionRefusedError(111, "Connection refused")


@dataclass(frozen=True, slots=True)
class Cut:
    """A cut: what becomes of new connections to replicas, and whether open ones are closed."""

    open_stream: Callable[..., object]
    are_closed: bool

    def begin(self, gateway: Gateway) -> None:
        """Cut an instance off from all replicas."""
        gateway.client.open_stream = self.open_stream
        if self.are_closed:
            gateway.client.close()

    @staticmethod
    def end(gateway: Gateway) -> None:
        """End the cut."""
        gateway.client.open_stream = open_tcp_stream


CUTS = (
    Cut(_hang, are_closed=True),
    Cut(_refuse, are_closed=True),
    Cut(_refuse, are_closed=False),
    Cut(_hang, are_closed=False),
)
