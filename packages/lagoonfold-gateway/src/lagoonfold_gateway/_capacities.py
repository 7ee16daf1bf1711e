"""Writes the processor cores of the live instances to the cell `capacities`."""

from collections.abc import Collection, Mapping

from lagoonfold import Cell
from lagoonfold.liveness import StatusTable, is_capacity, usable_cores
from lagoonfold_io.observe import EventLog

_log = EventLog("members")


class Capacities:
    """Checks the capacities that instances tell; one that cannot be used is logged once."""

    def __init__(self, cell: Cell[Mapping[str, float]]) -> None:
        self._cell = cell
        self._unusable_ids: set[str] = set()

    def check_own(self, instance_id: str, cores: float) -> float:
        """Return the cores that this instance tells for those of its settings."""
        if not is_capacity(cores):
            _log.warning("member.capacity_unusable", member=instance_id, cores=str(cores))
        return usable_cores(cores)

    def write(self, live: Collection[str], table: StatusTable) -> None:
        """Write the cores of the live instances, if they have changed."""
        cores_by_id: dict[str, float] = {}
        for instance_id in live:
            status = table.get(instance_id)
            told = status.processor_cores if status is not None else None
            cores_by_id[instance_id] = usable_cores(told)
            if told is None or is_capacity(told):
                self._unusable_ids.discard(instance_id)
            elif instance_id not in self._unusable_ids:
                self._unusable_ids.add(instance_id)
                _log.warning("member.capacity_unusable", member=instance_id, cores=str(told))
        if cores_by_id != self._cell.read():
            self._cell.write(cores_by_id)
