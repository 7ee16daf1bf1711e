"""Tests of ownership under crashes, partitions, planned stops and lost answers."""

import math
from dataclasses import replace
from unittest import mock

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import (
    ErrorKind,
    ListedInstance,
    ProgramId,
    Ran,
    StoreError,
    StoreErrorKind,
)
from lagoonfold.records import CallOutcome, Replay, match_replay
from lagoonfold_node._ownership import OpenShard, _shard_controller
from lagoonfold_node._ownership._context import ALLOCATOR_KEY
from tests._suite import load_functions
from tests.ownership._fleet import (
    LIMITS,
    SETTINGS,
    Fleet,
    answered,
    begin_call,
    create_program,
    make_call,
    make_turn,
    read_turns,
    run_with_fleet,
    submit_call,
    wait_until,
)

PROGRAM = "prg-1"


def test_crash_between_intent_and_outcome() -> None:
    """The next owner keeps the history, records the call as unknown, and continues after it."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        await make_turn(shard, PROGRAM, 1)
        await begin_call(shard, PROGRAM, 2)
        owner.scope.cancel()
        instances.remove(owner)
        _, successor = await fleet.open_shard(instances, PROGRAM)
        assert successor.epoch > shard.epoch
        repeated = successor.state.decide_begin(make_call(PROGRAM, 2), 0.0)
        assert isinstance(repeated, Err)
        refusal = repeated.err_value
        assert (refusal.kind, refusal.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        history = (await successor.read_history(ProgramId(PROGRAM))).unwrap()
        assert [turn.outcome for turn in history] == [CallOutcome.ANSWERED, CallOutcome.UNKNOWN]
        await make_turn(successor, PROGRAM, 3)

    run_with_fleet(check)


def test_owner_cut_off_past_its_lease() -> None:
    """A partitioned owner stops by its own clock, and its later append is fenced off."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        call_id = await begin_call(shard, PROGRAM, 1)
        owner.store.cut()
        instances.remove(owner)
        await wait_until(lambda: not shard.holds_ownership())
        await fleet.open_shard(instances, PROGRAM)
        assert not shard.holds_ownership()
        refused = await shard.commit(shard.state.decide_cancel(PROGRAM, "acme", 0.0).unwrap())
        assert isinstance(refused, Err) and refused.err_value.ran is Ran.NO
        owner.store.heal()
        with trio.fail_after(20):
            late = await shard.commit((answered(PROGRAM, call_id),))
        assert isinstance(late, Err) and late.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
        turns = await read_turns(fleet, [owner, *instances], PROGRAM)
        assert [turn.outcome for turn in turns] == [CallOutcome.UNKNOWN]

    run_with_fleet(check)


def test_planned_stop_during_a_call() -> None:
    """A call that runs during a hand-over settles at the new owner, which replays its repeat."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        call_id = await begin_call(shard, PROGRAM, 1)
        owner.board.stopping.write(True)
        instances.remove(owner)
        _, successor = await fleet.open_shard(instances, PROGRAM)
        assert not shard.holds_ownership()
        (await shard.commit((answered(PROGRAM, call_id),))).unwrap()
        repeat = make_call(PROGRAM, 1)
        assert successor.state.decide_begin(repeat, 0.0).unwrap() == Replay(turn=1)
        program = successor.state.programs_by_id[ProgramId(PROGRAM)]
        recorded = (await successor.read_turn(program, 1)).unwrap()
        assert match_replay(recorded, repeat).unwrap().answer == b"done"
        with trio.fail_after(20):
            await owner.ownership.hand_over(timeout_s=10)
        assert not owner.board.shards.read()

    run_with_fleet(check)


def test_executor_lost_after_a_hand_over() -> None:
    """If a call's executor crashes after the hand-over, the new owner records it as unknown."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        owner, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        await begin_call(shard, PROGRAM, 1)
        owner.board.stopping.write(True)
        instances.remove(owner)
        _, successor = await fleet.open_shard(instances, PROGRAM)
        assert len(successor.state.running_calls()) == 1
        owner.scope.cancel()
        await wait_until(lambda: not successor.state.running_calls())
        turns = (await successor.read_history(ProgramId(PROGRAM))).unwrap()
        assert [turn.outcome for turn in turns] == [CallOutcome.UNKNOWN]

    run_with_fleet(check)


