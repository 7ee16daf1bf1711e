"""Entries of other writers among those of the replicas."""

import json

from lagoonfold_gateway import DEFAULT_DIALECT
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, run_with_fleet, wait_until

ENTRY = {
    "replica_id": "odd",
    "service": "models",
    "address": "127.0.0.1:9",
    "failure_domain": "zone-a",
    "slots": 4,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = "9" * 5_000  # more digits than Python converts
ODD_FIELDS = (
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1"},
    {"address": "127.0.0.1:x"},
    {"address": "127.0.0.1:\u0663"},
    {"address": "127.0.0.999:80"},
    {"address": ""},
    {"slots": 0},
    {"slots": -3},
    {"slots": 10**30},
    {"started": 10**30},
    {"started": -1},
)


def _odd_entries() -> list[bytes]:
    plain = json.dumps(ENTRY).encode()
    return [
        DEEP,
        plain[:-1] + b',"more":' + DEEP + b"}",
        plain.replace(b'"slots": 4', b'"slots": 1e400'),
        plain.replace(b'"slots": 4', b'"slots": ' + HUGE.encode()),
        b"\xff\xfe",
        b"",
        *(json.dumps(ENTRY | fields).encode() for fields in ODD_FIELDS),
    ]


def test_odd_entry_names_no_replica_and_the_others_hold() -> None:
    """Instances go on following the list, and none calls what such an entry names."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        directory = gateway.board.replicas.read()
        for number, entry in enumerate(_odd_entries()):
            fleet.store.put(f"{DEFAULT_DIALECT.replica_prefix}odd", entry)
            await fleet.add_replica(f"r{number + 10}")
            await wait_until(lambda key=f"r{number + 10}": directory.get(key) is not None)
            assert directory.get("odd") is None, entry[:200]
            assert (await fleet.send(gateway, "/read/a")).status == 200
        fleet.store.cut_watches()
        await fleet.add_replica("last")
        await wait_until(lambda: directory.get("last") is not None)

    run_with_fleet(check, replicas=1)


load_tests = load_functions(globals())
