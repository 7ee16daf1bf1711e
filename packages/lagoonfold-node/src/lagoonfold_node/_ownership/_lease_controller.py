"""Maintains this instance's lease, and its registration, which is bound to the lease.

Reads the cells `stopping` and `lease`; writes the cell `lease`.
"""

import trio
from result import Err, Ok, Result

from lagoonfold import StoreError, StoreErrorKind
from lagoonfold.membership import InstanceLease, encode_member
from lagoonfold_node._ownership._context import INSTANCES_PREFIX, OwnershipContext

_RETRY_S = 0.25


class LeaseController:
    """Renew the lease, and acquire a new one when the service reports it as expired."""

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context
        self._registered_leaving = False

    async def run(self) -> None:
        """Maintain the lease until cancelled."""
        settings = self._context.settings
        while True:
            requested_at_s = trio.current_time()
            outcome = await self._acquire_or_renew()
            if isinstance(outcome, Err):
                self._context.count_store_error(outcome.err_value)
                await trio.sleep(min(_RETRY_S, settings.renew_s))
            else:
                await self._wait_for_renewal(requested_at_s + settings.renew_s)

    async def revoke(self) -> None:
        """Revoke the lease at once, so that other instances need not wait until it expires."""
        lease = self._context.board.lease.read()
        self._context.board.lease.write(None)
        if lease is not None:
            await self._context.store.revoke_lease(lease.lease_id)

    async def _wait_for_renewal(self, due_at_s: float) -> None:
        """Wait until the renewal is due, or `stopping` changes and so must the registration.

        The lease's TTL counts from the time of the request, so the renewal interval does too: a
        slow answer does not delay the next renewal.
        """
        changed = trio.Event()
        unsubscribe = self._context.board.stopping.subscribe(lambda _: changed.set())
        try:
            with trio.move_on_at(due_at_s):
                await changed.wait()
        finally:
            unsubscribe()

    async def _acquire_or_renew(self) -> Result[None, StoreError]:
        lease = self._context.board.lease.read()
        if lease is None:
            return await self._acquire()
        requested_at_s = trio.current_time()
        renewed = await self._context.store.renew_lease(lease.lease_id)
        if isinstance(renewed, Err):
            if renewed.err_value.kind is StoreErrorKind.LEASE_EXPIRED:
                self._context.log.warning("lease.expired", lease_id=lease.lease_id)
                self._context.board.lease.write(None)
            return renewed
        self._publish(lease.lease_id, requested_at_s, renewed.ok_value)
        if self._context.board.stopping.read() and not self._registered_leaving:
            return await self._register(lease.lease_id)
        return Ok(None)

    async def _acquire(self) -> Result[None, StoreError]:
        requested_at_s = trio.current_time()
        granted = await self._context.store.grant_lease(self._context.settings.lease_s)
        if isinstance(granted, Err):
            return granted
        grant = granted.ok_value
        registered = await self._register(grant.lease_id)
        if isinstance(registered, Err):
            return registered
        self._publish(grant.lease_id, requested_at_s, grant.ttl_s)
        return Ok(None)

    async def _register(self, lease_id: int) -> Result[None, StoreError]:
        """Write this process's registration, replacing one that a former process left behind."""
        store = self._context.store
        member = self._context.member
        key = INSTANCES_PREFIX + self._context.instance_id
        value = encode_member(member)
        existing = await store.get(key)
        if isinstance(existing, Err):
            return existing
        written = await store.put_if(
            key, value, expected_revision=existing.ok_value.revision, lease_id=lease_id
        )
        if isinstance(written, Err):
            return written
        self._registered_leaving = member.leaving
        return Ok(None)

    def _publish(self, lease_id: int, requested_at_s: float, ttl_s: float) -> None:
        lease = InstanceLease.from_grant(lease_id, requested_at_s=requested_at_s, ttl_s=ttl_s)
        self._context.board.lease.write(lease)
