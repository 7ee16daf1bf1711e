"""Entries of other writers among those of the replicas, and odd numbers in headers and events."""

import json

import msgspec
import trio

from lagoonfold_gateway import DEFAULT_DIALECT
from lagoonfold_gateway._registration import MEMBER_PREFIX, MemberEntry
from standins.replica import NAMES, Replica
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

ODD_IDS = ("r\n1", "r\u06631", "r 1", "r\r\nx-odd: 1", "r" * 300, "")
ODD_ADDRESSES = ("127.0.0.1:99999", "127.0.0.1:x", "\xe9:9", "", "\u0000:80", "x" * 300 + ":80")


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


def test_odd_id_of_an_entry_names_no_replica() -> None:
    """The id would go into a header, and each request to that replica would end with 500."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        directory = gateway.board.replicas.read()
        listed = ENTRY | {"address": fleet.replica_by_id["r1"].address}
        for number, odd_id in enumerate(ODD_IDS):
            entry = json.dumps(listed | {"replica_id": odd_id}).encode()
            fleet.store.put(f"{DEFAULT_DIALECT.replica_prefix}{odd_id}", entry)
            await fleet.add_replica(f"r{number + 10}")
            await wait_until(lambda key=f"r{number + 10}": directory.get(key) is not None)
            assert directory.get(odd_id) is None, odd_id[:20]
        assert (await fleet.send(gateway, "/read/a")).status == 200

    run_with_fleet(check, replicas=1)


def test_odd_entry_of_an_instance_does_not_end_the_others() -> None:
    """They cannot call what it names, and serve on."""

    async def check(fleet: Fleet) -> None:
        for number, address in enumerate(ODD_ADDRESSES):
            member = MemberEntry(address=address, failure_domain="zone-a", start_id="start")
            fleet.store.put(f"{MEMBER_PREFIX}odd-{number}", msgspec.json.encode(member))
        fleet.store.put(f"{MEMBER_PREFIX}\u0663\n", msgspec.json.encode(member))
        fleet.store.put(f"{MEMBER_PREFIX}deep", DEEP)
        for gateway in fleet.gateways:
            gateway.mirror.read_again(MEMBER_PREFIX)
        last = f"odd-{len(ODD_ADDRESSES) - 1}"
        await wait_until(lambda: all(last in gateway.bus.peer_ids for gateway in fleet.gateways))
        for _ in range(10):
            for gateway in fleet.gateways:
                assert (await fleet.send(gateway, "/write/a")).status == 200
            await trio.sleep(0.1)

    run_with_fleet(check, gateways=2)


def test_odd_load_of_a_replica_does_not_spoil_its_answer() -> None:
    """Loads that cannot be read count as none."""

    async def check(fleet: Fleet) -> None:
        replica: Replica = fleet.replica_by_id["r1"]
        for load in (f"{HUGE},1,4", "\xb2,1,4", "1", "-1,2,3", "a,b,c", "1,2,4"):
            replica.behaviour.load = load
            assert (await fleet.send(fleet.gateways[0], "/read/a")).status == 200, load[:60]

    run_with_fleet(check, replicas=1)


def test_odd_keep_alive_of_a_replica_does_not_spoil_its_answer() -> None:
    """A connection is kept for the usual time, or for none."""

    async def check(fleet: Fleet) -> None:
        replica: Replica = fleet.replica_by_id["r1"]
        for keep_alive in (f"timeout={HUGE}", "timeout=0", "timeout=", "timeout=5"):
            replica.behaviour.keep_alive = keep_alive
            assert (await fleet.send(fleet.gateways[0], "/read/a")).status == 200, keep_alive[:60]

    run_with_fleet(check, replicas=1)


def test_odd_numbers_of_callers_are_bad_requests() -> None:
    """The refusal names the header."""

    async def check(fleet: Fleet) -> None:
        for name, value in (
            (NAMES.token_counts, f"{HUGE},1"),
            (NAMES.token_counts, "\xb2,1"),
            (NAMES.prompt_parts, f"a:{HUGE}"),
            (NAMES.last_event, HUGE),
            (NAMES.deadline_ms, "1e999"),
        ):
            headers = ((NAMES.program, "p"), (name, value))
            answer = await fleet.send(fleet.gateways[0], "/turns/a", headers=headers)
            assert answer.status == 400 and name.encode() in answer.body, (name, value[:60], answer)

    run_with_fleet(check, replicas=1)


load_tests = load_functions(globals())
