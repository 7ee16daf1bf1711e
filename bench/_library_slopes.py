"""What the library's decisions cost by size: bytes and processor time.

Each function is one quantity at one size; the registry says over which sizes it is measured.
"""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cache

from lagoonfold import ErrorKind
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    Account,
    ApiKey,
    Budget,
    ChangeRecord,
    Configuration,
    Head,
    Profile,
    PutAccount,
    PutKey,
    PutProfile,
    apply_change,
    digest_of,
    encode_value,
)
from lagoonfold.membership import (
    Member,
    OwnershipTable,
    decode_table,
    encode_table,
    next_table,
    place_shards,
)
from lagoonfold.rates import Ask, Lender, RateLimit
from lagoonfold.records import (
    CallRequest,
    Cost,
    CreateRequest,
    JournalEntry,
    Limits,
    Outcome,
    ProgramShard,
    Record,
    Settled,
    digest_of_content,
    encode_entry,
)

SHARDS_PER_INSTANCE = 4
TURN_BYTES = 1_024
KEYS_PER_ACCOUNT = 3
REPEATS = 5
_TURNS_KEPT = 8
_LIMITS = Limits(10**9, 10**6, 10**9, 1e9)

Sample = Callable[[int], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Quantity:
    """A quantity of the library and the sizes at which it is measured."""

    name: str
    unit: str
    per: str
    sizes: Sequence[int]
    sample: Sample


QUANTITIES_BY_NAME: dict[str, Quantity] = {}


def _quantity(unit: str, per: str, sizes: Sequence[int]) -> Callable[[Sample], Sample]:
    def register(sample: Sample) -> Sample:
        name = sample.__name__
        QUANTITIES_BY_NAME[name] = Quantity(
            name=name, unit=unit, per=per, sizes=sizes, sample=sample
        )
        return sample

    return register


def _timed_us(action: Callable[[], object], repeats: int = 20) -> float:
    started = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started) / repeats * 1e6


def _bytes_held(make: Callable[[], object]) -> float:
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return float(size)


def _lender(loans: int) -> Lender:
    limit = RateLimit(rate_per_s=1e6, burst=10**6)
    lender = Lender(limit=limit, epoch=1, now_s=0.0, is_new=True)
    for number in range(loans):
        ask = Ask(number=number, needed=1, wanted=1, reports=())
        lender.lend(f"entry-{number}", ask, now_s=0.0)
    return lender


@_quantity("bytes", "account with 8 open loans", (50, 200, 570))
def lender_memory(accounts: int) -> float:
    """Memory of the lenders of so many accounts."""
    return _bytes_held(lambda: [_lender(8) for _ in range(accounts)])


@_quantity("us", "open loan, for one loan", (8, 95, 380))
def lend_time(open_loans: int) -> float:
    """Time to lend once while so many loans of the account are open."""
    lender = _lender(open_loans)
    ask = Ask(number=1, needed=1, wanted=1, reports=())
    return _timed_us(lambda: lender.lend("entry-0", ask, now_s=0.0))


def _run_calls(shard: ProgramShard, program_id: str, turns: int) -> list[Record]:
    """Run calls of a program through the shard and return their records."""
    records: list[Record] = []
    for turn in range(1, turns + 1):
        body = f"question {turn}".encode().ljust(TURN_BYTES)
        answer = f"answer {turn}".encode().ljust(TURN_BYTES)
        request = CallRequest(
            call_id=f"call-{program_id}-{turn}",
            program_id=program_id,
            account_id="account-1",
            turn=turn,
            route="chat",
            is_idempotent=False,
            content_digest=digest_of_content(body),
            body=body,
            reserve=Cost(10, 1, 10),
        )
        begun = shard.decide_begin(request, 1.0, executor="run-1").unwrap()
        for record in begun.records:
            shard.apply(record)
        settled = Settled(
            program_id, request.call_id, Outcome.ANSWERED, 200, "json", answer, Cost(10, 1, 10)
        )
        settling = shard.decide_settle(settled).unwrap()
        for record in settling:
            shard.apply(record)
        records.extend((*begun.records, *settling))
    return records


def _create(shard: ProgramShard, program_id: str) -> None:
    request = CreateRequest(
        program_id=program_id, account_id="account-1", profile="crews", limits=_LIMITS
    )
    for record in shard.decide_create(request, 1.0).unwrap():
        shard.apply(record)


def _shard(programs: int, turns: int) -> ProgramShard:
    shard = ProgramShard()
    for number in range(programs):
        _create(shard, f"program-{number}")
        _run_calls(shard, f"program-{number}", turns)
    return shard


@_quantity("bytes", f"program with {_TURNS_KEPT} turns of 2 KB in memory", (20, 60, 182))
def shard_memory(programs: int) -> float:
    """Memory of the programs of one instance."""
    return _bytes_held(lambda: _shard(programs, _TURNS_KEPT))


