"""The upstream controller: polls the platform's instance list.

Reads no cell of the board; writes the cell `upstreams`, which keeps its value while the list can't
be read.

    directory = UpstreamDirectory(board.upstreams, instance_list, interval_s=1.0)
    nursery.start_soon(directory.run)
"""

from collections.abc import Mapping

import trio
from result import Ok

from lagoonfold import Cell, InstanceList, ListedInstance, UpstreamId

UPSTREAM_ROLES = frozenset({"engine", "tool", "service"})


class UpstreamDirectory:
    """Keeps the cell `upstreams` up to date with the instance list."""

    def __init__(
        self,
        upstreams: Cell[Mapping[UpstreamId, ListedInstance]],
        instance_list: InstanceList,
        *,
        interval_s: float,
    ) -> None:
        self._upstreams = upstreams
        self._instance_list = instance_list
        self._interval_s = interval_s

    async def run(self) -> None:
        """Read the list periodically, until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(self._interval_s)

    async def refresh(self) -> None:
        """Read the list once; write the cell only if the upstreams changed."""
        listed = await self._instance_list.read()
        if not isinstance(listed, Ok):
            return
        upstreams = {
            UpstreamId(entry.instance_id): entry
            for entry in listed.ok_value
            if entry.role in UPSTREAM_ROLES
        }
        if upstreams != self._upstreams.read():
            self._upstreams.write(upstreams)
