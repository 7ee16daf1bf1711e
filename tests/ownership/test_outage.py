"""Tests of an owner whose key-value service is silent or slow instead of failing at once."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

import trio
import trio.testing
from result import Err, Ok, Result

from lagoonfold import (
    Entry,
    ErrorKind,
    InstanceId,
    LeaseGrant,
    NewEntry,
    ProgramId,
    Ran,
    ShardId,
    StoreError,
    StoreErrorKind,
)
from lagoonfold.records import ShardReleased
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._ownership import OpenShard, OwnershipContext, _journal_appender
from lagoonfold_node._ownership._lease_controller import LeaseController
from lagoonfold_node._ownership._recovery import recover_shard
from lagoonfold_node._ownership._table_controller import OwnershipTableController
from tests._suite import load_functions
from tests.ownership._fleet import (
    SETTINGS,
    WAIT_LIMIT_S,
    Fleet,
    Instance,
    create_program,
    make_call,
    make_turn,
    read_turns,
    run_with_fleet,
    submit_call,
    wait_until,
)

PROGRAM = "prg-outage"
OTHER = "prg-outage-other"
LONG_LEASE = replace(SETTINGS, lease_s=15.0, renew_s=0.5, shard_count=1)
SHORT_SILENCE_S = 0.3
LATE_ANSWER_DELAY_S = 0.8
SLOW_S = 0.3
SLOW_LEASE = replace(SETTINGS, lease_s=4.0, renew_s=2.0)
SAMPLE_S = 0.05
TEST_DURATION_S = 60.0


async def _check_refused(shard: OpenShard, program_id: str, *, turn: int = 1) -> None:
    """Check that a non-idempotent call is refused as not run, with a time to retry."""
    request = make_call(program_id, turn)
    execute = shard.state.decide_begin(request, 0.0, run_id=shard.run_id).unwrap()
    with trio.fail_after(WAIT_LIMIT_S):
        refused = await shard.commit(execute.records)
    assert isinstance(refused, Err)
    refusal = refused.err_value
    assert (refusal.kind, refusal.ran) == (ErrorKind.PLATFORM_UNAVAILABLE, Ran.NO)
    assert refusal.retry_after_s > 0


class _SlowJournal:
    """A service whose every write takes `answer_s`, then fails if `error` is given."""

    def __init__(self, answer_s: float, error: StoreErrorKind | None = None) -> None:
        self._answer_s = answer_s
        self._error = error

    async def create(self, entry: NewEntry) -> Result[None, StoreError]:
        await trio.sleep(self._answer_s)
        if self._error is not None:
            return Err(StoreError(kind=self._error, detail=entry.key))
        return Ok(None)


def _stalled_after_s(journal: _SlowJournal, *, appends: int) -> float | None:
    """Return the time until the journal counts as stalled, None if it never does."""

    async def run() -> float | None:
        appender = _journal_appender.JournalAppender(journal, journal, ShardId(0), 1, 1)
        started_s = trio.current_time()
        stalled_s = None
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = started_s + TEST_DURATION_S

            async def record_stall() -> None:
                nonlocal stalled_s
                await appender.wait_stalled()
                stalled_s = trio.current_time() - started_s
                nursery.cancel_scope.cancel()

            nursery.start_soon(record_stall)
            for _ in range(appends):
                await appender.append((ShardReleased(1),))
            nursery.cancel_scope.cancel()
        return stalled_s

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_when_a_journal_counts_as_stalled() -> None:
    """A journal stalls after a second of errors or two of silence, not for slow answers."""
    refusing = _SlowJournal(0.0, StoreErrorKind.UNAVAILABLE)
    assert _stalled_after_s(refusing, appends=1) == _journal_appender.STALL_LIMIT_S
    silent = _SlowJournal(math.inf)
    assert _stalled_after_s(silent, appends=1) == _journal_appender.SILENCE_LIMIT_S
    assert _stalled_after_s(_SlowJournal(1.5), appends=20) is None


class _SlowStore:
    """A service that completes each operation after `answer_s`."""

    def __init__(self, answer_s: float) -> None:
        self._answer_s = answer_s

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        await trio.sleep(self._answer_s)
        return Ok(LeaseGrant(lease_id=1, ttl_s=ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        await trio.sleep(self._answer_s)
        return Ok(SLOW_LEASE.lease_s)

    async def get(self, key: str) -> Result[Entry, StoreError]:
        await trio.sleep(self._answer_s)
        return Ok(Entry(key=key, value=b"", revision=0))

    async def get_if_changed(self, key: str, known: int) -> Result[None, StoreError]:
        await trio.sleep(self._answer_s)
        return Ok(None)

    async def put_if(self, key: str, value: bytes, **_: object) -> Result[int, StoreError]:
        await trio.sleep(self._answer_s)
        return Ok(1)

    @asynccontextmanager
    async def watch(self, prefix: str, **_: object) -> AsyncIterator[AsyncIterator]:
        await trio.sleep_forever()
        yield


def test_slow_answers_do_not_expire_the_lease() -> None:
    """Renewal intervals count from requests; counted from slow answers, the lease would expire."""

    async def run() -> None:
        context = OwnershipContext(
            instance_id=InstanceId("entry-1"),
            peer_address="127.0.0.1:1",
            failure_domain="domain-a",
            store=_SlowStore(1.5),
            board=Board(),
            metrics=Metrics(),
            settings=SLOW_LEASE,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(LeaseController(context).run)
            nursery.start_soon(OwnershipTableController(context).run)
            with trio.fail_after(TEST_DURATION_S):
                while not (context.has_lease() and context.is_table_fresh()):
                    await trio.sleep(SAMPLE_S)
            with trio.move_on_after(TEST_DURATION_S):
                while True:
                    assert context.has_lease() and context.is_table_fresh()
                    await trio.sleep(SAMPLE_S)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def _check_outage_without_answers(**faults: object) -> None:
    """Check an owner through an outage in which no call is answered before its timeout."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(0, LONG_LEASE)]
        _, shard = await fleet.open_shard(instances, PROGRAM)
        for program_id in (PROGRAM, OTHER):
            await create_program(shard, program_id)
        fleet.kv.set_faults(**faults)
        assert not shard.is_stalled()
        await _check_refused(shard, PROGRAM)
        assert shard.is_stalled() and shard.holds_ownership()
        with trio.fail_after(WAIT_LIMIT_S):
            refusal = await shard.wait_stalled()
        assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE and refusal.retry_after_s > 0
        begun = submit_call(shard, OTHER, is_idempotent=True)
        assert shard.state.programs_by_id[ProgramId(OTHER)].is_running(begun.call_id)
        fleet.kv.set_faults()
        await wait_until(lambda: not shard.is_stalled())
        (await shard.commit(())).unwrap()
        assert shard.epoch == 1 and shard.holds_ownership()
        kept = (await recover_shard(fleet.kv.store, ShardId(0))).unwrap()
        assert {call.program_id for call in kept.state.running_calls()} == {PROGRAM, OTHER}

    with mock.patch.object(_journal_appender, "SILENCE_LIMIT_S", SHORT_SILENCE_S):
        run_with_fleet(check)


