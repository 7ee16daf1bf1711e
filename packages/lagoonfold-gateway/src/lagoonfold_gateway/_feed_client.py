"""Feeds the copies of this instance from those that read the store for all.

Reads `live`. One instance of each failure domain reads the store (see
`lagoonfold.liveness.plan_feeds`). The others poll the reader of their domain; if it does not
answer, or cannot vouch for its copies, the next one, and if nobody can, they read the store
themselves until somebody can again.
"""

from collections.abc import Awaitable

import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    Changes,
    Entry,
    Listing,
    WatchEvent,
    compress,
    decompress,
)
from lagoonfold.liveness import FeedPlan, plan_feeds
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import FeedAnswer, FeedChanges, FeedEntry, FeedPoll, Message
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._store_mirror import Feed, StoreMirror
from lagoonfold_io.observe import EventLog

WAIT_S = 2.5  # a reader answers at least as often, which shows that it can still be reached
ANSWER_TIMEOUT_S = 0.25  # beyond that; some hundred times the latency to a peer
BAD_SOURCE_S = 1.0  # for which a reader that failed is not asked again
MAX_SOURCES = 3  # asked before this instance reads the store itself
START_WAIT_S = 0.1  # for peers that are listed; those that live answer within some ms
START_GRACE_S = 0.1  # for readers that start at the same time to read the store
PLAN_SETTLED_S = 0.5  # while many instances come, each is a reader of its failure domain at first
MIN_READ_S = 2.0  # an instance that has begun to read goes on for as long, at least
PLAN_INTERVAL_S = 0.25  # between looks at the plan
RETRY_PAUSE_S = 0.1  # between polls that failed at once
READER_PAUSE_S = 0.5  # bounds the time until a reader notices that the store is back
OTHERS_PAUSE_S = 2.0  # the readers notice it before
COMPRESS_FROM_BYTES = 1_024
MAX_VALUE_BYTES = 16_777_216  # of a value that another instance has compressed

_log = EventLog("feeds")


