"""Measures the cost of program records by the number of programs and calls."""

import time

from bench._quantities import allocated_bytes, quantity
from lagoonfold.records import (
    CallOutcome,
    CallRequest,
    CallSettled,
    Cost,
    CreateRequest,
    JournalEntry,
    ProgramLimits,
    ProgramShard,
    Record,
    digest_of_content,
    encode_entry,
)

TURN_BYTES = 1_024
_TURNS_PER_PROGRAM = 8
_LIMITS = ProgramLimits(10**9, 10**6, 10**9, 1e9)


def _run_calls(shard: ProgramShard, program_id: str, turns: int) -> list[Record]:
    """Apply one call for each turn of a program to the shard and return their records."""
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
            reservation=Cost(10, 1, 10),
        )
        begin = shard.decide_begin(request, 1.0, run_id="run-1").unwrap()
        for record in begin.records:
            shard.apply(record)
        settled = CallSettled(
            program_id, request.call_id, CallOutcome.ANSWERED, 200, "json", answer, Cost(10, 1, 10)
        )
        settle_records = shard.decide_settle(settled).unwrap()
        for record in settle_records:
            shard.apply(record)
        records.extend((*begin.records, *settle_records))
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


@quantity("bytes", f"program with {_TURNS_PER_PROGRAM} turns of 2 KB in memory", (20, 60, 182))
def shard_memory(programs: int) -> float:
    """Memory of the programs of one instance."""
    return allocated_bytes(lambda: _shard(programs, _TURNS_PER_PROGRAM))


@quantity("us", "call", (50, 200, 500))
def call_time(calls: int) -> float:
    """Time to decide, apply and encode calls from their begin to their outcome."""
    shard = ProgramShard()
    _create(shard, "program-1")
    started = time.perf_counter()
    records = _run_calls(shard, "program-1", calls)
    encode_entry(JournalEntry("run-1", 1, tuple(records)))
    return (time.perf_counter() - started) * 1e6


@quantity("bytes", "call of 2 KB", (1, 10, 50))
def journal_size(calls: int) -> float:
    """Size of a journal entry by the number of calls in it."""
    shard = ProgramShard()
    _create(shard, "program-1")
    records = _run_calls(shard, "program-1", calls)
    return float(len(encode_entry(JournalEntry("run-1", 1, tuple(records)))))
