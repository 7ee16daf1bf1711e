"""The configuration controller: keeps the `config` cell current and verified.

Reads the cell `members`; writes the cell `config`. Each failure domain is divided into groups. One
instance of a group, the watcher, watches the configuration's head in the key-value service, and
also reads it at an interval, so that a lost event or a silent watch delays a change by one interval
at most. It sends changes to its group at once. The others request verification from it at the same
interval, and read from the service if it does not answer or its own view is not verified recently.
"""

from collections.abc import Mapping

import trio
from result import Err, Ok, Result

from lagoonfold import ABSENT_REVISION, Cell, Entry, InstanceId, KeyValueStore, Refusal
from lagoonfold.config import (
    HEAD_KEY,
    NEVER_VERIFIED_S,
    ChangeRecord,
    ConfigTracker,
    ConfigView,
    watcher_group,
)
from lagoonfold_io import ConfigLog
from lagoonfold_io.observe import EventLog, Metrics
from lagoonfold_node._board import MemberInfo
from lagoonfold_node._config_controller._messages import (
    ConfigChanged,
    ConfigVerified,
    VerifyConfig,
)
from lagoonfold_node._peers import PeerBus

VERIFICATIONS_PER_BOUND = 4
WATCH_RETRY_S = 1.0

_events = EventLog("config")


class ConfigController:
    """Keep one instance's configuration current; `run` never returns."""

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        failure_domain: str,
        store: KeyValueStore,
        bus: PeerBus,
        cell: Cell[ConfigView],
        members: Cell[Mapping[InstanceId, MemberInfo]],
        metrics: Metrics,
        withdrawal_bound_s: float,
    ) -> None:
        self.tracker = ConfigTracker(started_at_s=trio.current_time())
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._store = store
        self._log = ConfigLog(store)
        self._bus = bus
        self._cell = cell
        self._members = members
        self._metrics = metrics
        self._interval_s = withdrawal_bound_s / VERIFICATIONS_PER_BOUND
        self._head_revision = ABSENT_REVISION
        self._has_read_head = False
        self._wake = trio.Event()

    async def run(self) -> None:
        """Verify at the interval, and watch while this instance is its group's watcher."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_while_watcher)
            while True:
                await self._verify()
                self._wake = trio.Event()
                with trio.move_on_after(self._interval_s):
                    await self._wake.wait()

    def apply_pushed_records(self, records: tuple[ChangeRecord, ...]) -> None:
        """Apply changes sent by the watcher; if one is missing, verify at once."""
        previous_version = self.tracker.view().configuration.version
        if not self.tracker.apply_records(records):
            self._metrics.count("config_updates", "gap")
            self._wake.set()
        self._publish(previous_version, "pushed")

    def _group(self) -> tuple[str, ...]:
        """Return the ids of this instance's group, the watcher's first."""
        domain_instance_ids = [
            member.instance_id
            for member in self._members.read().values()
            if member.failure_domain == self._failure_domain and not member.is_leaving
        ]
        return watcher_group(self._instance_id, domain_instance_ids)

    def _is_watcher(self) -> bool:
        return self._group()[0] == self._instance_id

    async def _verify(self) -> None:
        """Update and verify the view, through the watcher or the service."""
        watcher = self._group()[0]
        if watcher != self._instance_id and await self._verify_with_peer(InstanceId(watcher)):
            return
        read = await self._verify_with_store()
        if isinstance(read, Err):
            self._metrics.count("config_verify_failures", read.err_value.kind.value)
            _events.warning("config.unverified", detail=read.err_value.detail)

    async def _verify_with_peer(self, peer: InstanceId) -> bool:
        """Request verification from a peer; return whether the view is now verified.

        It is not if the peer's answer is older than half of the withdrawal bound, or says only that
        the configuration was current before this instance started.
        """
        requested_at_s = trio.current_time()
        previous_version = self.tracker.view().configuration.version
        request = VerifyConfig(known_version=previous_version)
        replied = await self._bus.request(peer, request, self._interval_s)
        if isinstance(replied, Err) or not isinstance(replied.ok_value, ConfigVerified):
            self._metrics.count("config_verify_failures", "peer")
            return False
        answer = replied.ok_value.answer
        self.tracker.update_from_peer(answer, requested_at_s)
        self._publish(previous_version, "peer")
        is_verified = self.tracker.view().verified_at_s != NEVER_VERIFIED_S
        return is_verified and answer.age_s <= 2 * self._interval_s

    async def _verify_with_store(self) -> Result[None, Refusal]:
        """Read the head; an unchanged one only verifies the known configuration."""
        requested_at_s = trio.current_time()
        read = await self._log.read_head_if_changed(self._head_revision)
        if isinstance(read, Err):
            return read
        if read.ok_value is not None:
            return await self._apply_head(read.ok_value, requested_at_s, "read")
        self._has_read_head = True
        self.tracker.confirm_unchanged(requested_at_s)
        self._cell.write(self.tracker.view())
        return Ok(None)

    async def _apply_head(
        self, entry: Entry, requested_at_s: float, source: str
    ) -> Result[None, Refusal]:
        known = self.tracker.view().configuration
        resolved = await self._log.resolve(entry, known)
        if isinstance(resolved, Err):
            return resolved
        state = resolved.ok_value
        self._head_revision = max(self._head_revision, state.revision)
        self._has_read_head = True
        if state.head.version >= known.version:
            self.tracker.update_from_store(state.configuration, state.head.recent, requested_at_s)
        else:
            self._metrics.count("config_verify_failures", "older-head")
        self._publish(known.version, source)
        return Ok(None)

    def _publish(self, previous_version: int, source: str) -> None:
        """Write the cell, and send changes to the group if this instance is the watcher."""
        view = self.tracker.view()
        self._cell.write(view)
        version = view.configuration.version
        self._metrics.set_gauge("config_version", version)
        if version == previous_version:
            return
        self._metrics.count("config_updates", source)
        _events.info(
            "config.applied", version=version, from_version=previous_version, source=source
        )
        group = self._group()
        if group[0] == self._instance_id:
            changed = ConfigChanged(records=self.tracker.records_since(previous_version))
            for peer in group[1:]:
                self._bus.send(peer, changed)

    async def _watch_while_watcher(self) -> None:
        while True:
            if self._has_read_head and self._is_watcher():
                await self._watch()
            await trio.sleep(WATCH_RETRY_S)

    async def _watch(self) -> None:
        """Follow the head until the watch is lost or another instance becomes the watcher."""
        async with self._store.watch(HEAD_KEY, from_revision=self._head_revision + 1) as events:
            async for event in events:
                if event.entry.value:
                    await self._apply_head(event.entry, self.tracker.view().verified_at_s, "watch")
                if not self._is_watcher():
                    return
