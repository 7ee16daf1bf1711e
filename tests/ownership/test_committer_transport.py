"""Tests of journal entries that are sent through the failure domain's committer."""

from dataclasses import replace

import msgspec
import trio

from lagoonfold import ProgramId
from lagoonfold.membership import Member, committer_of
from lagoonfold.records import journal_key
from lagoonfold_node._ownership import OpenShard
from tests._suite import load_functions
from tests.ownership._fleet import (
    SETTINGS,
    WAIT_LIMIT_S,
    Fleet,
    Instance,
    create_program,
    make_turn,
    read_turns,
    run_with_fleet,
    wait_until,
)

DOMAIN = "domain-0"
DOMAIN_INDEXES = (0, 3)
THROUGH_COMMITTER = replace(SETTINGS, commit_interval_s=0.01, commits_through_committer=True)


class _Domain:
    """Two instances of one failure domain: its committer and another one."""

    def __init__(self, committer: Instance, other: Instance) -> None:
        self.committer = committer
        self.other = other

    @classmethod
    async def start(cls, fleet: Fleet) -> "_Domain":
        """Start the instances; wait until both know each other and have open shards."""
        instances = [await fleet.start(index, THROUGH_COMMITTER) for index in DOMAIN_INDEXES]
        await wait_until(lambda: all(len(each.board.shards.read()) == 2 for each in instances))
        await wait_until(lambda: all(len(each.board.members.read()) == 2 for each in instances))
        members = instances[0].board.ownership.read().table.members
        name = committer_of(members, DOMAIN)
        instances.sort(key=lambda each: each.ownership.context.instance_id != name)
        return cls(*instances)

    def program(self) -> tuple[str, OpenShard]:
        """Return the id of a program to create on the other instance, and its shard."""
        names = (f"prg-{number}" for number in range(1_000))
        shards = self.other.ownership.shards
        return next((name, shard) for name in names if (shard := shards.find_open_for(name)))

    def count_sent(self, reason: str) -> float:
        """Return how many entries the other instance has sent the way that `reason` names."""
        return self.other.ownership.context.metrics.counter_value("journal_entries_sent", reason)

    def count_calls(self) -> dict[str, float]:
        """Return the counts of the calls by which the other instance itself wrote entries."""
        return dict(self.other.ownership.context.metrics.counts().get("journal_calls", {}))


def test_entries_are_sent_through_the_committer() -> None:
    """An instance that is not the committer writes no entry by a call of its own."""

    async def check(fleet: Fleet) -> None:
        domain = await _Domain.start(fleet)
        program, shard = domain.program()
        calls_before = domain.count_calls()
        await create_program(shard, program)
        await make_turn(shard, program, 1)
        assert domain.count_sent("committer") == 3
        assert domain.count_calls() == calls_before
        assert len(await read_turns(fleet, [domain.other], program)) == 1

    run_with_fleet(check)


def test_lost_answer_to_the_committer() -> None:
    """If the committer's call loses its answer, the owner reads back, and retries if absent."""

    async def check(fleet: Fleet) -> None:
        domain = await _Domain.start(fleet)
        program, shard = domain.program()
        await create_program(shard, program)
        for turn, fault in enumerate(("drop_answer", "silent"), start=1):
            first = shard._appender.next_sequence
            fleet.kv.set_faults(
                operations=("txn",), key_contains="/journal/", remaining=1, **{fault: 1.0}
            )
            await make_turn(shard, program, turn)
            assert shard._appender.next_sequence == first + 2
        assert domain.count_sent("committer-lost") == 0
        assert domain.count_sent("committer") == 6
        assert len(await read_turns(fleet, [domain.other], program)) == 2

    run_with_fleet(check)


def test_committer_that_sends_late() -> None:
    """The owner writes the entry; a late copy below the checkpoint does not enter the history."""

    async def check(fleet: Fleet) -> None:
        domain = await _Domain.start(fleet)
        program, shard = domain.program()
        key = journal_key(shard.shard_id, shard._appender.next_sequence)
        domain.committer.store.cut()
        await create_program(shard, program)
        assert domain.count_sent("committer-lost") == 1
        turns = 0
        while (await fleet.kv.store.get(key)).unwrap().revision:
            turns += 1
            await make_turn(shard, program, turns)
        domain.committer.store.heal()
        with trio.fail_after(WAIT_LIMIT_S):
            while not (await fleet.kv.store.get(key)).unwrap().revision:
                await trio.sleep(0.01)
        domain.other.scope.cancel()
        _, successor = await fleet.open_shard([domain.committer], program)
        history = (await successor.read_history(ProgramId(program))).unwrap()
        assert [turn.number for turn in history] == list(range(1, turns + 1))

    run_with_fleet(check)


def test_choice_of_the_committer() -> None:
    """The committer changes only if it is removed, leaves, or is excluded."""
    members = tuple(
        Member(
            instance_id=f"entry-{index}",
            incarnation="run-1",
            address="127.0.0.1:1",
            failure_domain=f"domain-{index % 3}",
        )
        for index in range(30)
    )
    chosen = committer_of(members, DOMAIN)
    second = committer_of(members, DOMAIN, excluded={chosen})
    assert chosen in {member.instance_id for member in members[::3]}
    for member in members:
        rest = tuple(other for other in members if other is not member)
        left = (*rest, msgspec.structs.replace(member, leaving=True))
        expected = second if member.instance_id == chosen else chosen
        assert committer_of(rest, DOMAIN) == committer_of(left, DOMAIN) == expected
    assert committer_of(members[1:3], DOMAIN) is None


load_tests = load_functions(globals())
