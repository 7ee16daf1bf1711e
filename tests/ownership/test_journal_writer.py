"""Tests of calls that write the journal entries of many shards."""

from collections.abc import Awaitable, Callable
from unittest.mock import patch

import trio
import trio.testing
from result import Ok, Result

from lagoonfold import MAX_CREATES_PER_CALL, InstanceId, NewEntry, ShardId, StoreErrorKind
from lagoonfold.records import EpochStarted, journal_key, journal_prefix
from lagoonfold_io import CallRateLimiter
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._ownership import OwnershipContext
from lagoonfold_node._ownership._direct_transport import DirectJournalTransport
from lagoonfold_node._ownership._journal_appender import AppendResult, JournalAppender
from lagoonfold_node._ownership._journal_writer import MAX_SHARED_BYTES, JournalWriter
from standins import kv as kv_standin
from tests._suite import load_functions
from tests.ownership._fleet import (
    SETTINGS,
    Fleet,
    create_program,
    make_turn,
    read_turns,
    run_with_fleet,
    wait_until,
)
from tests.platform._kv import KvFixture, run_with_kv

PROGRAM = "prg-1"
CALLS_PER_S = 10.0
MAX_TURNS = 100
RECORDS = (EpochStarted(1, "entry-1/run-1", ()),)


class _WriterFixture:
    """One instance's writer, which starts to send once all operations of a test are pending."""

    def __init__(self, store: object, *, interval_s: float = 0.0) -> None:
        self.store = store
        self.metrics = Metrics()
        context = OwnershipContext(
            instance_id=InstanceId("entry-1"),
            peer_address="127.0.0.1:1",
            failure_domain="domain-a",
            store=store,
            board=Board(),
            metrics=self.metrics,
            settings=SETTINGS,
        )
        self.writer = JournalWriter(DirectJournalTransport(context), interval_s)

    async def create(self, entries: list[NewEntry]) -> list[Result]:
        """Create entries together; return their results."""
        return await self._run_together(self.writer.create, entries)

    async def append(self, shard_count: int) -> list[AppendResult]:
        """Append the first entries of shards together; return the results of the appends."""
        appenders = [
            JournalAppender(self.store, self.writer, ShardId(shard), 1, 1)
            for shard in range(shard_count)
        ]
        return await self._run_together(lambda appender: appender.append(RECORDS), appenders)

    async def _run_together(self, operation: Callable[..., Awaitable], items: list) -> list:
        results = [None] * len(items)

        async def run_one(index: int) -> None:
            results[index] = await operation(items[index])

        async with trio.open_nursery() as running:
            async with trio.open_nursery() as nursery:
                for index in range(len(items)):
                    nursery.start_soon(run_one, index)
                    await trio.testing.wait_all_tasks_blocked()
                running.start_soon(self.writer.run)
            running.cancel_scope.cancel()
        return results


def _entries(*sizes_bytes: int) -> list[NewEntry]:
    return [
        NewEntry(key=f"e/{index:04d}", value=b"v" * size) for index, size in enumerate(sizes_bytes)
    ]


def test_one_fenced_shard_among_others() -> None:
    """One call creates the absent entries; only the shard with a new owner is fenced."""

    async def check(kv: KvFixture) -> None:
        fence = journal_key(ShardId(1), 1)
        (await kv.store.put_if(fence, b"successor", expected_revision=0)).unwrap()
        fixture = _WriterFixture(kv.connect())
        assert await fixture.append(3) == [
            AppendResult.DONE,
            AppendResult.FENCED,
            AppendResult.DONE,
        ]
        assert (await kv.store.get(fence)).unwrap().value == b"successor"
        assert fixture.store.counts_by_operation["txn"] == 1

    run_with_kv(check)


def test_lost_answer_of_a_shared_call() -> None:
    """Every shard of the call reads its own entry back, and writes it again if absent."""

    async def check(kv: KvFixture) -> None:
        for fault in ("drop_answer", "silent"):
            fixture = _WriterFixture(kv.connect())
            kv.set_faults(operations=("txn",), remaining=1, **{fault: 1.0})
            assert await fixture.append(4) == [AppendResult.DONE] * 4
            for shard in range(4):
                listing = await kv.store.list(journal_prefix(ShardId(shard)))
                assert len(listing.unwrap().entries) == 1
            assert (fixture.store.counts_by_operation["txn"] == 1) == (fault == "drop_answer")
            assert fixture.metrics.counter_value("store_errors", "lost-answer") == 1
            (await kv.store.delete_range("shard/", "shard0")).unwrap()

    run_with_kv(check)


