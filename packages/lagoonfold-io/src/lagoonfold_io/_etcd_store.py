"""The key-value port over a subset of etcd v3's JSON gateway.

A write without a readable response fails with `StoreErrorKind.LOST_ANSWER`: it may have taken
effect. `UNAVAILABLE`, `REFUSED`, `CONFLICT`, `LEASE_EXPIRED` and `THROTTLED` mean that nothing was
written.

    store = EtcdStore(HttpClient(), "10.0.0.5:2379", calls_per_s=20)
    entry = (await store.get("ownership")).unwrap()
    await store.put_if("ownership", b"...", expected_revision=entry.revision)
"""

import math
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    NO_LEASE,
    Entry,
    LeaseGrant,
    Listing,
    NewEntry,
    StoreError,
    StoreErrorKind,
    WatchEvent,
)
from lagoonfold_io._call_rate import CallRateLimiter
from lagoonfold_io._etcd_errors import as_read_failure, status_error, store_failure, transport_error
from lagoonfold_io._etcd_messages import (
    Header,
    KeepAliveResponse,
    LeaseResponse,
    RangeResponse,
    TxnResponse,
    to_base64,
)
from lagoonfold_io._etcd_requests import at_revision, create_step, post, range_of
from lagoonfold_io._etcd_watch import read_events
from lagoonfold_io._http_client import HttpClient

DEFAULT_CALL_TIMEOUT_S = 2.0
DEFAULT_WATCH_SILENCE_S = 60.0
_STATUS_OK = 200

T = TypeVar("T")


