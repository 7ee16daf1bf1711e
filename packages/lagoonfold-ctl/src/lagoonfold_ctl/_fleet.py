"""The commands that query the operator ports of instances."""

from collections.abc import Mapping
from urllib.parse import quote

import msgspec
import trio
from result import Err, Ok

from lagoonfold.membership import decode_member
from lagoonfold_ctl._render import render_fields, render_table
from lagoonfold_ctl._session import EXIT_REFUSED, EXIT_UNAVAILABLE, CommandError, Session
from lagoonfold_io import EtcdStore, HttpClient, HttpRequest

INSTANCES_PREFIX = "instances/"

_TIMEOUT_S = 3.0
_SUMMARY_FIELDS = (
    "instance_id",
    "failure_domain",
    "config_version",
    "config_age_s",
    "requests",
    "calls",
)
_STATUS_OK = 200


class FleetCommands:
    """Queries every registered instance, or those at the given operator addresses.

    `operators` holds comma-separated addresses; if it is empty, the addresses come from the
    key-value service.
    """

    def __init__(self, session: Session) -> None:
        self._session = session

    def status(self, operators: str) -> None:
        """Show one row for each instance."""
        answers = self._query(operators, "/v1/status")
        rows = [_row(address, answer) for address, answer in sorted(answers.items())]
        self._session.show(rows, render_table([_summary(row) for row in rows]))

    def explain(self, id_: str, operators: str) -> None:
        """Show the decisions that instances recorded for an id."""
        answers = self._query(operators, f"/v1/explain/{quote(id_, safe='')}")
        known = {
            address: answer["decisions"]
            for address, answer in answers.items()
            if isinstance(answer, dict) and answer.get("decisions")
        }
        if not known:
            raise CommandError(f"no instance knows {id_}", EXIT_REFUSED, "not-found")
        text = "\n\n".join(
            f"at {address}\n{_render(decisions)}" for address, decisions in sorted(known.items())
        )
        self._session.show(known, text)

    def _query(self, operators: str, path: str) -> dict[str, object]:
        """Return the decoded answer of each address, or None for an instance that gave none."""
        if operators:
            addresses = [address for address in operators.split(",") if address]
            return trio.run(_query_all, HttpClient(), addresses, path)

        async def query(_: object, store: EtcdStore, client: HttpClient) -> dict[str, object]:
            return await _query_all(client, await _operator_addresses(store), path)

        return self._session.run(query)


async def _operator_addresses(store: EtcdStore) -> list[str]:
    listing = await store.list(INSTANCES_PREFIX)
    if isinstance(listing, Err):
        detail = f"key-value service: {listing.err_value.detail}; use --operators=HOST:PORT,..."
        raise CommandError(f"{detail} to query the instances directly", EXIT_UNAVAILABLE)
    decoded = [decode_member(entry.value) for entry in listing.ok_value.entries]
    members = [member.ok_value for member in decoded if isinstance(member, Ok)]
    return [member.operator_address for member in members if member.operator_address]


async def _query_all(client: HttpClient, addresses: list[str], path: str) -> dict[str, object]:
    answers: dict[str, object] = {}

    async def fetch_answer(address: str) -> None:
        request = HttpRequest(method="GET", path=path)
        answer = await client.fetch(address, request, timeout_s=_TIMEOUT_S)
        answers[address] = None
        if not isinstance(answer, Err) and answer.ok_value.status == _STATUS_OK:
            answers[address] = msgspec.json.decode(answer.ok_value.body)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(fetch_answer, address)
    return answers


def _row(address: str, answer: object) -> dict[str, object]:
    fields = answer if isinstance(answer, dict) else {"state": "no answer"}
    return {"operator": address, **fields}


def _summary(row: Mapping[str, object]) -> dict[str, object]:
    """Return the fields of an instance for its table row, with shards and programs as counts."""
    shards = row.get("shards", [])
    return {
        "operator": row["operator"],
        **{field: row.get(field, "") for field in _SUMMARY_FIELDS},
        "shards": len(shards),
        "programs": sum(shard.get("programs", 0) for shard in shards),
        "state": row.get("reason") or row.get("state") or "ready",
    }


def _render(decisions: list[dict[str, object]]) -> str:
    """Return one block of text for each decision, in the order given."""
    return "\n\n".join(render_fields(decision) for decision in decisions)
