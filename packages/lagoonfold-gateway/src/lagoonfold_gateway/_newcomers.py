"""Tells which instances have become live since the last look."""

from lagoonfold_gateway._board import LiveView


class Newcomers:
    """Compares each view of the live instances with the one before."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._live_ids: frozenset[str] = frozenset()

    def among(self, view: LiveView) -> set[str]:
        """Return the other instances that were not live in the view before."""
        newcomers = set(view.ids) - self._live_ids - {self._own_id}
        self._live_ids = frozenset(view.ids)
        return newcomers
