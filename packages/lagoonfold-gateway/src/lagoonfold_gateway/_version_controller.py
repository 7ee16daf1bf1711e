"""Finds the service and software version at which a stream that is taken up must go on.

Reads `replicas` and `live`. While a service has replicas of several versions, or a route is split
between services, the instance that begins a stream tells its origin to the stream's homes, the
first live instances by rendezvous hashing of the first request's id, before it passes the first
event on. An instance where the stream is taken up asks them, also if it knows of one version only:
it may have been frozen or cut off while another came. One more is asked than is told, since an
instance that has joined may have become the first. All others are asked only of a stream that no
home remembers, shortly after a version came.
See `lagoonfold.forwarding.VersionHistory` for streams that nobody remembers.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

import trio
from result import Err, Ok, Result

from lagoonfold import rendezvous_weight
from lagoonfold.forwarding import (
    LOSS_MARGIN_S,
    UNREMEMBERED_AGE_S,
    ReplicaDirectory,
    StreamOrigin,
    StreamOrigins,
    StreamReport,
    VersionHistory,
    only_version_of,
    version_before_release,
)
from lagoonfold_gateway._board import GatewayBoard, LiveView
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
MAX_ROUNDS = 3  # of questions to homes, of which all have ended without a notice
QUERY_TIMEOUT_S = 0.15  # some hundred times the latency to a peer

_log = EventLog("versions")


class VersionController:
    """Tells and finds out where streams began.

    `told_ids` returns the instances that count as live, also while this one is cut off from them;
    `has_left` says whether an instance that is gone has stopped as planned.
    """

    def __init__(self, board: GatewayBoard, bus: PeerBus, *, is_first_start: bool) -> None:
        self._board = board
        self._bus = bus
        self.told_ids: Callable[[], tuple[str, ...]] = lambda: board.live.read().ids
        self.has_left: Callable[[str], bool] = lambda instance_id: False
        known_since_s = -math.inf if is_first_start else now_s()
        self._history_by_service: dict[str, VersionHistory] = defaultdict(
            lambda: VersionHistory(known_since_s)
        )
        self._origins = StreamOrigins()
        self._live_ids = frozenset(board.live.read().ids)
        self._left_s_by_id: dict[str, float] = {}
        self._lost_s_by_id: dict[str, float] = {}
        bus.register_handler(StreamOriginNote)(self._handle_note)
        bus.register_handler(StreamOriginQuery)(self._handle_query)
        board.replicas.subscribe(self._observe)
        board.live.subscribe(self._note_gone)

    def record_begun(self, stream_id: str, origin: StreamOrigin, *, is_split: bool = False) -> None:
        """Remember where a stream begins or goes on; call this before an event is passed on.

        With `is_split`, its route goes to several services, whose shares may change meanwhile.
        """
        history = self._history_by_service[origin.service]
        has_one = history.knows(origin.version) and not history.has_several(now_s=now_s())
        if has_one and not is_split:
            return
        self._origins.remember(stream_id, origin, now_s=now_s())
        note = StreamOriginNote(stream=stream_id, service=origin.service, version=origin.version)
        for home in self._homes(stream_id, self._board.live.read().ids, HOMES_TOLD):
            self._bus.post(home, note)

    async def find(self, stream_id: str | None, service: str) -> Result[StreamOrigin | None, str]:
        """Return where a stream began, None if its service has never had a replica.

        `service` is that of the caller's request. An error says why the version is not known.
        """
        if stream_id is None:
            version = self._version_without_id(service)
        else:
            origin = self._origins.recall(stream_id, now_s=now_s())
            origin = origin or await self._ask_homes(stream_id, service)
            if isinstance(origin, StreamOrigin):
                return Ok(origin)
            version = origin
        _log.info("stream.origin_unknown", stream=stream_id, service=service, taken=str(version))
        if isinstance(version, Err):
            return version
        return Ok(None if version.ok_value is None else StreamOrigin(service, version.ok_value))

    def _version_without_id(self, service: str) -> Result[str | None, str]:
        """Return the version of a stream whose first request the caller does not name."""
        history = self._history_by_service[service]
        if history.has_several(now_s=now_s()):
            return Err("the request that brought its first event is not named")
        return history.version_of_forgotten(now_s=now_s())

    async def _ask_homes(self, stream_id: str, service: str) -> StreamOrigin | Result[str, str]:
        """Return a stream's origin if one is remembered, or the version of a forgotten stream."""
        query = StreamOriginQuery(stream=stream_id, service=service)
        for _ in range(MAX_ROUNDS):
            homes = self._homes(stream_id, self.told_ids(), HOMES_ASKED)
            report_by_id = await self._ask(homes, query)
            if any(report_by_id.values()) or set(homes) <= set(self.told_ids()):
                break
        own = self._history_by_service[service].report(None, now_s=now_s())
        version = only_version_of(own, tuple(report_by_id.values()))
        if isinstance(version, Err) and own.version_before is not None:
            others = set(self.told_ids()).difference((self._bus.own_id,), report_by_id)
            report_by_id |= await self._ask(others, query)
            version = version_before_release(
                self._history_by_service[service].report(None, now_s=now_s()),
                report_by_id,
                left=_recent(self._left_s_by_id),
                lost=_recent(self._lost_s_by_id),
                copies=HOMES_TOLD,
            )
        remembered = (report.origin for report in report_by_id.values() if report is not None)
        return next((origin for origin in remembered if origin is not None), version)

    async def _ask(
        self, instance_ids: Iterable[str], query: StreamOriginQuery
    ) -> dict[str, StreamReport | None]:
        """Ask instances at the same time, until one remembers the stream or all have answered."""
        report_by_id: dict[str, StreamReport | None] = dict.fromkeys(instance_ids)
        async with trio.open_nursery() as nursery:

            async def ask(instance_id: str) -> None:
                answer = await self._bus.call(instance_id, query, timeout_s=QUERY_TIMEOUT_S)
                if isinstance(answer, Ok) and isinstance(answer.ok_value, StreamOriginAnswer):
                    report = report_by_id[instance_id] = _report_of(answer.ok_value)
                    if report.origin is not None:
                        nursery.cancel_scope.cancel()

            for instance_id in report_by_id:
                nursery.start_soon(ask, instance_id)
        return report_by_id

    def _homes(self, stream_id: str, ids: tuple[str, ...], count: int) -> list[str]:
        """Return the other instances among the first ones for a stream."""
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
        if origin is not None:
            return StreamOriginAnswer(
                service=origin.service, version=origin.version, is_remembered=True
            )
        history = self._history_by_service[query.service]
        report = history.report(None, now_s=now_s())
        return StreamOriginAnswer(
            service=query.service,
            version=history.only_version(now_s=now_s()),
            is_remembered=False,
            versions=tuple(sorted(report.versions)),
            version_before=report.version_before,
            is_complete=report.is_complete,
        )

    def _observe(self, directory: ReplicaDirectory) -> None:
        versions_by_service: dict[str, set[str]] = defaultdict(set)
        for replica in directory.all():
            versions_by_service[replica.service].add(replica.version)
        for service, versions in versions_by_service.items():
            self._history_by_service[service].observe(versions, now_s=now_s())

    def _note_gone(self, view: LiveView) -> None:
        """Note when an instance is gone: what it was told of streams is lost with it."""
        for instance_id in self._live_ids.difference(view.ids):
            gone = self._left_s_by_id if self.has_left(instance_id) else self._lost_s_by_id
            gone[instance_id] = now_s()
        self._live_ids = frozenset(view.ids)


def _report_of(answer: StreamOriginAnswer) -> StreamReport:
    """Return the report in an answer; one from an earlier release has a version only."""
    is_told = answer.is_remembered is not False and answer.version is not None
    return StreamReport(
        origin=StreamOrigin(answer.service, answer.version) if is_told else None,
        versions=frozenset(answer.versions),
        version_before=answer.version_before,
        is_complete=answer.is_complete,
    )


def _recent(gone_s_by_id: dict[str, float]) -> set[str]:
    """Return the instances that are gone since a version that came lately was known anywhere."""
    since_s = now_s() - UNREMEMBERED_AGE_S - LOSS_MARGIN_S
    return {instance_id for instance_id, at_s in gone_s_by_id.items() if at_s >= since_s}
