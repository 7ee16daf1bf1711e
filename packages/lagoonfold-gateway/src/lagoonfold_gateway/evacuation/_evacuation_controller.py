"""Keeps requests away from the replicas of failure domains that an operator evacuates.

Writes `evacuations`; reads and writes `replicas`. An operator requests an evacuation by a key below
`Dialect.evacuation_prefix` that ends with the name of the failure domain, and ends it by removing
the key. The value of the key does not matter. Every instance follows these keys like the
configuration, so a listing replaces the whole set: it makes up for each missed change.
"""

import re
from collections.abc import Iterable

from lagoonfold import ABSENT_REVISION, Listing, WatchEvent
from lagoonfold_gateway._board import EvacuationView, GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_io.observe import EventLog, Metrics

MAX_DOMAIN_CHARS = 256

_NAME = re.compile(f"[!-~]{{1,{MAX_DOMAIN_CHARS}}}")
_log = EventLog("evacuation")


class EvacuationController:
    """Applies the operator's requests to the directory of replicas."""

    def __init__(self, prefix: str, board: GatewayBoard, metrics: Metrics) -> None:
        self._prefix = prefix
        self._board = board
        self._metrics = metrics

    def apply_listing(self, listing: Listing) -> None:
        """Replace the evacuated failure domains by those of a listing of the operator's keys."""
        domains = (self._domain_of(entry.key) for entry in listing.entries)
        self._apply(frozenset(domain for domain in domains if domain is not None))

    def apply_event(self, event: WatchEvent) -> None:
        """Apply the change of one of the operator's keys; keys of other requests are ignored."""
        domain = self._domain_of(event.entry.key)
        if domain is None:
            return
        before = self._board.evacuations.read().domains
        is_removed = event.entry.revision == ABSENT_REVISION
        self._apply(before - {domain} if is_removed else before | {domain})

    def _domain_of(self, key: str) -> str | None:
        if not key.startswith(self._prefix):
            return None
        name = key[len(self._prefix) :]
        if _NAME.fullmatch(name):
            return name
        _log.warning("evacuation.unreadable", key=key[: len(self._prefix) + MAX_DOMAIN_CHARS])
        return None

    def _apply(self, domains: frozenset[str]) -> None:
        view = self._board.evacuations.read()
        if domains == view.domains:
            return
        restored_s_by_domain = {
            domain: at_s
            for domain, at_s in view.restored_s_by_domain.items()
            if domain not in domains
        }
        restored_s_by_domain.update(dict.fromkeys(view.domains - domains, now_s()))
        directory = self._board.replicas.read()
        directory.evacuated_domains = domains
        self._log_changes("domain.evacuated", domains - view.domains)
        self._log_changes("domain.restored", view.domains - domains)
        self._metrics.set_gauge("evacuated_domains", len(domains))
        self._board.evacuations.write(EvacuationView(domains, restored_s_by_domain))
        self._board.replicas.write(directory)

    def _log_changes(self, name: str, domains: Iterable[str]) -> None:
        replicas = self._board.replicas.read().all()
        for domain in sorted(domains):
            in_domain = sum(replica.failure_domain == domain for replica in replicas)
            _log.info(name, domain=domain, replicas=in_domain)
