"""Send notices of poison requests to all peers, and keep them in the key-value service."""

import secrets

import msgspec
import trio
from result import Err, Ok

from lagoonfold import KeyValueStore, StoreErrorKind, UpstreamId
from lagoonfold.resilience import PoisonNotice, PoisonRegistry
from lagoonfold_node._dispatch._broadcast import Broadcast
from lagoonfold_node._dispatch._messages import PoisonReport

KEY_PREFIX = "poison/"
NOTICE_TTL_S = 3600.0
REFRESH_INTERVAL_S = 10.0
INCIDENT_SPAN_S = 1.0
WRITE_ATTEMPTS = 3
WRITE_TIMEOUT_S = 0.5

_NOTICES = msgspec.json.Decoder(tuple[PoisonNotice, ...])


class PoisonNotices:
    """The poison registry of this instance, shared with the other instances.

    A notice is sent to the peers before the failed call is retried or answered. The keys under
    `poison/` are for instances that start later and for peers that missed the message.
    """

    def __init__(self, store: KeyValueStore, broadcast: Broadcast) -> None:
        self.registry = PoisonRegistry(incident_ttl_s=NOTICE_TTL_S)
        self._store = store
        self._broadcast = broadcast
        self._incident_by_upstream: dict[UpstreamId, tuple[float, str]] = {}

    async def run(self) -> None:
        """Read the stored notices at the start and then periodically, until cancelled."""
        while True:
            await self._refresh()
            self.registry.drop_expired(now_s=trio.current_time())
            await trio.sleep(REFRESH_INTERVAL_S)

    def report(self, digest: str, upstream_id: UpstreamId, *, is_confirmed: bool) -> None:
        """Record the failure of an upstream while it ran a request, and notify the peers.

        `is_confirmed` is True if the upstream crashed, False if only its connection broke.
        """
        notice = PoisonNotice(
            digest=digest,
            upstream_id=upstream_id,
            incident_id=self._incident_of(upstream_id),
            is_confirmed=is_confirmed,
        )
        self.record(notice)
        self._broadcast(PoisonReport(notice=notice))

    def record(self, notice: PoisonNotice) -> None:
        """Record a notice of this instance or of a peer."""
        self.registry.add_notice(notice, now_s=trio.current_time())

    async def persist(self, digest: str) -> None:
        """Merge all notices of a digest into its key in the key-value service.

        The write is abandoned after `WRITE_TIMEOUT_S`, since the peers have been notified already.
        """
        with trio.move_on_after(WRITE_TIMEOUT_S):
            await self._write(KEY_PREFIX + digest, digest)

    def _incident_of(self, upstream_id: UpstreamId) -> str:
        """Return the id of the incident that a failure of an upstream belongs to now.

        Failures within `INCIDENT_SPAN_S` of the first one belong to the same incident.
        """
        now_s = trio.current_time()
        known = self._incident_by_upstream.get(upstream_id)
        if known is not None and now_s - known[0] < INCIDENT_SPAN_S:
            return known[1]
        incident_id = f"{upstream_id}/{secrets.token_hex(6)}"
        self._incident_by_upstream[upstream_id] = (now_s, incident_id)
        return incident_id

    async def _write(self, key: str, digest: str) -> None:
        lease = await self._store.grant_lease(NOTICE_TTL_S)
        if isinstance(lease, Err):
            return
        for _ in range(WRITE_ATTEMPTS):
            found = await self._store.get(key)
            if isinstance(found, Err):
                return
            entry = found.ok_value
            for notice in _decode(entry.value):
                self.record(notice)
            notices = [notice for notice in self.registry.notices() if notice.digest == digest]
            written = await self._store.put_if(
                key,
                msgspec.json.encode(notices),
                expected_revision=entry.revision,
                lease_id=lease.ok_value.lease_id,
            )
            if isinstance(written, Ok) or written.err_value.kind is not StoreErrorKind.CONFLICT:
                return

    async def _refresh(self) -> None:
        listed = await self._store.list(KEY_PREFIX)
        if isinstance(listed, Err):
            return
        for entry in listed.ok_value.entries:
            for notice in _decode(entry.value):
                self.record(notice)


def _decode(value: bytes) -> tuple[PoisonNotice, ...]:
    try:
        return _NOTICES.decode(value) if value else ()
    except msgspec.DecodeError:
        return ()