class _LaggingList:
    """An instance list that has only leaving instances, and fails while `is_down`."""

    def __init__(self) -> None:
        self.leaving_ids: tuple[str, ...] = ()
        self.is_down = False

    async def read(self) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Return the leaving instances."""
        if self.is_down:
            return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, detail="down"))
        return Ok(
            tuple(
                ListedInstance(
                    instance_id=name, role="entry", address="", failure_domain="", leaving=True
                )
                for name in self.leaving_ids
            )
        )


def test_shards_leave_an_instance_listed_as_leaving() -> None:
    """Shards move off a listed instance, and do not return while the list is unavailable."""

    async def check(fleet: Fleet) -> None:
        instance_list = _LaggingList()
        instances = [await fleet.start(index, instance_list=instance_list) for index in range(2)]
        await wait_until(lambda: all(each.board.shards.read() for each in instances))
        leaving, _ = await fleet.open_shard(instances, PROGRAM)
        instances.remove(leaving)
        instance_list.leaving_ids = (leaving.ownership.context.instance_id,)
        await wait_until(lambda: not leaving.board.shards.read())
        await fleet.open_shard(instances, PROGRAM)
        instance_list.is_down = True
        revision = leaving.board.ownership.read().revision
        await fleet.start(2, instance_list=instance_list)
        await wait_until(lambda: leaving.board.ownership.read().revision > revision)
        assert not leaving.board.shards.read()

    run_with_fleet(check)


def test_takeover_while_watches_are_silent() -> None:
    """No watch reports a crash; the allocator's reads detect it within a few renewals."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(3)]
        await wait_until(lambda: all(each.board.shards.read() for each in instances))
        allocator = (await fleet.kv.store.get(ALLOCATOR_KEY)).unwrap().value.decode()
        fleet.kv.set_faults(mute_watches=True)
        lost = next(each for each in instances if each.ownership.context.run_id != allocator)
        instances.remove(lost)
        lost.scope.cancel()
        lost_id = lost.ownership.context.instance_id
        board = instances[0].board
        await wait_until(
            lambda: lost_id
            not in {each.instance_id for each in board.ownership.read().table.owners}
        )

    run_with_fleet(check)


def test_turns_are_recorded_once_despite_lost_answers() -> None:
    """With three in ten answers lost, every turn is recorded once, also across checkpoints."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(0)]
        _, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        fleet.kv.set_faults(drop_answer=0.3, seed=5, operations=("txn",), key_contains="shard/")
        for turn in range(1, 31):
            await make_turn(shard, PROGRAM, turn)
        await wait_until(lambda: shard.state.programs_by_id[ProgramId(PROGRAM)].segments != ())
        fleet.kv.set_faults()
        instances[0].scope.cancel()
        restarted = [await fleet.start(0)]
        _, again = await fleet.open_shard(restarted, PROGRAM)
        turns = (await again.read_history(ProgramId(PROGRAM))).unwrap()
        assert [turn.number for turn in turns] == list(range(1, 31))
        assert all(turn.outcome is CallOutcome.ANSWERED for turn in turns)

    run_with_fleet(check)


def test_group_commit_shares_entries() -> None:
    """Records that are queued together share a few journal entries."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(0)]
        instance, shard = await fleet.open_shard(instances, PROGRAM)
        before = instance.ownership.context.metrics.counter_value("commits")
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(create_program, shard, f"{PROGRAM}.{len(nursery.child_tasks)}")
        after = instance.ownership.context.metrics.counter_value("commits")
        assert len(shard.state.programs_by_id) == 50 and after - before <= 3

    run_with_fleet(check)