class FeedClient:
    """Keeps the copies of one instance fresh, and answers the polls of others."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        members: MemberController,
        mirror: StoreMirror,
        nursery: TaskStarter,
    ) -> None:
        self._board = board
        self._bus = bus
        self._members = members
        self._mirror = mirror
        self._nursery = nursery
        self._plan = FeedPlan(is_reader=False, sources=())
        self._is_plan_outdated = True
        self._bad_until_s_by_id: dict[str, float] = {}
        self._source: str | None = None
        self._started_s = now_s()
        self._planned_s = now_s()
        self._read_since_s = 0.0
        self._is_beginning = False
        self._poll_scope: trio.CancelScope | None = None
        bus.register_handler(FeedPoll)(self._handle_poll)
        board.live.subscribe(self._note_live)
        mirror.on_follow = self._poll_again

    def refresh(self, prefix: str) -> None:
        """Find out what is missing below a prefix: a peer has seen changes that are not told here.

        A reader lists the prefix anew, others ask another reader.
        """
        if self._mirror.is_reading:
            self._mirror.read_again(prefix)
        elif self._source is not None:
            self._reject(self._source, "it is behind")
            self._poll_again()

    def _poll_again(self) -> None:
        """End the poll that is waiting; the next one has all prefixes that are followed now."""
        if self._poll_scope is not None:
            self._poll_scope.cancel()

    async def run(self) -> None:
        """Feed the copies until cancelled."""
        await self._wait_for_peers()
        self._started_s = now_s()
        while True:
            self._update_plan()
            is_settled = now_s() - self._planned_s > PLAN_SETTLED_S
            if self._plan.is_reader and (is_settled or not self._has_listings()):
                self._begin_to_read("reader of its failure domain", READER_PAUSE_S)
            if self._plan.is_reader and all(map(self._mirror.is_healthy, self._mirror.feeds)):
                await trio.sleep(PLAN_INTERVAL_S)
            else:
                await self._ask_next()

    def _has_listings(self) -> bool:
        return all(feed.mirror.is_listed for feed in self._mirror.feeds)

    async def _wait_for_peers(self) -> None:
        """Wait until those that the store lists have answered, or are known not to."""
        with trio.move_on_after(START_WAIT_S):
            await self._members.is_listed.wait()
            while self._members.expects_others() and len(self._board.live.read().ids) < 2:
                await trio.sleep(START_WAIT_S / 10)

    async def _ask_next(self) -> None:
        """Poll the first source that is not known to be bad."""
        now = now_s()
        sources = [
            source
            for source in self._plan.sources[:MAX_SOURCES]
            if self._bad_until_s_by_id.get(source, 0.0) <= now
        ]
        if not sources:
            await self._go_on_alone()
            return
        self._source = sources[0]
        # What this instance reads itself is not to wait for another one's answer.
        wait_s = 0.0 if self._mirror.is_reading else WAIT_S
        with trio.CancelScope() as self._poll_scope:
            self._apply_answer(self._source, await self._poll(self._source, wait_s))
            if self._mirror.is_reading:
                await trio.sleep(PLAN_INTERVAL_S)
        self._poll_scope = None

    async def _go_on_alone(self) -> None:
        """Read the store, as no reader can be asked; shortly after a start, one may begin soon."""
        is_starting = now_s() - self._started_s < START_GRACE_S
        if is_starting and self._plan.sources and not self._plan.is_reader:
            self._bad_until_s_by_id.clear()
            await trio.sleep(START_GRACE_S / 10)
            return
        self._mirror.record_unfed()
        pause_s = READER_PAUSE_S if self._plan.is_reader else OTHERS_PAUSE_S
        self._begin_to_read("no reader answers", pause_s)
        await trio.sleep(RETRY_PAUSE_S)

    async def _poll(self, source: str, wait_s: float) -> Result[Message, PeerFault]:
        revision_by_prefix = {feed.prefix: feed.mirror.revision for feed in self._mirror.feeds}
        poll = FeedPoll(revision_by_prefix=revision_by_prefix, wait_s=wait_s)
        return await self._bus.call(source, poll, timeout_s=wait_s + ANSWER_TIMEOUT_S)

    def _apply_answer(self, source: str, answer: Result[Message, PeerFault]) -> None:
        if not isinstance(answer, Ok) or not isinstance(answer.ok_value, FeedAnswer):
            reason = answer.err_value.value if isinstance(answer, Err) else "unknown message"
            self._reject(source, reason)
            return
        if not answer.ok_value.is_healthy:
            self._reject(source, "it does not read the store")
            return
        for changes in answer.ok_value.feeds:
            applied = _apply_changes(self._mirror.follow(changes.prefix), changes)
            if isinstance(applied, Err):
                self._reject(source, applied.err_value)
                return
        self._mirror.record_fed()
        if not self._plan.is_reader and now_s() - self._read_since_s > MIN_READ_S:
            self._mirror.stop_reading()

    def _reject(self, source: str, reason: str) -> None:
        self._bad_until_s_by_id[source] = now_s() + BAD_SOURCE_S
        if self._source == source:
            self._source = None
            _log.info("feeds.source_rejected", source=source, reason=reason)

    def _begin_to_read(self, reason: str, max_pause_s: float) -> None:
        if not self._mirror.is_reading and not self._is_beginning:
            self._is_beginning = True
            self._read_since_s = now_s()
            self._nursery.start_soon(self._read, reason, max_pause_s)

    async def _read(self, reason: str, max_pause_s: float) -> None:
        self._is_beginning = False
        await self._mirror.read(reason=reason, max_pause_s=max_pause_s)

    def _note_live(self, view: LiveView) -> None:
        """Ask another reader at once if the present one is not live any more."""
        self._is_plan_outdated = True
        if self._source is not None and self._source not in view.ids:
            self._source = None
            self._poll_again()

    def _update_plan(self) -> None:
        if not self._is_plan_outdated:
            return
        self._is_plan_outdated = False
        domain_by_id: dict[str, str] = {}
        for instance_id in self._board.live.read().ids:
            status = self._members.status(instance_id)
            domain_by_id[instance_id] = status.failure_domain if status is not None else ""
        before, self._plan = self._plan, plan_feeds(self._bus.own_id, domain_by_id)
        if self._plan.is_reader != before.is_reader:
            self._planned_s = now_s()

    def _handle_poll(self, poll: Message) -> Awaitable[Message]:
        assert isinstance(poll, FeedPoll)
        return self._answer(poll)

    async def _answer(self, poll: FeedPoll) -> Message:
        """Answer at the first change, or when the time is over, or at once if unhealthy."""
        feeds = {prefix: self._mirror.follow(prefix) for prefix in poll.revision_by_prefix}
        until_s = now_s() + poll.wait_s
        while all(map(self._mirror.can_vouch, feeds.values())):
            are_listed = all(feed.mirror.is_listed for feed in feeds.values())
            changed = [
                changes
                for prefix, revision in poll.revision_by_prefix.items()
                if are_listed and (changes := _changes_of(feeds[prefix], revision)) is not None
            ]
            if changed or now_s() >= until_s:
                return FeedAnswer(is_healthy=are_listed, feeds=tuple(changed))
            await _wait_for_any(list(feeds.values()), until_s - now_s())
        return FeedAnswer(is_healthy=False)


async def _wait_for_any(feeds: list[Feed], wait_s: float) -> None:
    """Wait until one of some feeds changes, for a while."""
    with trio.move_on_after(max(0.0, wait_s)):
        async with trio.open_nursery() as nursery:

            async def wait(feed: Feed) -> None:
                await feed.changed.wait()
                nursery.cancel_scope.cancel()

            for feed in feeds:
                nursery.start_soon(wait, feed)


def _changes_of(feed: Feed, revision: int) -> FeedChanges | None:
    """Return what an instance that knows changes up to a revision is to be told, None if nothing.

    A revision of 0, or one from before the copy begins, is told the whole list.
    """
    changes = feed.mirror.changes_after(revision) if revision else None
    if changes is None:
        listing = feed.mirror.listing()
        entries = tuple(_pack(feed, entry, entry.revision) for entry in listing.entries)
        return FeedChanges(feed.prefix, listing.revision, True, entries)
    if not changes.events:
        return None
    entries = tuple(_pack(feed, event.entry, event.revision) for event in changes.events)
    return FeedChanges(feed.prefix, changes.revision, False, entries)


def _pack(feed: Feed, entry: Entry, revision: int) -> FeedEntry:
    """Return an entry as it is sent; large values are compressed once for all who ask."""
    if entry.revision == ABSENT_REVISION:
        return FeedEntry(entry.key, None, revision)
    if len(entry.value) < COMPRESS_FROM_BYTES:
        return FeedEntry(entry.key, entry.value, revision)
    packed = feed.packed_by_key.get(entry.key)
    if packed is None or packed[0] != entry.revision:
        packed = feed.packed_by_key[entry.key] = (entry.revision, compress(entry.value))
    return FeedEntry(entry.key, packed[1], revision, is_compressed=True)


def _unpack(packed: FeedEntry) -> Result[Entry, str]:
    value, revision = packed.value or b"", packed.revision
    if packed.value is None:
        revision = ABSENT_REVISION
    elif packed.is_compressed:
        content = decompress(packed.value, max_bytes=MAX_VALUE_BYTES)
        if isinstance(content, Err):
            return content
        value = content.ok_value
    return Ok(Entry(key=packed.key, value=value, revision=revision))


def _apply_changes(feed: Feed, changes: FeedChanges) -> Result[None, str]:
    """Apply what a reader tells; with an error, which says what is wrong, nothing is applied."""
    entries: list[Entry] = []
    for packed in changes.entries:
        entry = _unpack(packed)
        if isinstance(entry, Err):
            return Err(f"entry {packed.key!r}: {entry.err_value}")
        entries.append(entry.ok_value)
    if changes.is_listing:
        feed.apply_listing(Listing(entries=tuple(entries), revision=changes.revision))
        return Ok(None)
    events = tuple(
        WatchEvent(entry=entry, revision=packed.revision)
        for entry, packed in zip(entries, changes.entries, strict=True)
    )
    feed.apply(Changes(events=events, revision=changes.revision))
    return Ok(None)
