"""Keeps bulk values on the disks of two instances in different failure domains.

Where fewer than two such disks answer, the key-value service keeps the value. The disks decide
nothing: a value is valid if the checkpoint in the key-value service names it, and its digest is
part of the name.
"""

from result import Err, Ok, Result

from lagoonfold import ShardId, StoreError, StoreErrorKind, rendezvous_weight
from lagoonfold.membership import Member
from lagoonfold.records import BulkValue, check_bulk
from lagoonfold_node._ownership._bulk import BulkStore
from lagoonfold_node._ownership._bulk_messages import FetchBulk, StoreBulk, SurveyBulk
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._disk_files import DiskFiles

COPIES = 2
_STORE_TIMEOUT_S = 5.0
_FETCH_TIMEOUT_S = 2.0
_SURVEY_TIMEOUT_S = 60.0


class DiskBulkStore:
    """Keeps bulk values on disks, or in `fallback`; `files` is this instance's own disk."""

    def __init__(
        self, context: OwnershipContext, files: DiskFiles | None, fallback: BulkStore
    ) -> None:
        self._context = context
        self._files = files
        self._fallback = fallback

    async def put(self, shard_id: ShardId, value: BulkValue) -> Result[None, StoreError]:
        """Keep a value; putting it again changes nothing."""
        domains = await self._spread(shard_id, value, frozenset())
        if len(domains) >= COPIES:
            self._context.metrics.count("bulk_puts", "disks")
            return Ok(None)
        self._context.metrics.count("bulk_puts", "key-value")
        return await self._fallback.put(shard_id, value)

    async def get(self, shard_id: ShardId, name: str) -> Result[bytes, StoreError]:
        """Return a value whose digest was checked, from the first holder that has it whole."""
        for member in self._holders(name):
            read = await self._fetch(member, shard_id, name)
            if isinstance(read, Ok):
                return read
        return await self._fallback.get(shard_id, name)

    async def delete(self, shard_id: ShardId, name: str) -> None:
        """Drop a value from the key-value service; disks drop it at the next survey."""
        await self._fallback.delete(shard_id, name)

    async def delete_between(self, shard_id: ShardId, first: int, end: int) -> None:
        """Drop values from the key-value service; disks drop them at the next survey."""
        await self._fallback.delete_between(shard_id, first, end)

    async def survey(self, shard_id: ShardId, names: tuple[str, ...], before_sequence: int) -> None:
        """Bring every value back to two copies, and let the disks drop unused ones."""
        if not self._disk_members():
            return
        domains_by_name = await self._find(shard_id, names, before_sequence)
        for name, domains in domains_by_name.items():
            if len(domains) < COPIES:
                await self._repair(shard_id, name, domains)

    async def _find(
        self, shard_id: ShardId, names: tuple[str, ...], before_sequence: int
    ) -> dict[str, set[str]]:
        """Return the failure domains that hold each value, on instances that stay."""
        domains_by_name: dict[str, set[str]] = {name: set() for name in names}
        message = SurveyBulk(shard_id=shard_id, names=names, before_sequence=before_sequence)
        for member in self._disk_members():
            answer = await self._context.bus.request(member.instance_id, message, _SURVEY_TIMEOUT_S)
            if isinstance(answer, Err) or member.leaving:
                continue
            for name in answer.ok_value.names:
                domains_by_name[name].add(member.failure_domain)
        return domains_by_name

    async def _repair(self, shard_id: ShardId, name: str, domains: set[str]) -> None:
        read = await self.get(shard_id, name)
        if isinstance(read, Err):
            detail = read.err_value.detail
            self._context.log.error("bulk.lost", shard=shard_id, name=name, detail=detail)
            return
        value = BulkValue(name=name, data=read.ok_value)
        if len(await self._spread(shard_id, value, frozenset(domains))) < COPIES:
            await self._fallback.put(shard_id, value)
        self._context.metrics.count("bulk_repairs")

    async def _spread(
        self, shard_id: ShardId, value: BulkValue, domains: frozenset[str]
    ) -> frozenset[str]:
        """Store a value until enough failure domains hold it; return those that do."""
        for member in self._holders(value.name):
            if len(domains) >= COPIES:
                break
            if member.failure_domain in domains:
                continue
            stored = await self._store(member, shard_id, value)
            if isinstance(stored, Ok):
                domains |= {member.failure_domain}
        return domains

    async def _store(
        self, member: Member, shard_id: ShardId, value: BulkValue
    ) -> Result[object, object]:
        if self._files is not None and member.instance_id == self._context.instance_id:
            return await self._files.write(shard_id, value)
        message = StoreBulk(shard_id=shard_id, name=value.name, data=value.data)
        return await self._context.bus.request(member.instance_id, message, _STORE_TIMEOUT_S)

    async def _fetch(
        self, member: Member, shard_id: ShardId, name: str
    ) -> Result[bytes, StoreError]:
        if self._files is not None and member.instance_id == self._context.instance_id:
            return (await self._files.read(shard_id, name)).map_err(_unavailable)
        message = FetchBulk(shard_id=shard_id, name=name)
        answer = await self._context.bus.request(member.instance_id, message, _FETCH_TIMEOUT_S)
        if isinstance(answer, Err):
            return Err(_unavailable(answer.err_value.detail))
        return check_bulk(name, answer.ok_value.data).map_err(_unavailable)

    def _disk_members(self) -> list[Member]:
        view = self._context.table_view()
        members = () if view is None else view.table.members
        return [member for member in members if member.has_disk]

    def _holders(self, name: str) -> list[Member]:
        """Return the members with disks in the order in which they are asked for a value."""
        return sorted(
            self._disk_members(),
            key=lambda member: (
                member.leaving,
                rendezvous_weight(name, member.instance_id),
            ),
        )


def _unavailable(detail: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNAVAILABLE, detail=detail)