def test_large_answer_survives_checkpoint_and_takeover() -> None:
    """An answer of several journal entries survives a checkpoint and a takeover."""

    async def check(fleet: Fleet) -> None:
        answer = bytes(range(256)) * 10_000
        instances = [await fleet.start(0)]
        _, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        call_id = await begin_call(shard, PROGRAM, 1)
        settled = msgspec.structs.replace(answered(PROGRAM, call_id), answer=answer)
        (await shard.commit((settled,))).unwrap()
        instances[0].scope.cancel()
        instances = [await fleet.start(0)]
        assert (await read_turns(fleet, instances, PROGRAM))[0].answer == answer
        _, shard = await fleet.open_shard(instances, PROGRAM)
        for turn in range(2, 14):
            await make_turn(shard, PROGRAM, turn)
        await wait_until(lambda: shard.segment_names() != ())
        instances[0].scope.cancel()
        turns = await read_turns(fleet, [await fleet.start(0)], PROGRAM)
        assert turns[0].answer == answer and len(turns) == 13

    run_with_fleet(check)


def test_calls_are_refused_during_an_outage() -> None:
    """In an outage no call begins, the refusal has a time to retry, and calls work after it."""

    async def check(fleet: Fleet) -> None:
        instances = [await fleet.start(index) for index in range(2)]
        _, shard = await fleet.open_shard(instances, PROGRAM)
        await create_program(shard, PROGRAM)
        fleet.kv.set_faults(outage="refuse")
        await wait_until(lambda: not shard.holds_ownership())
        request = make_call(PROGRAM, 1)
        execute = shard.state.decide_begin(request, 0.0, run_id=shard.run_id).unwrap()
        refused = await shard.commit(execute.records)
        assert isinstance(refused, Err)
        assert refused.err_value.ran is Ran.NO and refused.err_value.retry_after_s > 0
        fleet.kv.set_faults()
        _, later = await fleet.open_shard(instances, PROGRAM)
        await make_turn(later, PROGRAM, 1)

    run_with_fleet(check)


def test_outage_shorter_than_the_lease() -> None:
    """While the lease lasts, only idempotent calls begin; all calls that began settle later."""

    async def check(fleet: Fleet) -> None:
        settings = replace(SETTINGS, lease_s=15.0, renew_s=0.5, shard_count=1)
        instances = [await fleet.start(0, settings)]
        _, shard = await fleet.open_shard(instances, PROGRAM)
        programs = [f"prg-{number}" for number in range(3)]
        for program_id in programs:
            await create_program(shard, program_id)
        fleet.kv.set_faults(outage="refuse")
        begun = [submit_call(shard, programs[0], is_idempotent=True)]
        await wait_until(shard.is_stalled)
        refused = await shard.commit(submit_call(shard, programs[1], is_idempotent=False).records)
        assert isinstance(refused, Err)
        refusal = refused.err_value
        assert (refusal.kind, refusal.ran) == (ErrorKind.PLATFORM_UNAVAILABLE, Ran.NO)
        assert refusal.retry_after_s > 0
        begun.append(submit_call(shard, programs[2], is_idempotent=True))
        fleet.kv.set_faults()
        for program_id, execute in zip((programs[0], programs[2]), begun, strict=True):
            (await shard.commit((answered(program_id, execute.call_id),))).unwrap()
        counts = [shard.state.programs_by_id[ProgramId(each)].next_turn for each in programs]
        assert counts == [2, 1, 2] and shard.epoch == 1

    run_with_fleet(check)


def test_program_that_expires_under_a_new_owner_is_let_go() -> None:
    """The new owner's `on_expired` is called for a program older than its ownership."""

    async def check(fleet: Fleet) -> None:
        expired = []

        def record_expiry(program_id: ProgramId, shard: OpenShard) -> None:
            expired.append((program_id, shard.predates_ownership(program_id)))

        with mock.patch.object(_shard_controller, "_EXPIRY_INTERVAL_S", math.inf):
            first = await fleet.start(1)
            _, shard = await fleet.open_shard([first], PROGRAM)
        await create_program(shard, PROGRAM, msgspec.structs.replace(LIMITS, wall_s=1.0))
        first.scope.cancel()
        with mock.patch.object(_shard_controller, "_EXPIRY_INTERVAL_S", 0.05):
            await fleet.start(2, on_expired=record_expiry)
            await wait_until(lambda: bool(expired))
        assert expired == [(PROGRAM, True)]

    run_with_fleet(check)


load_tests = load_functions(globals())