class EtcdStore:
    """A client of the key-value service, for use within one trio loop.

    `calls_per_s` limits the calls of all operations together; operations on leases and writes under
    a lease count, but never wait. See `lagoonfold.KeyValueStore` for the methods.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        *,
        calls_per_s: float,
        call_timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
        watch_silence_s: float = DEFAULT_WATCH_SILENCE_S,
    ) -> None:
        self._client = client
        self._address = address
        self._rate = CallRateLimiter(calls_per_s)
        self._call_timeout_s = call_timeout_s
        self._watch_silence_s = watch_silence_s

    @property
    def counts_by_operation(self) -> Counter[str]:
        """The number of calls by operation; opening a watch counts as one call."""
        return self._rate.counts_by_operation

    async def get(self, key: str) -> Result[Entry, StoreError]:
        """Return a key's entry; an absent key has an empty value and `ABSENT_REVISION`."""
        answer = await self._read("range", {"key": to_base64(key)})
        if isinstance(answer, Err):
            return answer
        kvs = answer.ok_value.kvs
        return Ok(kvs[0].to_entry() if kvs else Entry(key=key, value=b"", revision=ABSENT_REVISION))

    async def get_if_changed(
        self, key: str, known_revision: int
    ) -> Result[Entry | None, StoreError]:
        """Return a key's entry, or None (and transfer nothing) if it has the known revision."""
        fields = {
            "compare": [at_revision(key, known_revision)],
            "failure": [{"request_range": {"key": to_base64(key)}}],
        }
        answer = await self._call("/v3/kv/txn", fields, TxnResponse)
        if isinstance(answer, Err):
            return as_read_failure(answer)
        if answer.ok_value.succeeded:
            return Ok(None)
        kvs = answer.ok_value.responses[0].response_range.kvs
        return Ok(kvs[0].to_entry() if kvs else Entry(key=key, value=b"", revision=ABSENT_REVISION))

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries below a prefix, in key order."""
        answer = await self._read("range", range_of(prefix))
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        return Ok(_listing(found, found.header))

    async def list_if_changed(
        self, prefix: str, known: Listing
    ) -> Result[Listing | None, StoreError]:
        """Return all entries below a prefix, or None (and transfer nothing) if none has changed.

        A key written since has a newer revision; a deleted one makes the number of keys smaller.
        """
        keys = range_of(prefix)
        newer = str(known.revision + 1)
        fields = {
            "compare": [{**keys, "target": "MOD", "result": "LESS", "mod_revision": newer}],
            "success": [{"request_range": {**keys, "count_only": True}}],
            "failure": [{"request_range": keys}],
        }
        answer = await self._call("/v3/kv/txn", fields, TxnResponse)
        if isinstance(answer, Err):
            return as_read_failure(answer)
        found = answer.ok_value.responses[0].response_range
        if not answer.ok_value.succeeded:
            return Ok(_listing(found, answer.ok_value.header))
        if int(found.count) == len(known.entries):
            return Ok(None)
        return await self.list(prefix)

    async def put_if(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = NO_LEASE
    ) -> Result[int, StoreError]:
        """Write a key if it has the expected revision; return its new revision."""
        put = {"key": to_base64(key), "value": to_base64(value), "lease": str(lease_id)}
        step = {"request_put": put}
        return await self._write_if(key, expected_revision, step, urgent=lease_id != NO_LEASE)

    async def wait_for_rate_limit(self) -> None:
        """Wait until the limit on the rate of calls admits another call, without reserving it."""
        await trio.sleep(self._rate.wait_s())

    async def create_absent(
        self, entries: tuple[NewEntry, ...]
    ) -> Result[frozenset[str], StoreError]:
        """Create each key that is absent, in one transaction; return the keys that were created."""
        steps = [create_step(entry) for entry in entries]
        answer = await self._call("/v3/kv/txn", {"success": steps}, TxnResponse)
        if isinstance(answer, Err):
            return answer
        responses = answer.ok_value.responses
        if len(responses) != len(entries):
            detail = f"{len(responses)} responses to {len(entries)} create operations"
            return store_failure(StoreErrorKind.LOST_ANSWER, detail)
        created = (
            entry.key
            for entry, response in zip(entries, responses, strict=True)
            if response.response_txn.succeeded
        )
        return Ok(frozenset(created))

    async def delete_if(self, key: str, *, expected_revision: int) -> Result[None, StoreError]:
        """Delete a key if it has the expected revision."""
        step = {"request_delete_range": {"key": to_base64(key)}}
        answer = await self._write_if(key, expected_revision, step, urgent=False)
        return answer.map(lambda _: None)

    async def delete_range(self, start: str, end: str) -> Result[None, StoreError]:
        """Delete the keys from `start` up to but not including `end`, in one call."""
        fields = {"key": to_base64(start), "range_end": to_base64(end)}
        answer = await self._call("/v3/kv/deleterange", fields, RangeResponse)
        return answer.map(lambda _: None)

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease of `ttl_s` seconds, rounded up to whole seconds."""
        fields = {"TTL": str(math.ceil(ttl_s))}
        answer = await self._call("/v3/lease/grant", fields, LeaseResponse, urgent=True)
        return answer.map(
            lambda lease: LeaseGrant(lease_id=int(lease.ID), ttl_s=float(int(lease.TTL)))
        )

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease; return its time to live in seconds, or `LEASE_EXPIRED` if it is gone."""
        fields = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/keepalive", fields, KeepAliveResponse, urgent=True)
        if isinstance(answer, Err):
            return answer
        ttl_s = float(int(answer.ok_value.result.TTL))
        if ttl_s <= 0:
            return store_failure(StoreErrorKind.LEASE_EXPIRED, f"lease {lease_id} has expired")
        return Ok(ttl_s)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease at once and delete the keys written under it."""
        fields = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/revoke", fields, LeaseResponse, urgent=True)
        return answer.map(lambda _: None)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Iterate over the changes below a prefix, beginning with those of `from_revision`.

        The iteration ends without an error when the watch is lost, cannot be opened, or has
        received nothing for `watch_silence_s` seconds.
        """
        if not await self._rate.acquire("watch"):
            yield _no_events()
            return
        wanted = {
            **range_of(prefix),
            "start_revision": str(from_revision),
        }
        request = post("/v3/watch", {"create_request": wanted})
        async with self._client.stream(
            self._address, request, progress_timeout_s=self._watch_silence_s, new_connection=True
        ) as opened:
            is_open = isinstance(opened, Ok) and opened.ok_value.head.status == _STATUS_OK
            yield read_events(opened.ok_value) if is_open else _no_events()

    async def _read(self, name: str, fields: dict) -> Result[RangeResponse, StoreError]:
        answer = await self._call(f"/v3/kv/{name}", fields, RangeResponse)
        return as_read_failure(answer) if isinstance(answer, Err) else answer

    async def _write_if(
        self, key: str, expected_revision: int, step: dict, *, urgent: bool
    ) -> Result[int, StoreError]:
        fields = {"compare": [at_revision(key, expected_revision)], "success": [step]}
        answer = await self._call("/v3/kv/txn", fields, TxnResponse, urgent=urgent)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.succeeded:
            return store_failure(
                StoreErrorKind.CONFLICT, f"{key} is not at revision {expected_revision}"
            )
        return Ok(int(answer.ok_value.header.revision))

    async def _call(
        self, path: str, fields: dict, answer_type: type[T], *, urgent: bool = False
    ) -> Result[T, StoreError]:
        if not await self._rate.acquire(path.rpartition("/")[2], urgent=urgent):
            return store_failure(StoreErrorKind.THROTTLED, "limit on the rate of calls reached")
        answer = await self._client.fetch(
            self._address, post(path, fields), timeout_s=self._call_timeout_s
        )
        if isinstance(answer, Err):
            return Err(transport_error(answer.err_value))
        response = answer.ok_value
        if response.status != _STATUS_OK:
            return Err(status_error(response))
        try:
            return Ok(msgspec.json.decode(response.body, type=answer_type))
        except msgspec.DecodeError as error:
            return store_failure(StoreErrorKind.LOST_ANSWER, f"response cannot be decoded: {error}")


def _listing(found: RangeResponse, header: Header) -> Listing:
    entries = tuple(kv.to_entry() for kv in found.kvs)
    return Listing(entries=entries, revision=int(header.revision))


async def _no_events() -> AsyncIterator[WatchEvent]:
    for event in ():
        yield event
