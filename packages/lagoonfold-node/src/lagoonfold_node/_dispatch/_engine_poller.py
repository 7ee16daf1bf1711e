"""Poll the engines for load reports and cache events."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
import trio
from result import Err

from lagoonfold import ProgramId, UpstreamId
from lagoonfold.scheduling import CacheEvent, CacheEventKind, LoadReport
from lagoonfold_io import HttpClient, HttpRequest
from lagoonfold_node._dispatch._table import UpstreamState, UpstreamTable

LOAD_INTERVAL_S = 0.5
EVENTS_EVERY_ROUNDS = 2
MAX_POLLS_PER_S = 16.0
POLL_TIMEOUT_S = 1.0


class _LoadBody(msgspec.Struct, frozen=True):
    running: int
    waiting: int
    slots: int
    cached_tokens: int = 0
    capacity_tokens: int = 0


class _EventBody(msgspec.Struct, frozen=True):
    seq: int
    kind: CacheEventKind
    cache_key: str
    tokens: int


class _EventsBody(msgspec.Struct, frozen=True):
    events: tuple[_EventBody, ...]
    next: int


class EnginePoller:
    """Updates the upstream table from what the engines publish.

    The more engines there are, the less often each is polled, so that all polls together stay
    under `MAX_POLLS_PER_S`. Between two reports, an engine's load is estimated from the calls sent
    to it.

    An engine that returns a lower event number than the one requested has restarted at the same
    address, so its events are read from the beginning.

    A failed poll changes nothing: the health of an engine is determined by calls, not by polls.
    """

    def __init__(
        self, table: UpstreamTable, client: HttpClient, on_change: Callable[[], None]
    ) -> None:
        self._table = table
        self._client = client
        self._on_change = on_change
        self._polling: set[UpstreamId] = set()

    async def run(self) -> None:
        """Poll until cancelled; a slow engine doesn't delay the polls of others."""
        round_number = 0
        async with trio.open_nursery() as nursery:
            while True:
                has_events = round_number % EVENTS_EVERY_ROUNDS == 0
                engines = self._table.candidates()
                for state in engines:
                    if state.load.upstream_id not in self._polling:
                        nursery.start_soon(self._poll, state.load.upstream_id, state, has_events)
                round_number += 1
                await trio.sleep(poll_interval_s(len(engines)))

    async def _poll(self, upstream_id: UpstreamId, state: UpstreamState, has_events: bool) -> None:
        self._polling.add(upstream_id)
        try:
            await self._poll_load(state)
            if has_events:
                await self._poll_events(upstream_id, state)
        finally:
            self._polling.discard(upstream_id)

    async def _poll_load(self, state: UpstreamState) -> None:
        body = await self._get(state, "/v1/load", "")
        if body is None:
            return
        try:
            load = msgspec.json.decode(body, type=_LoadBody)
        except msgspec.DecodeError:
            return
        report = LoadReport(
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            cached_tokens=load.cached_tokens,
            capacity_tokens=load.capacity_tokens,
        )
        state.load.record_report(report, now_s=trio.current_time())
        self._on_change()

    async def _poll_events(self, upstream_id: UpstreamId, state: UpstreamState) -> None:
        body = await self._get(state, "/v1/cache/events", f"after={state.next_event}")
        if body is None:
            return
        try:
            answer = msgspec.json.decode(body, type=_EventsBody)
        except msgspec.DecodeError:
            return
        if answer.next < state.next_event:
            state.next_event = 0
            self._table.prefixes.reset_sequence(upstream_id)
            return
        state.next_event = answer.next
        for event in answer.events:
            self._table.prefixes.apply_event(upstream_id, _to_cache_event(event))

    async def _get(self, state: UpstreamState, path: str, query: str) -> bytes | None:
        request = HttpRequest(method="GET", path=path, query=query)
        address = state.listed.address
        answer = await self._client.fetch(address, request, timeout_s=POLL_TIMEOUT_S)
        if isinstance(answer, Err) or answer.ok_value.status != HTTPStatus.OK:
            return None
        return answer.ok_value.body


def poll_interval_s(engines: int) -> float:
    """Return the interval between two polls of the same engine, in seconds."""
    requests = engines * (1 + 1 / EVENTS_EVERY_ROUNDS)
    return max(LOAD_INTERVAL_S, requests / MAX_POLLS_PER_S)


def _to_cache_event(body: _EventBody) -> CacheEvent:
    return CacheEvent(
        sequence=body.seq,
        kind=body.kind,
        program_id=ProgramId(body.cache_key),
        tokens=body.tokens,
    )
