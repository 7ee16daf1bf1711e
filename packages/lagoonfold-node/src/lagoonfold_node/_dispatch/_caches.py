"""Free the prefixes that engines have cached for programs that have ended."""

from collections.abc import Callable
from http import HTTPStatus

import trio
from result import Ok

from lagoonfold import ProgramId, UpstreamId
from lagoonfold_io import HttpClient, HttpRequest
from lagoonfold_node._dispatch._table import UpstreamTable

FREE_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 1.0
SWEEP_EVERY_ROUNDS = 10

_FREED_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.NO_CONTENT, HTTPStatus.NOT_FOUND})


class CacheEvictor:
    """Requests engines to free prefixes, repeatedly until each has answered or is unlisted.

    A periodic sweep also frees cached programs that ended without a request, such as after the
    owner crashed. All instances learn of cached programs from the engines' events; `is_gone`
    returns whether a program that is owned here has ended.
    """

    def __init__(
        self,
        table: UpstreamTable,
        client: HttpClient,
        *,
        is_gone: Callable[[ProgramId], bool] = lambda program_id: False,
    ) -> None:
        self._table = table
        self._client = client
        self._is_gone = is_gone
        self._pending: set[tuple[ProgramId, UpstreamId]] = set()
        self._wake = trio.Event()

    @property
    def pending(self) -> int:
        """The number of requests that engines have not answered yet."""
        return len(self._pending)

    def evict(self, program_id: ProgramId, *, all_engines: bool = False) -> None:
        """Free the prefixes of a program that ended or was cancelled, where they are known.

        With `all_engines`, the request goes to every engine: since events may be lost, the new
        owner of a program may not know of all engines that its former owner used.
        """
        upstream_ids = self._table.prefixes.forget_program(program_id)
        if all_engines:
            upstream_ids = self._table.engine_ids()
        for upstream_id in upstream_ids:
            self._pending.add((program_id, upstream_id))
        self._wake.set()

    async def run(self) -> None:
        """Send pending requests and sweep periodically, until cancelled."""
        round_number = 0
        while True:
            with trio.move_on_after(RETRY_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            round_number += 1
            if round_number % SWEEP_EVERY_ROUNDS == 0:
                self._sweep()
            await self._send_pending()

    def _sweep(self) -> None:
        for program_id in self._table.prefixes.programs():
            if self._is_gone(program_id):
                self.evict(program_id)

    async def _send_pending(self) -> None:
        async with trio.open_nursery() as nursery:
            for program_id, upstream_id in tuple(self._pending):
                nursery.start_soon(self._send, program_id, upstream_id)

    async def _send(self, program_id: ProgramId, upstream_id: UpstreamId) -> None:
        state = self._table.states_by_id.get(upstream_id)
        if state is None:
            self._pending.discard((program_id, upstream_id))
            return
        request = HttpRequest(method="DELETE", path=f"/v1/cache/{program_id}")
        address = state.listed.address
        answer = await self._client.fetch(address, request, timeout_s=FREE_TIMEOUT_S)
        if isinstance(answer, Ok) and answer.ok_value.status in _FREED_STATUSES:
            self._pending.discard((program_id, upstream_id))
