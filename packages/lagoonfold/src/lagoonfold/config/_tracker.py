"""What one instance knows of the configuration, and how instances vouch for it to each other.

An instance asks the key-value service, or a peer that asked it, and counts the age of the answer
from before its own question, so that no delay on the way makes an answer look fresher than it is.
What is known at a version is current as of any moment at which no newer version was in force.

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

_KEPT_RECORDS = 64


class ConfigAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance knows, for a peer at `known_version`.

    `age_s` is how long ago the version was known to be current. `records` lead on from the peer's
    version; where they can't, `configuration` is given whole.
    """

    version: int
    age_s: float
    records: tuple[ChangeRecord, ...] = ()
    configuration: Configuration | None = None


class ConfigTracker:
    """The newest configuration known here and when it was last known to be current.

    Only what was verified since `started_at_s` counts: a peer's older knowledge may be behind
    what this instance served before it was started again.
    """

    def __init__(self, *, started_at_s: float = NEVER_VERIFIED_S) -> None:
        self._started_at_s = started_at_s
        self._view = ConfigView()
        self._records: deque[ChangeRecord] = deque(maxlen=_KEPT_RECORDS)

    def view(self) -> ConfigView:
        """Return the configuration with the moment of its last verification."""
        return self._view

    def update_from_store(
        self, configuration: Configuration, recent: Sequence[ChangeRecord], requested_at_s: float
    ) -> bool:
        """Take what the service said to a question at `requested_at_s`; tell whether it is new."""
        before = self._view.configuration.version
        self.apply_records(recent)
        if configuration.version > self._view.configuration.version:
            self._replace(configuration)
            self._records.clear()
            self._records.extend(recent)
        self._verify(configuration.version, requested_at_s)
        return self._view.configuration.version > before

    def confirm_unchanged(self, requested_at_s: float) -> None:
        """Note that the service has nothing newer than what it said before."""
        self._verify(self._view.configuration.version, requested_at_s)

    def update_from_peer(self, answer: ConfigAnswer, requested_at_s: float) -> bool:
        """Take a peer's answer to a question at `requested_at_s`; tell whether it is new."""
        before = self._view.configuration.version
        self.apply_records(answer.records)
        whole = answer.configuration
        if whole is not None and whole.version > self._view.configuration.version:
            self._replace(whole)
            self._records.clear()
        self._verify(answer.version, requested_at_s - answer.age_s)
        return self._view.configuration.version > before

    def apply_records(self, records: Iterable[ChangeRecord]) -> bool:
        """Apply the changes that lead on from the known version; tell whether none is missing."""
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
        leads_on = known_version + len(records) >= configuration.version
        return ConfigAnswer(
            version=configuration.version,
            age_s=now_s - self._view.verified_at_s,
            records=records if leads_on else (),
            configuration=None if leads_on else configuration,
        )

    def records_since(self, version: int) -> tuple[ChangeRecord, ...]:
        """Return the kept changes after a version."""
        return tuple(record for record in self._records if record.version > version)

    def _replace(self, configuration: Configuration) -> None:
        self._view = ConfigView(configuration=configuration, verified_at_s=self._view.verified_at_s)

    def _verify(self, version: int, verified_at_s: float) -> None:
        """Note that nothing newer than `version` was in force at a moment."""
        known = self._view
        if verified_at_s < self._started_at_s:
            return
        if known.configuration.version >= version and verified_at_s > known.verified_at_s:
            self._view = ConfigView(configuration=known.configuration, verified_at_s=verified_at_s)


def watcher_group(own_id: str, domain_instance_ids: Iterable[str]) -> tuple[str, ...]:
    """Return this instance's group within its failure domain; the first one is the watcher.

    Only watchers ask the key-value service; the others ask their watcher.
    """
    ids = sorted({own_id, *domain_instance_ids})
    start = ids.index(own_id) // WATCHER_GROUP_SIZE * WATCHER_GROUP_SIZE
    return tuple(ids[start : start + WATCHER_GROUP_SIZE])
