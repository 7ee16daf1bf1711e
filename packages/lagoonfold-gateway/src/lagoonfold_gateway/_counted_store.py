"""A store that counts its calls by operation and by the prefix or kind of entry.

It also knows whether the latest call reached the store.
"""

from typing import TypeVar

from result import Err, Result

from lagoonfold import (
    Changes,
    Check,
    CommitResult,
    LeaseGrant,
    Listing,
    Put,
    StoreError,
    StoreErrorKind,
    TransactionalStore,
)
from lagoonfold_io.observe import Metrics

T = TypeVar("T")

_UNREACHED = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.LOST_ANSWER, StoreErrorKind.THROTTLED)


class CountedStore:
    """Passes calls on to a store and counts each; see `TransactionalStore`.

    `is_reachable` is not set while the latest call was turned away or got no answer.
    """

    def __init__(self, store: TransactionalStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self.is_reachable = True

    def _note(self, outcome: Result[T, StoreError]) -> Result[T, StoreError]:
        is_unreached = isinstance(outcome, Err) and outcome.err_value.kind in _UNREACHED
        self.is_reachable = not is_unreached
        return outcome

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Count and pass on a listing."""
        self._metrics.count("store_calls", f"list {prefix}")
        return self._note(await self._store.read_all(prefix))

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, StoreError]:
        """Count and pass on a poll."""
        self._metrics.count("store_calls", f"poll {prefix}")
        return self._note(
            await self._store.poll(
                prefix, after_revision=after_revision, wait_s=wait_s, timeout_s=timeout_s
            )
        )

    async def commit(
        self,
        *,
        checks: tuple[Check, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[CommitResult, StoreError]:
        """Count and pass on a transaction, by the prefix of its first key."""
        keys = [*(put.key for put in puts), *deletes]
        prefix = keys[0].rpartition("/")[0] if keys else ""
        self._metrics.count("store_calls", f"commit {prefix}/")
        return self._note(await self._store.commit(checks=checks, puts=puts, deletes=deletes))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Count and pass on the creation of a lease."""
        self._metrics.count("store_calls", "grant lease")
        return self._note(await self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Count and pass on the renewal of a lease."""
        self._metrics.count("store_calls", "renew lease")
        return self._note(await self._store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Count and pass on the end of a lease."""
        self._metrics.count("store_calls", "revoke lease")
        return self._note(await self._store.revoke_lease(lease_id))