def test_calls_are_bounded() -> None:
    """Entries are split into several calls at the limits of entries and bytes, and per key."""

    async def check(kv: KvFixture) -> None:
        for entries, calls in (
            (_entries(*[10] * (2 * MAX_CREATES_PER_CALL + 1)), 3),
            (_entries(MAX_SHARED_BYTES + 1, MAX_SHARED_BYTES // 2, MAX_SHARED_BYTES // 2), 2),
        ):
            fixture = _WriterFixture(kv.connect())
            assert all(isinstance(result, Ok) for result in await fixture.create(entries))
            refused = fixture.metrics.counter_value("store_errors", "refused")
            made = dict(fixture.store.counts_by_operation)
            assert made == {"txn": calls}, f"{made}, {refused} refused"
            (await kv.store.delete_range("e/", "f/")).unwrap()
        fixture = _WriterFixture(kv.connect())
        twice = await fixture.create([*_entries(1, 1), *_entries(2)])
        assert fixture.metrics.counter_value("store_errors", "refused") == 0
        failed = [result.err_value.kind for result in twice if not isinstance(result, Ok)]
        assert failed == [StoreErrorKind.CONFLICT]

    run_with_kv(check)


def test_service_that_refuses_shared_calls() -> None:
    """If the service refuses a shared call, entries are written singly; the refusal is counted."""

    async def check(kv: KvFixture) -> None:
        fixture = _WriterFixture(kv.connect())
        with patch.object(kv_standin, "MAX_TXN_OPERATIONS", 1):
            assert await fixture.append(3) == [AppendResult.DONE] * 3
        assert fixture.metrics.counter_value("store_errors", "refused") == 1
        assert fixture.metrics.counter_value("journal_calls", "single") == 3

    run_with_kv(check)


class _TimedStore:
    """A store that records how many entries are created at which time."""

    def __init__(self) -> None:
        self.counts_by_time_s: dict[float, int] = {}

    async def wait_for_rate_limit(self) -> None:
        """Return at once, as there is no rate limit."""

    async def create_absent(self, entries: tuple[NewEntry, ...]) -> Result[frozenset[str], None]:
        """Record a call of many entries."""
        self.counts_by_time_s[trio.current_time()] = len(entries)
        return Ok(frozenset(entry.key for entry in entries))

    async def put_if(self, key: str, value: bytes, *, expected_revision: int) -> Result[int, None]:
        """Record a call of one entry."""
        self.counts_by_time_s[trio.current_time()] = 1
        return Ok(1)


def test_entries_share_the_next_call() -> None:
    """An entry is sent at once; entries created in the interval after it share one call."""

    async def check() -> None:
        store = _TimedStore()
        writer = _WriterFixture(store, interval_s=0.5).writer
        start_s = trio.current_time()

        async def create(entry: NewEntry, at_s: float) -> None:
            await trio.sleep(at_s)
            await writer.wait_until_due()
            await writer.create(entry)

        async with trio.open_nursery() as running:
            running.start_soon(writer.run)
            async with trio.open_nursery() as nursery:
                for index, entry in enumerate(_entries(1, 1, 1, 1)):
                    nursery.start_soon(create, entry, index * 0.125)
            running.cancel_scope.cancel()
        assert store.counts_by_time_s == {start_s: 1, start_s + 0.5: 3}

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


def test_late_copy_of_a_trimmed_entry() -> None:
    """A copy created after the checkpoint is ignored, and the next checkpoint deletes it."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        key = journal_key(shard.shard_id, shard._appender.next_sequence)
        await create_program(shard, PROGRAM)
        copy = (await fleet.kv.store.get(key)).unwrap()
        turn = 0

        async def trim() -> None:
            nonlocal turn
            while (await fleet.kv.store.get(key)).unwrap().revision:
                turn += 1
                assert turn < MAX_TURNS
                await make_turn(shard, PROGRAM, turn)

        await trim()
        (await fleet.kv.store.put_if(key, copy.value, expected_revision=0)).unwrap()
        with trio.fail_after(20):
            await trim()
        (await fleet.kv.store.put_if(key, copy.value, expected_revision=0)).unwrap()
        owner.scope.cancel()
        instances.remove(owner)
        turns = await read_turns(fleet, instances, PROGRAM)
        assert len(turns) == turn
        await wait_until(lambda: not shard.holds_ownership())

    run_with_fleet(check)


class _RateLimitedStore:
    """A store whose calls are limited to a rate."""

    def __init__(self) -> None:
        self._rate = CallRateLimiter(CALLS_PER_S)
        self.wait_for_rate_limit = lambda: trio.sleep(self._rate.wait_s())

    async def create_absent(self, entries: tuple[NewEntry, ...]) -> Result[frozenset[str], None]:
        """Make a call of many entries, as the rate limit permits."""
        assert await self._rate.acquire("txn"), "the rate of calls is used up"
        return Ok(frozenset(entry.key for entry in entries))

    async def put_if(self, key: str, value: bytes, *, expected_revision: int) -> Result[int, None]:
        """Make a call of one entry, as the rate limit permits."""
        assert await self._rate.acquire("txn"), "the rate of calls is used up"
        return Ok(1)


def test_entries_beyond_the_rate_limit_share_calls() -> None:
    """At five entries per permitted call, no entry ever waits longer than for two calls."""

    async def check() -> None:
        writer = _WriterFixture(_RateLimitedStore(), interval_s=0.005).writer
        waits_s: list[float] = []

        async def create(entry: NewEntry) -> None:
            requested_at_s = trio.current_time()
            (await writer.create(entry)).unwrap()
            waits_s.append(trio.current_time() - requested_at_s)

        async with trio.open_nursery() as running:
            running.start_soon(writer.run)
            async with trio.open_nursery() as nursery:
                for entry in _entries(*[10] * 200):
                    nursery.start_soon(create, entry)
                    await trio.sleep(1 / CALLS_PER_S / 5)
            running.cancel_scope.cancel()
        assert len(waits_s) == 200
        assert max(waits_s) <= 2 / CALLS_PER_S + 0.005, max(waits_s)

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


load_tests = load_functions(globals())
