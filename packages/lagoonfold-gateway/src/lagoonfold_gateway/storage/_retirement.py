"""Empties this instance's disk when the operator asks for it.

The disk is listed as leaving and takes no more turns; `_repair` copies its turns to others. The
answer is "complete" once each turn has its copies elsewhere, and is written in one transaction with
the removal of the disk's entry.
"""

import trio
from result import Err

from lagoonfold import ABSENT_REVISION, Listing, Put, TransactionalStore, WatchEvent
from lagoonfold_gateway._dialect import RetirementDialect
from lagoonfold_gateway._store_watch import PollTerms, StoreGate, StoreWatch, key_suffix
from lagoonfold_gateway.storage._disk_registration import DiskRegistration
from lagoonfold_gateway.storage._repair import Repair
from lagoonfold_io.observe import EventLog

CHECK_INTERVAL_S = 0.1
RETRY_PAUSE_S = 0.3  # after a failed call to the store
POLL_INTERVAL_S = 1.0

_log = EventLog("retirement")


class Retirement:
    """Follows the operator's requests and carries out the one for this instance."""

    def __init__(
        self,
        name: str,
        dialect: RetirementDialect,
        store: TransactionalStore,
        registration: DiskRegistration,
        repair: Repair,
        gate: StoreGate,
    ) -> None:
        self._name = name
        self._dialect = dialect
        self._store = store
        self._registration = registration
        self._repair = repair
        self._requested = trio.Event()
        self.watch = StoreWatch(
            store,
            dialect.request_prefix,
            on_listing=self._apply_listing,
            on_event=self._apply_event,
            terms=PollTerms(min_interval_s=POLL_INTERVAL_S),
            gate=gate,
        )

    async def run(self) -> None:
        """Wait for a request for this instance, then empty the disk."""
        await self._requested.wait()
        _log.info("retirement.requested", machine=self._name)
        await self._answer(is_complete=False)
        while not await self._try_to_complete():
            await trio.sleep(CHECK_INTERVAL_S)
        _log.info("retirement.complete", machine=self._name)

    async def _try_to_complete(self) -> bool:
        if not self._registration.is_listed_as_leaving or not self._repair.is_disk_empty():
            return False
        return await self._registration.remove(self._put(is_complete=True))

    async def _answer(self, *, is_complete: bool) -> None:
        while True:
            written = await self._store.commit(puts=(self._put(is_complete=is_complete),))
            if not isinstance(written, Err):
                return
            _log.warning("retirement.not_written", reason=written.err_value.detail)
            await trio.sleep(RETRY_PAUSE_S)

    def _put(self, *, is_complete: bool) -> Put:
        key = self._dialect.answer_prefix + self._name
        return Put(key=key, value=self._dialect.encode_state(is_complete))

    def _apply_listing(self, listing: Listing) -> None:
        if any(
            key_suffix(entry, self._dialect.request_prefix) == self._name
            for entry in listing.entries
        ):
            self._request()
        self._registration.may_begin = True

    def _apply_event(self, event: WatchEvent) -> None:
        is_present = event.entry.revision != ABSENT_REVISION
        if is_present and key_suffix(event.entry, self._dialect.request_prefix) == self._name:
            self._request()

    def _request(self) -> None:
        self._registration.is_leaving = True
        self._requested.set()
