"""Copies of what instances follow in the store, read from the store or from other instances.

`StoreMirror` answers listings and polls from the copies, so that watches work as on the store. An
instance that reads for others, or that finds nobody to ask, follows the store itself; the others
ask a reader (`_feed_client`). While the copies are not fresh, calls fail as those of a store that
does not answer.
"""

from collections.abc import Callable

import trio
from result import Err, Ok, Result

from lagoonfold import Changes, Listing, StoreError, StoreErrorKind, WatchEvent
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._entry_mirror import EntryMirror
from lagoonfold_gateway._store_watch import PollTerms, ReadableStore, StoreGate, StoreWatch
from lagoonfold_io.observe import EventLog

CHECK_INTERVAL_S = 0.2  # between looks whether a copy is still fresh
FRESH_S = 3.5  # after the last answer of a reader, which answers at least every 2.5 s
HISTORY_LOST = StoreError(kind=StoreErrorKind.HISTORY_LOST, detail="the copy begins later")
NOT_FRESH = StoreError(
    kind=StoreErrorKind.UNAVAILABLE, detail="neither the store nor a reader of it answers"
)

_log = EventLog("feeds")


class Feed:
    """The copy below one prefix, and the watch that reads the store for it.

    `packed_by_key` has values as they are sent to other instances, with their revisions.
    """

    def __init__(
        self, prefix: str, store: ReadableStore, gate: StoreGate, terms: PollTerms
    ) -> None:
        self.prefix = prefix
        self.mirror = EntryMirror()
        self.changed = trio.Event()
        self.packed_by_key: dict[str, tuple[int, bytes]] = {}
        self._gathered: list[WatchEvent] = []
        self.watch = StoreWatch(
            store,
            prefix,
            on_listing=self._apply_listing,
            on_event=self._apply_event,
            on_revision=self._apply_revision,
            on_failure=self.wake,
            terms=terms,
            gate=gate,
        )

    def apply(self, changes: Changes) -> None:
        """Apply changes from another instance."""
        self.mirror.apply(changes)
        self.wake()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a whole list from another instance."""
        self.mirror.apply_listing(listing)
        self.wake()

    def _apply_listing(self, listing: Listing) -> None:
        self.mirror.apply_listing(listing)
        self.wake()

    def _apply_event(self, event: WatchEvent) -> None:
        # Several events may have one revision, so the copy's revision rises after the last one.
        self._gathered.append(event)

    def _apply_revision(self, revision: int) -> None:
        events, self._gathered = tuple(self._gathered), []
        self.apply(Changes(events=events, revision=revision))

    def wake(self) -> None:
        """Let those look again that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()


class StoreMirror:
    """Answers listings and polls below followed prefixes from copies.

    `terms_by_prefix` has how a reader polls prefixes that are not polled in the usual way.
    `on_follow` is called when a further prefix is followed.
    """

    def __init__(self, store: ReadableStore, terms_by_prefix: dict[str, PollTerms]) -> None:
        self._store = store
        self._terms_by_prefix = terms_by_prefix
        self._gate = StoreGate()
        self._feed_by_prefix: dict[str, Feed] = {}
        self._fed_s = 0.0
        self._reading: trio.CancelScope | None = None
        self._reading_nursery: trio.Nursery | None = None
        self.on_follow: Callable[[], None] = lambda: None

    @property
    def feeds(self) -> tuple[Feed, ...]:
        """Return the feeds of all followed prefixes."""
        return tuple(self._feed_by_prefix.values())

    @property
    def is_reading(self) -> bool:
        """Return whether this instance reads the store itself."""
        return self._reading is not None

    def follow(self, prefix: str) -> Feed:
        """Return the feed of a prefix, which is followed from now on."""
        feed = self._feed_by_prefix.get(prefix)
        if feed is None:
            terms = self._terms_by_prefix.get(prefix, PollTerms())
            feed = self._feed_by_prefix[prefix] = Feed(prefix, self._store, self._gate, terms)
            if self._reading_nursery is not None:
                self._reading_nursery.start_soon(feed.watch.run)
            self.on_follow()
        return feed

    def can_vouch(self, feed: Feed) -> bool:
        """Return whether this instance reads the store for a copy, and the store answers."""
        return self.is_reading and feed.watch.is_answered

    def is_healthy(self, feed: Feed) -> bool:
        """Return whether a copy is complete and kept so by this instance's own reading."""
        return self.can_vouch(feed) and feed.mirror.is_listed

    def is_fresh(self, feed: Feed) -> bool:
        """Return whether a copy is as new as another instance's or this one's reading makes it."""
        is_fed = now_s() - self._fed_s < FRESH_S and feed.mirror.is_listed
        return is_fed or self.is_healthy(feed)

    def record_fed(self) -> None:
        """Record that a reader has answered for all followed prefixes."""
        self._fed_s = now_s()

    def record_unfed(self) -> None:
        """Record that no reader can be asked, or none vouches for its copies."""
        if self._fed_s:
            self._fed_s = 0.0
            for feed in self.feeds:
                feed.wake()

    def read_again(self, prefix: str) -> None:
        """List a prefix anew, which a silent poll may keep from being told of changes."""
        self.follow(prefix).watch.relist("a peer has seen later changes")

    async def read(self, *, reason: str, max_pause_s: float) -> None:
        """Read the store until cancelled or `stop_reading` is called.

        `max_pause_s` is the longest pause between calls to a store that fails.
        """
        _log.info("feeds.reading", reason=reason)
        async with trio.open_nursery() as nursery:
            self._reading, self._reading_nursery = nursery.cancel_scope, nursery
            try:
                for feed in self.feeds:
                    feed.watch.continue_from(feed.mirror.revision)
                    feed.watch.max_pause_s = max_pause_s
                    nursery.start_soon(feed.watch.run)
                await trio.sleep_forever()
            finally:
                self._reading = self._reading_nursery = None

    def stop_reading(self) -> None:
        """End `read`: another instance is asked from now on."""
        if self._reading is not None:
            self._reading.cancel()

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries below a prefix as soon as the copy is fresh."""
        feed = self.follow(prefix)
        until_s = now_s() + FRESH_S
        while not self.is_fresh(feed):
            if now_s() >= until_s:
                return Err(NOT_FRESH)
            await _wait_for_change(feed, CHECK_INTERVAL_S)
        return Ok(feed.mirror.listing())

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, StoreError]:
        """Return the changes below a prefix; fail once the copy is not fresh any more.

        A copy in memory always answers, so `timeout_s` has no effect.
        """
        feed = self.follow(prefix)
        until_s = now_s() + wait_s
        while (changes := feed.mirror.changes_after(after_revision)) is not None:
            if changes.events or now_s() >= until_s:
                return Ok(changes)
            if not self.is_fresh(feed):
                return Err(NOT_FRESH)
            await _wait_for_change(feed, min(CHECK_INTERVAL_S, until_s - now_s()))
        return Err(HISTORY_LOST)


async def _wait_for_change(feed: Feed, wait_s: float) -> None:
    with trio.move_on_after(max(0.0, wait_s)):
        await feed.changed.wait()
