"""Measures the recovery and the checkpoint of a shard by the number of programs in it.

    python -m bench.takeover [--repeats 3]

Fills one shard with programs of 20 turns, leaves the last commits in the journal, and recovers the
shard from a key-value stand-in in another process that answers in 2 ms. Prints a JSON line for each
size: seconds to recover and to plan the next checkpoint, and bytes of the state, the history and
the journal. Then it crashes an owner and prints the seconds from the crash until its successor has
opened the shard.
"""

import time

import fire
import msgspec
import trio

from bench._kv_process import connect, start_kv
from bench._owner import (
    ACCOUNT,
    LIMITS,
    create_program,
    make_outcome,
    make_request,
    start_owner,
    wait_for_open_shard,
)
from lagoonfold import ShardId
from lagoonfold.records import (
    CreateRequest,
    JournalEntry,
    ProgramShard,
    encode_checkpoint_head,
    encode_entry,
    evict_checkpointed_turns,
    journal_key,
    plan_checkpoint,
)
from lagoonfold_io import EtcdStore
from lagoonfold_node._ownership import OwnershipSettings
from lagoonfold_node._ownership._blob_stores import KvBlobStore
from lagoonfold_node._ownership._recovery import recover_shard

SIZES = (50, 200, 800, 3_200)
TURNS = 20
JOURNAL_ENTRIES = 256
KV_DELAY_S = 0.002
CRASH_SETTINGS = OwnershipSettings(shard_count=4, lease_s=3.0, renew_s=1.0, takeover_wait_s=0.5)
SHARD = ShardId(0)


def _fill_shard(programs: int) -> ProgramShard:
    shard = ProgramShard()
    for number in range(programs):
        request = CreateRequest(
            program_id=f"prg-{number:024d}", account_id=ACCOUNT, profile="field", limits=LIMITS
        )
        for record in shard.decide_create(request, 0.0).unwrap():
            shard.apply(record)
        for turn in range(1, TURNS + 1):
            _apply_turn(shard, request.program_id, turn)
    return shard


def _apply_turn(shard: ProgramShard, program_id: str, turn: int) -> tuple:
    request = make_request(program_id, turn)
    begun = shard.decide_begin(request, 0.0).unwrap().records[0]
    settled = make_outcome(request)
    shard.apply(begun)
    shard.apply(settled)
    return begun, settled


async def _store_shard(store: EtcdStore, shard: ProgramShard) -> dict:
    plan = plan_checkpoint(shard, epoch=1, next_sequence=1, fence_sequences=())
    blobs = KvBlobStore(store)
    for value in plan.values:
        (await blobs.put(SHARD, value)).unwrap()
    key = "shard/0000/checkpoint"
    (await store.put_if(key, encode_checkpoint_head(plan.head), expected_revision=0)).unwrap()
    state_bytes = sum(len(each.data) for each in plan.values if each.name in plan.head.parts)
    journal_bytes = 0
    names = sorted(shard.programs_by_id)
    for sequence in range(1, JOURNAL_ENTRIES + 1):
        name = names[sequence % len(names)]
        records = _apply_turn(shard, name, shard.programs_by_id[name].next_turn)
        data = encode_entry(JournalEntry("writer", 1, records))
        journal_bytes += len(data)
        (await store.put_if(journal_key(SHARD, sequence), data, expected_revision=0)).unwrap()
    evict_checkpointed_turns(shard, plan)
    started_at_s = time.perf_counter()
    plan_checkpoint(shard, epoch=1, next_sequence=JOURNAL_ENTRIES + 1, fence_sequences=())
    plan_s = time.perf_counter() - started_at_s
    return {
        "plan_checkpoint_s": round(plan_s, 4),
        "state_bytes_per_program": round(state_bytes / len(names)),
        "history_bytes": sum(len(each.data) for each in plan.values) - state_bytes,
        "journal_bytes": journal_bytes,
    }


async def _measure(programs: int, repeats: int) -> None:
    async with start_kv(delay_s=KV_DELAY_S) as address:
        store = connect(address)
        stored = await _store_shard(store, _fill_shard(programs))
        times_s = []
        for _ in range(repeats):
            started_at_s = time.perf_counter()
            (await recover_shard(store, SHARD)).unwrap()
            times_s.append(round(time.perf_counter() - started_at_s, 4))
        line = {"programs": programs, "recover_s": sorted(times_s), **stored}
        print(msgspec.json.encode(line).decode(), flush=True)


async def _crash(repeats: int) -> None:
    times_s = []
    for _ in range(repeats):
        async with start_kv(delay_s=KV_DELAY_S) as address:
            async with start_owner(connect(address), CRASH_SETTINGS, name="entry-1") as first:
                shard = await wait_for_open_shard(first, "prg-1")
                await create_program(shard, "prg-1")
            started_at_s = time.perf_counter()
            async with start_owner(connect(address), CRASH_SETTINGS, name="entry-2") as second:
                await wait_for_open_shard(second, "prg-1")
                times_s.append(round(time.perf_counter() - started_at_s, 2))
    settings = {name: getattr(CRASH_SETTINGS, name) for name in ("lease_s", "renew_s")}
    line = {"crash_to_open_s": sorted(times_s), **settings}
    print(msgspec.json.encode(line).decode(), flush=True)


async def _run(repeats: int) -> None:
    for programs in SIZES:
        await _measure(programs, repeats)
    await _crash(repeats)


def main(repeats: int = 3) -> None:
    """Measure every size and the crash `repeats` times."""
    trio.run(_run, repeats)


if __name__ == "__main__":
    fire.Fire(main)
