"""Tells which instances have become live since the last look, and who tells them the news."""

from lagoonfold_gateway._board import LiveView

TELLERS = 2  # one of them may be lost at the same time


class Newcomers:
    """Compares each view of the live instances with the one before.

    `is_teller` says whether this instance is one of the few that tell the newcomers of the latest
    look what all others know: the first `TELLERS` of those that were live in both views.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._live_ids: frozenset[str] = frozenset()
        self.is_teller = False

    def among(self, view: LiveView) -> set[str]:
        """Return the other instances that were not live in the view before."""
        stayed = sorted(self._live_ids.intersection(view.ids))
        self.is_teller = self._own_id in stayed[:TELLERS]
        newcomers = set(view.ids) - self._live_ids - {self._own_id}
        self._live_ids = frozenset(view.ids)
        return newcomers
