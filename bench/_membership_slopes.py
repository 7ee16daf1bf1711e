"""Measures the cost of membership and of the platform's instance list by number of instances."""

import gzip
import hashlib
from functools import cache

import msgspec

from bench._quantities import mean_time_us, quantity
from lagoonfold import ListedInstance
from lagoonfold.membership import (
    Member,
    OwnershipTable,
    decode_table,
    encode_member,
    encode_table,
    next_table,
    place_shards,
)

SHARDS_PER_INSTANCE = 4
MODELS = 6
_GZIP_LEVEL = 1


def _members(count: int, generation: int = 0) -> tuple[Member, ...]:
    """Return members whose incarnations share no text, as those of separate processes do not."""
    return tuple(
        Member(
            instance_id=f"entry-{number:03}",
            incarnation=f"run-{_random_text(generation, number)}",
            address=f"10.20.{number // 250}.{number % 250}:8081",
            failure_domain=f"domain-{number % 10}",
            operator_address=f"10.20.{number // 250}.{number % 250}:8082",
        )
        for number in range(count)
    )


def _random_text(generation: int, number: int) -> str:
    return hashlib.sha256(f"{generation}/{number}".encode()).hexdigest()[:24]


@cache
def _table(instances: int) -> OwnershipTable:
    """Return a table in which every shard has a previous owner."""
    shard_count = instances * SHARDS_PER_INSTANCE
    table = OwnershipTable()
    for generation in (1, 0):
        members = _members(instances, generation)
        placed = place_shards(table, members, shard_count)
        table = next_table(table, members, placed, "writer-1")
    return table


_INSTANCE_COUNTS = (7, 95, 380)


@quantity("bytes", "instance with 4 shards", _INSTANCE_COUNTS)
def ownership_size(instances: int) -> float:
    """Size of the ownership table."""
    return float(len(encode_table(_table(instances))))


@quantity("us", "instance with 4 shards", _INSTANCE_COUNTS)
def ownership_decode_time(instances: int) -> float:
    """Time to decode the ownership table, which every instance does after a change."""
    value = encode_table(_table(instances))
    return mean_time_us(lambda: decode_table(value))


@quantity("us", "instance with 4 shards", _INSTANCE_COUNTS)
def placement_time(instances: int) -> float:
    """Time to place the shards after one instance was lost."""
    members = _members(instances)
    table = _table(instances)
    shard_count = len(members) * SHARDS_PER_INSTANCE
    return mean_time_us(lambda: place_shards(table, members[1:], shard_count), repeats=3)


@quantity("bytes", "instance", _INSTANCE_COUNTS)
def registrations_size(instances: int) -> float:
    """Size of the registrations of all instances."""
    return float(sum(len(encode_member(member)) for member in _members(instances)))


@quantity("bytes", "listed instance", (110, 820, 3_280))
def instance_list_size(listed: int) -> float:
    """Size of the platform's instance list, compressed as on the wire."""
    instances = tuple(
        ListedInstance(
            instance_id=f"engine-{number:04}",
            role="engine",
            address=f"10.30.{number // 250}.{number % 250}:8000",
            failure_domain=f"domain-{number % 10}",
            models=(f"model-{number % MODELS}",),
        )
        for number in range(listed)
    )
    body = msgspec.json.encode({"instances": instances})
    return float(len(gzip.compress(body, _GZIP_LEVEL)))
