"""Follows the entries below a prefix of the store by a listing, then long polls for changes.

Each instance polls on its own, so a poll for each single change would cost the store as many calls
as there are instances. After a listing or a poll that returned changes, the next poll therefore
waits for `min_interval_s` and fetches everything that has changed meanwhile.

A poll may get no answer without any sign of a failure. It is given up after `PollTerms.limit_s`,
so that a change is known that late at most.

A failed poll is followed by a new listing, after a pause that grows: the store may take long to
report lost history to a poll that continues from an old revision. After an outage of the store,
`on_store_recovered` is called before the first changes are delivered, because entries may have
expired meanwhile that their writers will put again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio
from result import Err, Result

from lagoonfold import Changes, Entry, Listing, StoreError, StoreErrorKind, WatchEvent
from lagoonfold_gateway._clock import now_s
from lagoonfold_io.observe import EventLog

MIN_INTERVAL_S = 0.25  # a tenth of the time in which a change must be in force
POLL_LIMIT_S = 5.5
POLL_ANSWER_S = 0.5  # for the answer to a poll whose wait is over; a slow store takes some 0.3 s
NOTICE_SHARE = 0.75  # of the time in which a change must be in force, until a lost poll is given up
FIRST_PAUSE_S = 0.05  # after a failed call; doubles with each further failure
MAX_PAUSE_S = 0.5  # bounds the time until the store's recovery is noticed
GATE_WAIT_PAUSES = 4  # in case the store answers one watch with errors and would serve another
MIN_OUTAGE_S = 1.0  # no entry expires in a shorter failure

_log = EventLog("store")


class StoreGate:
    """Lets one watch of an instance try a store that fails, while the others wait for it.

    Without it each watch would call a failing store on its own, at a cost for each refused call.
    """

    def __init__(self) -> None:
        self._prober: object | None = None
        self._opened = trio.Event()

    def record_failure(self, watch: object) -> None:
        """Close the gate; the first watch that fails goes on trying."""
        if self._prober is None:
            self._prober = watch
            self._opened = trio.Event()

    def record_success(self) -> None:
        """Open the gate."""
        self._prober = None
        self._opened.set()

    async def pass_through(self, watch: object, *, max_wait_s: float) -> None:
        """Wait while another watch tries the store, for a while."""
        if self._prober not in (None, watch):
            with trio.move_on_after(max_wait_s):
                await self._opened.wait()


@dataclass(frozen=True, slots=True)
class PollTerms:
    """How a prefix is polled.

    A poll without an answer is given up after `limit_s`. `min_interval_s` passes between two polls
    of which the first returned changes.
    """

    limit_s: float = POLL_LIMIT_S
    min_interval_s: float = MIN_INTERVAL_S

    @property
    def wait_s(self) -> float:
        """Return how long the store is to wait for a change."""
        return self.limit_s - POLL_ANSWER_S


COPY_TERMS = PollTerms(min_interval_s=0.0)  # of a watch that follows a copy in memory


def poll_limit_s(in_force_s: float) -> float:
    """Return when to give up a poll for changes that must be in force within `in_force_s`."""
    return max(2 * POLL_ANSWER_S, NOTICE_SHARE * in_force_s)


class ReadableStore(Protocol):
    """The part of a `TransactionalStore` that a watch uses."""

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries below a prefix."""

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, StoreError]:
        """Return the changes below a prefix after a revision."""


