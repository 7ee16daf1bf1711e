"""Wires between the instances' peer ports, put in by way of their registrations."""

from base64 import b64decode, b64encode
from collections.abc import Iterator
from contextlib import contextmanager

from msgspec.structs import replace

from lagoonfold.membership import decode_member, decode_table, encode_member
from standins.fleet import call, wait_until
from standins.wire import Wire
from tests.failure._probes import ownership_revision, stored
from tests.failure._world import World


@contextmanager
def wires(each: World) -> Iterator[dict[str, Wire]]:
    """Yield the wire that leads to each instance, and take the wires out afterwards."""
    handles = each.fleet.instances_by_id
    wires_by_id = {name: Wire.start(handle.peer) for name, handle in handles.items()}
    try:
        _lead(each, {name: wire.address for name, wire in wires_by_id.items()})
        yield wires_by_id
    finally:
        _lead(each, {name: handle.peer for name, handle in handles.items()})
        for wire in wires_by_id.values():
            wire.close()


def _lead(each: World, addresses_by_id: dict[str, str]) -> None:
    """Register the instances at these peer addresses and wait until all of them dial there."""
    for name, address in addresses_by_id.items():
        _register(each, name, address)
    wait_until(lambda: _is_led(each, addresses_by_id), "the peers' addresses everywhere")


def _register(each: World, instance_id: str, address: str) -> None:
    entry = stored(each, f"instances/{instance_id}")[0]
    member = decode_member(b64decode(entry["value"])).unwrap()
    value = b64encode(encode_member(replace(member, address=address))).decode()
    put = {"key": entry["key"], "value": value, "lease": entry["lease"]}
    assert call("POST", each.fleet.store_address, "/v3/kv/put", put)[0] == 200


def _is_led(each: World, addresses_by_id: dict[str, str]) -> bool:
    """Tell whether every instance has read a table with these addresses."""
    entry = stored(each, "ownership")[0]
    members = decode_table(b64decode(entry["value"])).unwrap().members
    if {member.instance_id: member.address for member in members} != addresses_by_id:
        return False
    revision = int(entry["mod_revision"])
    return all(ownership_revision(each, name) >= revision for name in each.running())
