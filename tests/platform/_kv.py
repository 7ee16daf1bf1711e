"""A stand-in of the key-value service in the test's own trio loop, and a store that calls it."""

from collections.abc import Awaitable, Callable

import trio

from lagoonfold_io import EtcdStore, HttpClient
from standins import kv
from standins._kv_faults import FaultPlan, Faults


class KvFixture:
    """A running stand-in and a store that calls it."""

    def __init__(self, service: kv.KvService, address: str) -> None:
        self.service = service
        self.address = address
        self.store = self.connect()

    def connect(self, **options: float) -> EtcdStore:
        """Return a new store with a call rate of its own."""
        settings = {"calls_per_s": 10_000.0, "call_timeout_s": 0.5, **options}
        return EtcdStore(HttpClient(), self.address, **settings)

    def set_faults(self, **fields: object) -> None:
        """Replace the faults that the stand-in injects."""
        self.service.faults = Faults.of(FaultPlan(**fields))


def run_with_kv(check: Callable[[KvFixture], Awaitable[None]]) -> None:
    """Run a check against a fresh stand-in."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            service = kv.KvService()

            async def serve(task_status: trio.TaskStatus[int]) -> None:
                await kv.serve("127.0.0.1", 0, service=service, task_status=task_status)

            port = await nursery.start(serve)
            await check(KvFixture(service, f"127.0.0.1:{port}"))
            nursery.cancel_scope.cancel()

    trio.run(run)