class StoreWatch:
    """Follows one prefix while `run` is running.

    `max_pause_s` is the longest pause after a failed call. `on_listing` is called with each
    listing, `on_event` with each change of a poll and `on_revision` after them, with the revision
    up to which all changes have been told. `on_failure` is called after each failed call.
    """

    def __init__(
        self,
        store: ReadableStore,
        prefix: str,
        *,
        on_listing: Callable[[Listing], None],
        on_event: Callable[[WatchEvent], None],
        on_revision: Callable[[int], None] = lambda revision: None,
        on_failure: Callable[[], None] = lambda: None,
        on_store_recovered: Callable[[], None] = lambda: None,
        terms: PollTerms = PollTerms(),
        gate: StoreGate | None = None,
    ) -> None:
        self._store = store
        self.prefix = prefix
        self.terms = terms
        self._next_poll_s = 0.0
        self._gate = gate or StoreGate()
        self._on_listing = on_listing
        self._on_event = on_event
        self._on_revision = on_revision
        self._on_failure = on_failure
        self._on_return = on_store_recovered
        self._revision: int | None = None
        self.last_change_revision = 0
        self._first_failure_s = 0.0
        self._failures = 0
        self._is_answered = False
        self._scope: trio.CancelScope | None = None
        self.max_pause_s = MAX_PAUSE_S

    @property
    def revision(self) -> int:
        """Return the revision up to which changes have been applied, 0 if it is unknown.

        `last_change_revision` is that of the latest change seen, which may be much older.
        """
        return self._revision or 0

    @property
    def is_failing(self) -> bool:
        """Return whether the latest call to the store failed."""
        return self._failures > 0

    @property
    def is_answered(self) -> bool:
        """Return whether the store has answered since reading began or the last call failed."""
        return self._is_answered

    def relist(self, reason: str) -> None:
        """Cancel a poll in progress and list the prefix again."""
        if self._scope is not None and self._revision is not None:
            _log.info("watch.relisted", prefix=self.prefix, revision=self._revision, reason=reason)
            self._scope.cancel()

    def continue_from(self, revision: int) -> None:
        """Begin with a poll after a revision up to which all changes are known, if it is not 0.

        The store is to answer that poll at once.
        """
        self._revision = revision or None
        self._failures = 0
        self._is_answered = False

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._step()
            if self._scope.cancelled_caught:
                self._revision = None
            self._scope = None

    async def _step(self) -> None:
        if self._revision is None:
            listed = await self._store.read_all(self.prefix)
            if isinstance(listed, Err):
                await self._record_failure(listed.err_value)
                return
            self._record_success()
            self._revision = listed.ok_value.revision
            for entry in listed.ok_value.entries:
                self.last_change_revision = max(self.last_change_revision, entry.revision)
            self._on_listing(listed.ok_value)
            self._next_poll_s = now_s() + self.terms.min_interval_s
            return
        await trio.sleep(max(0.0, self._next_poll_s - now_s()))
        polled = await self._poll(self._revision)
        if isinstance(polled, Err):
            await self._record_failure(polled.err_value)
            return
        self._record_success()
        if polled.ok_value.events:
            self._next_poll_s = now_s() + self.terms.min_interval_s
        for event in polled.ok_value.events:
            self.last_change_revision = max(self.last_change_revision, event.revision)
            self._on_event(event)
        self._revision = max(self._revision, polled.ok_value.revision)
        self._on_revision(self._revision)

    async def _poll(self, after_revision: int) -> Result[Changes, StoreError]:
        wait_s = self.terms.wait_s if self._is_answered else 0.0
        return await self._store.poll(
            self.prefix,
            after_revision=after_revision,
            wait_s=wait_s,
            timeout_s=wait_s + POLL_ANSWER_S,
        )

    async def _record_failure(self, error: StoreError) -> None:
        position, self._revision = self._revision, None
        if error.kind is StoreErrorKind.HISTORY_LOST:
            _log.info("watch.history_lost", prefix=self.prefix, revision=position)
            return
        self._is_answered = False
        if self._failures == 0:
            self._first_failure_s = now_s()
        _log.warning(
            "store.call_failed",
            prefix=self.prefix,
            failures=self._failures + 1,
            reason=error.detail,
        )
        pause_s = min(self.max_pause_s, FIRST_PAUSE_S * 2 ** min(self._failures, 8))
        self._failures += 1
        self._on_failure()
        self._gate.record_failure(self)
        await trio.sleep(pause_s)
        await self._gate.pass_through(self, max_wait_s=GATE_WAIT_PAUSES * self.max_pause_s)

    def _record_success(self) -> None:
        if self._failures:
            away_s = now_s() - self._first_failure_s
            _log.info("store.regained", prefix=self.prefix, away_s=round(away_s, 3))
            if away_s > MIN_OUTAGE_S:
                self._on_return()
        self._failures = 0
        self._is_answered = True
        self._gate.record_success()


def key_suffix(entry: Entry, prefix: str) -> str:
    """Return the part of an entry's key after the prefix."""
    return entry.key[len(prefix) :]
