"""Finds the software version at which a stream that is taken up must go on.

Reads `replicas` and `live`. While a service has replicas of several versions, the instance that
begins a stream tells its version to the stream's homes, the first live instances by rendezvous
hashing of the first request's id, before it passes the first event on. An instance where the stream
is taken up asks them. One more is asked than is told, since an instance that has joined may have
become the first. A home that does not know a stream tells if there was one version all the while.
See `lagoonfold.forwarding.VersionHistory` for streams that nobody remembers.
"""

import heapq
import math
from collections import defaultdict

import trio
from result import Err, Ok, Result

from lagoonfold import rendezvous_weight
from lagoonfold.forwarding import ReplicaDirectory, StreamOrigin, StreamOrigins, VersionHistory
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import (
    Ack,
    Message,
    StreamOriginAnswer,
    StreamOriginNote,
    StreamOriginQuery,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

HOMES_TOLD = 3  # two instances may be lost at the same time
HOMES_ASKED = 4
QUERY_TIMEOUT_S = 0.15  # some hundred times the latency to a peer

_log = EventLog("versions")


class VersionController:
    """Tells and finds out where streams began."""

    def __init__(self, board: GatewayBoard, bus: PeerBus, *, is_first_start: bool) -> None:
        self._board = board
        self._bus = bus
        known_since_s = -math.inf if is_first_start else now_s()
        self._history_by_service: dict[str, VersionHistory] = defaultdict(
            lambda: VersionHistory(known_since_s)
        )
        self._origins = StreamOrigins()
        bus.register_handler(StreamOriginNote)(self._handle_note)
        bus.register_handler(StreamOriginQuery)(self._handle_query)
        board.replicas.subscribe(self._observe)

    def record_begun(self, stream_id: str, origin: StreamOrigin) -> None:
        """Remember where a stream begins or goes on; call this before an event is passed on."""
        if not self._history_by_service[origin.service].has_several(now_s=now_s()):
            return
        self._origins.remember(stream_id, origin, now_s=now_s())
        note = StreamOriginNote(stream=stream_id, service=origin.service, version=origin.version)
        for home in self._homes(stream_id, HOMES_TOLD):
            self._bus.post(home, note)

    async def find(self, stream_id: str | None, service: str) -> Result[StreamOrigin | None, str]:
        """Return where a stream began, None if its version does not matter.

        `service` is that of the caller's request. An error says why the version is not known.
        """
        history = self._history_by_service[service]
        if not history.has_several(now_s=now_s()):
            return Ok(None)
        origin = None
        if stream_id is not None:
            origin = self._origins.recall(stream_id, now_s=now_s())
            origin = origin or await self._ask_homes(stream_id, service)
        if origin is not None:
            return Ok(origin)
        version = history.version_of_forgotten(now_s=now_s())
        _log.info("stream.origin_unknown", stream=stream_id, service=service, taken=str(version))
        if isinstance(version, Err):
            return version
        return Ok(None if version.ok_value is None else StreamOrigin(service, version.ok_value))

    async def _ask_homes(self, stream_id: str, service: str) -> StreamOrigin | None:
        """Ask a stream's homes at the same time; return the first origin that one knows."""
        query = StreamOriginQuery(stream=stream_id, service=service)
        found: list[StreamOrigin] = []
        async with trio.open_nursery() as nursery:

            async def ask(home: str) -> None:
                answer = await self._bus.call(home, query, timeout_s=QUERY_TIMEOUT_S)
                if isinstance(answer, Ok) and isinstance(answer.ok_value, StreamOriginAnswer):
                    if answer.ok_value.version is not None:
                        found.append(StreamOrigin(answer.ok_value.service, answer.ok_value.version))
                        nursery.cancel_scope.cancel()

            for home in self._homes(stream_id, HOMES_ASKED):
                nursery.start_soon(ask, home)
        return found[0] if found else None

    def _homes(self, stream_id: str, count: int) -> list[str]:
        """Return the other instances among the first live ones for a stream."""
        ids = self._board.live.read().ids
        homes = heapq.nlargest(count, ids, key=lambda key: rendezvous_weight(stream_id, key))
        return [home for home in homes if home != self._bus.own_id]

    def _handle_note(self, note: Message) -> Message:
        assert isinstance(note, StreamOriginNote)
        origin = StreamOrigin(note.service, note.version)
        self._origins.remember(note.stream, origin, now_s=now_s())
        return Ack()

    def _handle_query(self, query: Message) -> Message:
        assert isinstance(query, StreamOriginQuery)
        origin = self._origins.recall(query.stream, now_s=now_s())
        if origin is None:
            version = self._history_by_service[query.service].only_version(now_s=now_s())
            return StreamOriginAnswer(service=query.service, version=version)
        return StreamOriginAnswer(service=origin.service, version=origin.version)

    def _observe(self, directory: ReplicaDirectory) -> None:
        versions_by_service: dict[str, set[str]] = defaultdict(set)
        for replica in directory.all():
            versions_by_service[replica.service].add(replica.version)
        for service, versions in versions_by_service.items():
            self._history_by_service[service].observe(versions, now_s=now_s())
