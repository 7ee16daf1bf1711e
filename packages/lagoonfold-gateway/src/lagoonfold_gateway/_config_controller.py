"""Puts the newest configuration in force.

Reads and writes `config`. In one process the version only grows: an older document, from a stale
read or a late change, is ignored.
"""

from collections.abc import Callable

from result import Err

from lagoonfold import ABSENT_REVISION, Entry, Listing, WatchEvent
from lagoonfold.forwarding import RouteTable
from lagoonfold_gateway._board import ConfigView, GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._store_watch import COPY_TERMS, ReadableStore, StoreWatch
from lagoonfold_io.observe import EventLog

_log = EventLog("config")


class ConfigController:
    """Follows the configuration's key; `on_other_event` gets changes of other keys.

    `on_listing` gets each listing of all keys before the configuration in it is put in force.
    """

    def __init__(
        self,
        dialect: Dialect,
        board: GatewayBoard,
        store: ReadableStore,
        on_other_event: Callable[[WatchEvent], None] = lambda event: None,
        on_listing: Callable[[Listing], None] = lambda listing: None,
    ) -> None:
        self._dialect = dialect
        self._board = board
        self._on_other_event = on_other_event
        self._on_listing = on_listing
        self.watch = StoreWatch(
            store,
            dialect.config_prefix,
            on_listing=self._apply_listing,
            on_event=self._apply_event,
            terms=COPY_TERMS,
        )

    def _apply_listing(self, listing: Listing) -> None:
        self._on_listing(listing)
        for entry in listing.entries:
            self._apply_event(WatchEvent(entry=entry, revision=entry.revision))

    def _apply_event(self, event: WatchEvent) -> None:
        if event.entry.key != self._dialect.config_key:
            self._on_other_event(event)
        elif event.entry.revision == ABSENT_REVISION:
            _log.warning("config.removed", revision=event.revision, kept=True)
        else:
            self._apply_entry(event.entry)

    def _apply_entry(self, entry: Entry) -> None:
        decoded = self._dialect.decode_config(entry.value)
        if isinstance(decoded, Err):
            _log.error("config.unreadable", revision=entry.revision, reason=decoded.err_value)
            return
        config = decoded.ok_value
        before = self._board.config.read()
        if before is not None and config.version <= before.config.version:
            _log.debug("config.not_newer", version=config.version, have=before.config.version)
            return
        self._board.config.write(ConfigView(config, RouteTable(config.routes), now_s()))
        _log.info(
            "config.applied",
            version=config.version,
            revision=entry.revision,
            routes=len(config.routes),
            services=len(config.services_by_name),
        )