@_quantity("us", "call", (50, 200, 500))
def call_time(calls: int) -> float:
    """Time to decide, apply and encode so many calls, from begin to settled."""
    shard = ProgramShard()
    _create(shard, "program-1")
    started = time.perf_counter()
    records = _run_calls(shard, "program-1", calls)
    encode_entry(JournalEntry("run-1", 1, tuple(records)))
    return (time.perf_counter() - started) * 1e6


@_quantity("bytes", "call of 2 KB", (1, 10, 50))
def journal_size(calls: int) -> float:
    """Size of a journal entry with the records of so many calls."""
    shard = ProgramShard()
    _create(shard, "program-1")
    records = _run_calls(shard, "program-1", calls)
    return float(len(encode_entry(JournalEntry("run-1", 1, tuple(records)))))


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(
            instance_id=f"entry-{number:03}",
            incarnation=f"run-{number:024x}",
            address=f"10.20.{number // 250}.{number % 250}:8081",
            failure_domain=f"domain-{number % 10}",
            operator_address=f"10.20.{number // 250}.{number % 250}:8082",
        )
        for number in range(count)
    )


@cache
def _table(members: tuple[Member, ...]) -> OwnershipTable:
    shard_count = len(members) * SHARDS_PER_INSTANCE
    placed = place_shards(OwnershipTable(), members, shard_count)
    return next_table(OwnershipTable(), members, placed, "writer-1")


_INSTANCE_COUNTS = (7, 95, 380)


@_quantity("bytes", "instance with 4 shards", _INSTANCE_COUNTS)
def ownership_size(instances: int) -> float:
    """Size of the ownership table."""
    return float(len(encode_table(_table(_members(instances)))))


@_quantity("us", "instance with 4 shards", _INSTANCE_COUNTS)
def ownership_decode_time(instances: int) -> float:
    """Time to read the ownership table, as every instance does after a change."""
    value = encode_table(_table(_members(instances)))
    return _timed_us(lambda: decode_table(value))


@_quantity("us", "instance with 4 shards", _INSTANCE_COUNTS)
def placement_time(instances: int) -> float:
    """Time to place the shards after one instance was lost."""
    members = _members(instances)
    table = _table(members)
    shard_count = len(members) * SHARDS_PER_INSTANCE
    return _timed_us(lambda: place_shards(table, members[1:], shard_count), repeats=3)


@cache
def _configuration(accounts: int) -> Configuration:
    configuration = EMPTY_CONFIGURATION
    budget = Budget(tokens=10**6, calls=1000, cost_micros=10**8, wall_s=86_400.0)
    for number in range(accounts):
        account_id = f"account-{number:04}"
        account = Account(account_id=account_id, rate_per_s=9.0, burst=90)
        profile = Profile(
            name=f"profile-{number:04}", account_ids=(account_id,), budget=budget, routes=()
        )
        changes = [
            PutAccount(account=account, replaces=False),
            PutProfile(profile=profile, replaces=False),
        ]
        for key_number in range(KEYS_PER_ACCOUNT):
            digest = digest_of(f"{number}-{key_number}")
            key = ApiKey(digest=digest, account_id=account_id, label=f"key {key_number}")
            changes.append(PutKey(key=key, replaces=False))
        for change in changes:
            configuration = apply_change(configuration, change).unwrap()
    return configuration


_ACCOUNT_COUNTS = (8, 190, 570)


@_quantity("bytes", "account with a profile and 3 keys", _ACCOUNT_COUNTS)
def snapshot_size(accounts: int) -> float:
    """Size of a configuration snapshot."""
    return float(len(encode_value(_configuration(accounts))))


@_quantity("us", "account with a profile and 3 keys", _ACCOUNT_COUNTS)
def change_time(accounts: int) -> float:
    """Time to apply one change of a key."""
    configuration = _configuration(accounts)
    key = ApiKey(digest=digest_of("new"), account_id="account-0000")
    refused = apply_change(configuration, PutKey(key=key, replaces=True)).unwrap_err()
    assert refused.kind is ErrorKind.NOT_FOUND
    return _timed_us(lambda: apply_change(configuration, PutKey(key=key, replaces=False)))


@_quantity("bytes", "account with a profile and 3 keys", _ACCOUNT_COUNTS)
def configuration_memory(accounts: int) -> float:
    """Memory of a configuration."""
    return _bytes_held(lambda: _configuration.__wrapped__(accounts))


@_quantity("bytes", "recent change", (1, 16, 32))
def head_size(changes: int) -> float:
    """Size of the configuration's head with so many recent changes."""
    records = tuple(
        ChangeRecord(
            version=number + 1,
            from_version=number,
            change_id=f"change-{number:024x}",
            changed_by="operator",
            changed_at_s=1.7e9,
            change=PutKey(
                key=ApiKey(digest=digest_of(str(number)), account_id="account-0001"),
                replaces=False,
            ),
        )
        for number in range(changes)
    )
    head = Head(version=changes, snapshot_digest=digest_of(""), recent=records)
    return float(len(encode_value(head)))
