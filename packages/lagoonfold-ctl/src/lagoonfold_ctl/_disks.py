"""The command that shows what storage instances hold, and how far their copies are."""

import re

import trio
from result import Err

from lagoonfold_ctl._render import render_table
from lagoonfold_ctl._session import EXIT_UNAVAILABLE, EXIT_USAGE, CommandError, Session
from lagoonfold_io import HttpClient, HttpRequest

_TIMEOUT_S = 3.0
_STATUS_OK = 200
_LINE = re.compile(r"^lagoonfold_(\w+?)(?:_total)?(?:\{[^}]*\})? ([0-9.e+-]+)$", re.MULTILINE)
# Columns of the table by the names of the metrics; a metric that is not there counts as 0.
_COLUMN_BY_METRIC = {
    "turns_held": "turns",
    "turns_short_of_copies": "short",
    "turns_copied": "copied",
    "turns_refused": "refused",
    "disk_bytes": "disk_mb",
    "disk_faults": "faults",
}
_BYTES_PER_MB = 1_000_000


class DiskCommands:
    """Reads the metrics pages of storage instances."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(self, addresses: str) -> None:
        """Show a row for each instance; `short` counts turns without enough known copies."""
        listed = [address for address in addresses.split(",") if address]
        if not listed:
            raise CommandError("disks METRICS_ADDRESS,...: give an address", EXIT_USAGE)
        pages = trio.run(_fetch_all, listed)
        rows = [_row(address, pages[address]) for address in listed]
        self._session.show(rows, render_table(rows))
        if all(page is None for page in pages.values()):
            raise CommandError("no storage instance answers", EXIT_UNAVAILABLE)


def _row(address: str, page: str | None) -> dict[str, object]:
    if page is None:
        return {"address": address, **dict.fromkeys(_COLUMN_BY_METRIC.values(), "no answer")}
    total_by_metric = dict.fromkeys(_COLUMN_BY_METRIC, 0.0)
    for name, value in _LINE.findall(page):
        if name in total_by_metric:
            total_by_metric[name] += float(value)
    total_by_metric["disk_bytes"] = round(total_by_metric["disk_bytes"] / _BYTES_PER_MB, 1)
    return {
        "address": address,
        **{column: f"{total_by_metric[name]:g}" for name, column in _COLUMN_BY_METRIC.items()},
    }


async def _fetch_all(addresses: list[str]) -> dict[str, str | None]:
    """Return the metrics page of each address, None for one that gives none."""
    client, page_by_address = HttpClient(), dict.fromkeys(addresses)

    async def fetch(address: str) -> None:
        request = HttpRequest(method="GET", path="/metrics")
        answer = await client.fetch(address, request, timeout_s=_TIMEOUT_S)
        if not isinstance(answer, Err) and answer.ok_value.status == _STATUS_OK:
            page_by_address[address] = answer.ok_value.body.decode(errors="replace")

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(fetch, address)
    client.close()
    return page_by_address
