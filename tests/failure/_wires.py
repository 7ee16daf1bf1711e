"""Insert TCP proxies (wires) in front of the instances' peer ports, by their registrations."""

from base64 import b64decode, b64encode
from collections.abc import Iterator
from contextlib import contextmanager

from msgspec.structs import replace

from lagoonfold.membership import decode_member, decode_table, encode_member
from standins.fleet import call, wait_until
from standins.wire import Wire
from tests.failure._probes import ownership_revision, stored_entries
from tests.failure._world import Environment


@contextmanager
def insert_wires(env: Environment) -> Iterator[dict[str, Wire]]:
    """Yield the wire in front of each instance, by instance id; remove the wires afterwards."""
    handles = env.fleet.instances_by_id
    wires_by_id = {name: Wire.start(handle.peer) for name, handle in handles.items()}
    try:
        _set_peer_addresses(env, {name: wire.address for name, wire in wires_by_id.items()})
        yield wires_by_id
    finally:
        _set_peer_addresses(env, {name: handle.peer for name, handle in handles.items()})
        for wire in wires_by_id.values():
            wire.close()


def _set_peer_addresses(env: Environment, addresses_by_id: dict[str, str]) -> None:
    """Register the instances with these peer addresses and wait until all instances use them."""
    for name, address in addresses_by_id.items():
        _register(env, name, address)
    wait_until(lambda: _use_peer_addresses(env, addresses_by_id), "the peers' addresses everywhere")


def _register(env: Environment, instance_id: str, address: str) -> None:
    entry = stored_entries(env, f"instances/{instance_id}")[0]
    member = decode_member(b64decode(entry["value"])).unwrap()
    value = b64encode(encode_member(replace(member, address=address))).decode()
    put = {"key": entry["key"], "value": value, "lease": entry["lease"]}
    assert call("POST", env.fleet.store_address, "/v3/kv/put", put)[0] == 200


def _use_peer_addresses(env: Environment, addresses_by_id: dict[str, str]) -> bool:
    """Return whether every instance has read an ownership table with these addresses."""
    entry = stored_entries(env, "ownership")[0]
    members = decode_table(b64decode(entry["value"])).unwrap().members
    if {member.instance_id: member.address for member in members} != addresses_by_id:
        return False
    revision = int(entry["mod_revision"])
    return all(ownership_revision(env, name) >= revision for name in env.running())
