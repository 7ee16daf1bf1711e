"""Sends journal entries from this instance to the key-value service, many in one call."""

from result import Err, Ok

from lagoonfold import ABSENT_REVISION, NewEntry, StoreError, StoreErrorKind
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._journal_writer import CreateResult


class DirectJournalTransport:
    """Create entries in the key-value service.

    If the answer to a call is lost, each of its entries gets `LOST_ANSWER`.
    """

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context

    async def wait_for_rate_limit(self) -> None:
        """Wait until the instance's rate limit would admit a call at once."""
        await self._context.store.wait_for_rate_limit()

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create entries in one call, or one by one if the service refuses that call."""
        if len(entries) == 1:
            return (await self._create(entries[0]),)
        self._context.metrics.count("journal_calls", "shared")
        created = await self._context.store.create_absent(entries)
        if isinstance(created, Ok):
            return tuple(_to_result(entry.key, created.ok_value) for entry in entries)
        self._context.count_store_error(created.err_value)
        if created.err_value.kind is StoreErrorKind.REFUSED:
            return tuple([await self._create(entry) for entry in entries])
        return (created,) * len(entries)

    async def _create(self, entry: NewEntry) -> CreateResult:
        self._context.metrics.count("journal_calls", "single")
        written = await self._context.store.put_if(
            entry.key, entry.value, expected_revision=ABSENT_REVISION
        )
        if isinstance(written, Err):
            self._context.count_store_error(written.err_value)
        return written.map(lambda _: None)


def _to_result(key: str, created_keys: frozenset[str]) -> CreateResult:
    if key in created_keys:
        return Ok(None)
    return Err(StoreError(kind=StoreErrorKind.CONFLICT, detail=f"{key} is present"))
