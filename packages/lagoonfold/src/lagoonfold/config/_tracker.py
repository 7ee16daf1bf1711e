"""The configuration that one instance knows, and its verification by the store or by peers.

An instance requests the configuration from the key-value service, or from a peer that did. The
age of the answer counts from the time of the request, so that no delay makes an answer look fresher
than it is. A version is verified as of a point in time if no newer one was in force then.

    tracker = ConfigTracker()
    tracker.update_from_store(configuration, head.recent, requested_at_s=now_s)
    tracker.view().is_stale(now_s, bound_s=5.0)
"""

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec
from result import Err

from lagoonfold.config._changes import apply_change
from lagoonfold.config._documents import NEVER_VERIFIED_S, Configuration, ConfigView
from lagoonfold.config._log import ChangeRecord

WATCHER_GROUP_SIZE = 4

_MAX_HELD_RECORDS = 64


class ConfigAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of an instance to a peer that requests newer configuration.

    `age_s` is how long ago the version was known to be current. `records` are the changes since
    the peer's version; if some of them are no longer held, `configuration` is set instead.
    """

    version: int
    age_s: float
    records: tuple[ChangeRecord, ...] = ()
    configuration: Configuration | None = None


class ConfigTracker:
    """Hold the newest configuration known here and when it was last known to be current.

    Verifications as of a time before `started_at_s` are ignored: a peer's older configuration may
    be behind what this instance served before it restarted.
    """

    def __init__(self, *, started_at_s: float = NEVER_VERIFIED_S) -> None:
        self._started_at_s = started_at_s
        self._view = ConfigView()
        self._records: deque[ChangeRecord] = deque(maxlen=_MAX_HELD_RECORDS)

    def view(self) -> ConfigView:
        """Return the configuration with the time of its last verification."""
        return self._view

    def update_from_store(
        self, configuration: Configuration, recent: Sequence[ChangeRecord], requested_at_s: float
    ) -> bool:
        """Apply the store's answer to a request at `requested_at_s`; return whether it is newer."""
        before = self._view.configuration.version
        self.apply_records(recent)
        if configuration.version > self._view.configuration.version:
            self._replace(configuration)
            self._records.clear()
            self._records.extend(recent)
        self._mark_verified(configuration.version, requested_at_s)
        return self._view.configuration.version > before

    def confirm_unchanged(self, requested_at_s: float) -> None:
        """Record that the store had nothing newer at the time of the request."""
        self._mark_verified(self._view.configuration.version, requested_at_s)

    def update_from_peer(self, answer: ConfigAnswer, requested_at_s: float) -> bool:
        """Apply a peer's answer to a request at `requested_at_s`; return whether it is newer."""
        before = self._view.configuration.version
        self.apply_records(answer.records)
        configuration = answer.configuration
        if configuration is not None and configuration.version > self._view.configuration.version:
            self._replace(configuration)
            self._records.clear()
        self._mark_verified(answer.version, requested_at_s - answer.age_s)
        return self._view.configuration.version > before

    def apply_records(self, records: Iterable[ChangeRecord]) -> bool:
        """Apply the changes after the known version; return False if one is missing or fails."""
        for record in records:
            configuration = self._view.configuration
            if record.version <= configuration.version:
                continue
            if record.version != configuration.version + 1:
                return False
            applied = apply_change(configuration, record.change)
            if isinstance(applied, Err):
                return False
            self._replace(applied.ok_value)
            self._records.append(record)
        return True

    def answer_for(self, known_version: int, now_s: float) -> ConfigAnswer:
        """Return the answer for a peer that knows a version."""
        configuration = self._view.configuration
        records = self.records_since(known_version)
        has_all_records = known_version + len(records) >= configuration.version
        return ConfigAnswer(
            version=configuration.version,
            age_s=now_s - self._view.verified_at_s,
            records=records if has_all_records else (),
            configuration=None if has_all_records else configuration,
        )

    def records_since(self, version: int) -> tuple[ChangeRecord, ...]:
        """Return the changes after a version that are still held."""
        return tuple(record for record in self._records if record.version > version)

    def _replace(self, configuration: Configuration) -> None:
        self._view = ConfigView(configuration=configuration, verified_at_s=self._view.verified_at_s)

    def _mark_verified(self, version: int, verified_at_s: float) -> None:
        """Record that nothing newer than `version` was in force at `verified_at_s`."""
        known = self._view
        if verified_at_s < self._started_at_s:
            return
        if known.configuration.version >= version and verified_at_s > known.verified_at_s:
            self._view = ConfigView(configuration=known.configuration, verified_at_s=verified_at_s)


def watcher_group(own_id: str, domain_instance_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the ids of this instance's group in its failure domain, the watcher's first.

    The watcher reads from the key-value service; the others ask it, and read only if it fails.
    """
    ids = sorted({own_id, *domain_instance_ids})
    start = ids.index(own_id) // WATCHER_GROUP_SIZE * WATCHER_GROUP_SIZE
    return tuple(ids[start : start + WATCHER_GROUP_SIZE])
