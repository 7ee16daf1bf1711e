"""Collects the turns of a chain, and decides when a turn certainly does not exist.

A turn that was answered lies on some of the listed disks; a disk that leaves the list has copied
its turns to others before. So a turn does not exist if, after a listing was read, each listed disk
answers that it does not hold the turn, and still is the disk that was listed: one that has lost its
contents meanwhile proves nothing. While a disk has not answered, nobody knows.

Answers the load of callers that continue a turn at an instance that has not served
it, while disks are lost, cut off, replaced and added. Everything is decided from arguments.
"""

from collections.abc import Callable, Iterable

from lagoonfold.histories._disks import Disk
from lagoonfold.histories._turns import KeptTurn, turn_key


class ChainSearch:
    """The search for one turn and all that it continues from.

    search = ChainSearch("t2", "acme")
    search.add([turn_2])
    search.missing    # "t1", from which t2 continues
    """

    def __init__(self, turn_id: str, account: str) -> None:
        self.missing: str | None = turn_id
        self.account = account
        self._newest_first: list[KeptTurn] = []
        self._unanswered_id_by_name: dict[str, str] | None = None

    @property
    def chain(self) -> tuple[KeptTurn, ...]:
        """Return the turns found so far, oldest first."""
        return tuple(reversed(self._newest_first))

    @property
    def is_complete(self) -> bool:
        """Return whether the chain has been found up to its start."""
        return self.missing is None

    def add(self, turns: Iterable[KeptTurn]) -> bool:
        """Add turns that continue the search, newest first; return whether there were any.

        Turns that are not missing, such as those of a late answer, are passed over.
        """
        before = len(self._newest_first)
        for turn in turns:
            if turn.turn_id != self.missing or turn.account != self.account:
                continue
            self._newest_first.append(turn)
            self.missing = turn.previous
            self._unanswered_id_by_name = None
        return len(self._newest_first) > before

    def add_cached(self, get: Callable[[str], KeptTurn | None]) -> None:
        """Add turns from a cache, given by their keys, for as long as it holds the missing one."""
        while self.missing is not None:
            turn = get(turn_key(self.account, self.missing))
            if turn is None or not self.add((turn,)):
                return

    def begin_proof(self, listed: Iterable[Disk]) -> None:
        """Begin to prove that the missing turn does not exist, with a listing read just now."""
        self._unanswered_id_by_name = {disk.name: disk.disk_id for disk in listed}

    def record_absent(self, turn_id: str, name: str, disk_id: str) -> None:
        """Record that a disk has answered that it does not hold a turn."""
        unanswered = self._unanswered_id_by_name
        if unanswered is not None and turn_id == self.missing and unanswered.get(name) == disk_id:
            del unanswered[name]

    @property
    def does_not_exist(self) -> bool:
        """Return whether the turn that the caller names certainly does not exist.

        A missing turn further back has been lost, since a kept turn continues from it.
        """
        return self._unanswered_id_by_name == {} and not self._newest_first
