"""A copy of the store's entries below one prefix, which tells what has changed after a revision.

Decisions without I/O. The copy is complete up to its revision. Of a key that has changed several
times it tells the latest change only, in the order of the revisions.
"""

from collections import OrderedDict

from lagoonfold import ABSENT_REVISION, Changes, Entry, Listing, WatchEvent

MAX_REMOVED = 4_096  # removals that are remembered; who is further behind gets the whole list


class EntryMirror:
    """The entries below one prefix.

    mirror.apply_listing(Listing(entries=(entry,), revision=7))
    mirror.apply(Changes(events=(event,), revision=9))
    mirror.changes_after(7)    # Changes(events=(event,), revision=9)
    mirror.changes_after(5)    # None: what happened before revision 7 is not known
    """

    def __init__(self) -> None:
        self.revision = 0
        self._listed_revision = 0
        self._entry_by_key: dict[str, Entry] = {}
        self._removed_revision_by_key: OrderedDict[str, int] = OrderedDict()

    @property
    def is_listed(self) -> bool:
        """Return whether the entries have been listed."""
        return self.revision > 0

    def listing(self) -> Listing:
        """Return all entries."""
        return Listing(entries=tuple(self._entry_by_key.values()), revision=self.revision)

    def apply_listing(self, listing: Listing) -> bool:
        """Replace all entries, unless the copy is newer; return whether that was done."""
        if listing.revision < self.revision:
            return False
        self._entry_by_key = {entry.key: entry for entry in listing.entries}
        self._removed_revision_by_key.clear()
        self.revision = self._listed_revision = listing.revision
        return True

    def apply(self, changes: Changes) -> None:
        """Apply changes that follow the copy's revision; earlier ones among them say nothing."""
        for event in changes.events:
            if event.revision > self.revision:
                self._apply_event(event)
        self.revision = max(self.revision, changes.revision)

    def changes_after(self, revision: int) -> Changes | None:
        """Return the changes after a revision, None if they are not known."""
        if revision < self._listed_revision:
            return None
        changed = [
            WatchEvent(entry=entry, revision=entry.revision)
            for entry in self._entry_by_key.values()
            if entry.revision > revision
        ]
        removed = [
            WatchEvent(entry=Entry(key=key, value=b"", revision=ABSENT_REVISION), revision=at)
            for key, at in self._removed_revision_by_key.items()
            if at > revision
        ]
        events = sorted((*changed, *removed), key=lambda event: event.revision)
        return Changes(events=tuple(events), revision=self.revision)

    def _apply_event(self, event: WatchEvent) -> None:
        key = event.entry.key
        if event.entry.revision != ABSENT_REVISION:
            self._entry_by_key[key] = event.entry
            self._removed_revision_by_key.pop(key, None)
            return
        self._entry_by_key.pop(key, None)
        self._removed_revision_by_key[key] = event.revision
        self._removed_revision_by_key.move_to_end(key)
        if len(self._removed_revision_by_key) > MAX_REMOVED:
            _, forgotten_revision = self._removed_revision_by_key.popitem(last=False)
            self._listed_revision = forgotten_revision
