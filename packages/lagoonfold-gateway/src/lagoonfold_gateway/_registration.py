"""Registers this instance in the store, under a lease, so that the others find it."""

from collections.abc import Callable

import msgspec
import trio
from result import Err

from lagoonfold import Put, StoreErrorKind, TransactionalStore
from lagoonfold_gateway._clock import now_s
from lagoonfold_io.observe import EventLog

MEMBER_PREFIX = "lagoonfold/members/"
LEASE_TTL_S = 30.0  # entries of lost instances do little harm
RENEW_INTERVAL_S = 10.0  # a third of the lease, so that one renewal may fail
RETRY_PAUSE_S = 0.5  # after a failed call to the store

_log = EventLog("members")


class MemberEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An instance's entry in the store."""

    address: str
    failure_domain: str
    start_id: str


class Registration:
    """Keeps one instance registered; `store_contact_s` is when the store last answered it.

    `on_registered` is called each time when the entry has been written; `is_attempted` is set after
    the first attempt, successful or not.
    """

    def __init__(
        self,
        store: TransactionalStore,
        instance_id: str,
        entry: MemberEntry,
        on_registered: Callable[[], None],
    ) -> None:
        self.store_contact_s = now_s()
        self._store = store
        self._instance_id = instance_id
        self._entry = entry
        self.on_registered = on_registered
        self._lease_id: int | None = None
        self._wake = trio.Event()
        self.is_attempted = trio.Event()

    def renew_soon(self) -> None:
        """Renew the lease now, to find out whether the store can be reached."""
        self._wake.set()

    async def run(self) -> None:
        """Register the instance and renew its lease until cancelled."""
        while True:
            is_registered = (
                await self._renew() if self._lease_id is not None else await self._register()
            )
            if is_registered:
                self.store_contact_s = now_s()
            self.is_attempted.set()
            self._wake = trio.Event()
            with trio.move_on_after(RENEW_INTERVAL_S if is_registered else RETRY_PAUSE_S):
                await self._wake.wait()

    async def deregister(self) -> None:
        """Remove the entry by ending its lease."""
        if self._lease_id is not None:
            await self._store.revoke_lease(self._lease_id)

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Err):
            _log.warning("member.no_lease", reason=granted.err_value.detail)
            return False
        lease_id = granted.ok_value.lease_id
        entry = Put(
            key=MEMBER_PREFIX + self._instance_id,
            value=msgspec.json.encode(self._entry),
            lease_id=lease_id,
        )
        put = await self._store.commit(puts=(entry,))
        if isinstance(put, Err):
            _log.warning("member.not_registered", reason=put.err_value.detail)
            return False
        self._lease_id = lease_id
        _log.info("member.registered", lease=lease_id)
        self.on_registered()
        return True

    async def _renew(self) -> bool:
        assert self._lease_id is not None
        renewed = await self._store.renew_lease(self._lease_id)
        if isinstance(renewed, Err):
            _log.warning("member.lease_not_renewed", reason=renewed.err_value.detail)
            if renewed.err_value.kind is StoreErrorKind.LEASE_EXPIRED:
                self._lease_id = None
            return False
        return True