def _open_shards(instances: list[Instance]) -> list[OpenShard]:
    return [shard for each in instances for shard in each.board.shards.read().values()]


def test_silent_service() -> None:
    """Calls that arrive before the stall is detected are refused; queued records are kept."""
    _check_outage_without_answers(outage="silent")


def test_service_whose_answers_come_too_late() -> None:
    """Writes take effect though their answers arrive after the timeout: each is stored once."""
    _check_outage_without_answers(delay_s=LATE_ANSWER_DELAY_S)


def test_slow_service_causes_no_stall() -> None:
    """While answers are slow, the lease is renewed and calls are slow but not refused."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(0, LONG_LEASE, call_timeout_s=WAIT_LIMIT_S)]
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        fleet.kv.set_faults(delay_s=SLOW_S)
        await create_program(shard, PROGRAM)
        for turn in (1, 2):
            await make_turn(shard, PROGRAM, turn)
        renewed = fleet.kv.service.counts_by_operation["keepalive"]
        await wait_until(lambda: fleet.kv.service.counts_by_operation["keepalive"] >= renewed + 2)
        assert shard.holds_ownership() and shard.epoch == 1
        assert owner.ownership.context.metrics.counter_value("stalled_commits") == 0
        assert len(await read_turns(fleet, instances, PROGRAM)) == 2

    run_with_fleet(check)


def test_lease_expires_in_silence_and_is_acquired_again() -> None:
    """Two instances whose leases expired while the service was silent own shards again later."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        _, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        await make_turn(shard, PROGRAM, 1)
        fleet.kv.set_faults(outage="silent")
        await wait_until(
            lambda: not any(each.holds_ownership() for each in _open_shards(instances))
        )
        await _check_refused(shard, PROGRAM, turn=2)
        fleet.kv.set_faults()
        _, later = await fleet.open_shard(instances, PROGRAM)
        await make_turn(later, PROGRAM, 2)
        assert len(await read_turns(fleet, instances, PROGRAM)) == 2

    run_with_fleet(check)


load_tests = load_functions(globals())
