"""Merging of statuses, the ring of watchers and silences."""

import math
import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lagoonfold.liveness import (
    DISCOVERY_S,
    LEAVING,
    LIVE,
    LOST,
    WATCHERS,
    InitialMembers,
    InstanceStatus,
    Ring,
    SilenceTracker,
    StatusTable,
    usable_cores,
)
from tests._suite import load_functions

STATUSES = st.lists(
    st.builds(
        InstanceStatus,
        instance=st.sampled_from(["a", "b", "c"]),
        start_id=st.sampled_from(["s1", "s2"]),
        number=st.integers(1, 4),
        state=st.sampled_from([LIVE, LEAVING, LOST]),
    ),
    max_size=12,
)


@given(STATUSES, st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order(
    statuses: list[InstanceStatus], rng: random.Random
) -> None:
    """Statuses that arrive in another order, and some of them twice, give the same table."""
    one, other = StatusTable(), StatusTable()
    one.merge_all(statuses)
    shuffled = [*statuses, *statuses[: len(statuses) // 2]]
    rng.shuffle(shuffled)
    other.merge_all(shuffled)
    assert set(one.all()) == set(other.all())
    assert one.live_ids() == other.live_ids() and one.digest == other.digest


def test_digest_is_that_of_the_live_instances() -> None:
    """A table that has forgotten lost instances has the digest of one that has not."""
    live = InstanceStatus(instance="a", start_id="s", number=1)
    lost = InstanceStatus(instance="b", start_id="s", number=1, state=LOST)
    one, other = StatusTable(), StatusTable()
    one.merge_all([live, lost])
    other.merge(live)
    assert one.digest == other.digest != StatusTable().digest
    one.forget("b")
    one.forget("a")
    assert one.all() == (live,)


def _initial_status(instance: str, *, is_first_start: bool = True) -> InstanceStatus:
    return InstanceStatus(instance=instance, start_id="s", number=1, is_first_start=is_first_start)


def test_initial_members_agree_on_who_is_first_whatever_is_lost_or_added() -> None:
    """At 7, 56, 150 and 300 instances, each subject has one first member for all that know them."""
    for count in (7, 56, 150, 300):
        names = [f"i{number}" for number in range(count)]
        views = [InitialMembers(name, is_first_start=True, started_s=0.0) for name in names[:5]]
        late = InitialMembers("late", is_first_start=False, started_s=60.0)
        for view in views:
            for name in names:
                view.record(_initial_status(name), now_s=1.0)
            view.record(_initial_status("late", is_first_start=False), now_s=61.0)
            late.learn(view.ids)
        assert {view.digest for view in (*views, late)} == {late.digest} != {""}
        for subject in ("p1", "p2", "p3"):
            assert len({view.first(subject) for view in (*views, late)}) == 1


def test_initial_member_found_late_makes_the_set_unknown() -> None:
    """Nobody counts as first once the set has turned out to be incomplete."""
    members = InitialMembers("a", is_first_start=True, started_s=0.0)
    assert members.record(_initial_status("b"), now_s=1.0)
    assert members.first("p") in ("a", "b")
    assert members.record(_initial_status("c"), now_s=DISCOVERY_S + 0.1)
    assert (members.ids, members.digest, members.first("p")) == ((), "", None)


def test_instance_that_is_told_different_initial_members_knows_none() -> None:
    """An instance that started later takes part in no decision that needs the set."""
    members = InitialMembers("late", is_first_start=False, started_s=60.0)
    assert not members.learn(())
    assert members.learn(("a", "b")) and members.ids == ("a", "b")
    assert members.learn(("a", "c")) and members.first("p") is None
    members.learn(("a", "b"))
    assert members.ids == ()


def test_claim_of_loss_holds_until_the_instance_raises_its_number() -> None:
    """A live status of the number that was claimed lost changes nothing."""
    table = StatusTable()
    table.merge(InstanceStatus(instance="a", start_id="s", number=5, state=LOST))
    assert not table.merge(InstanceStatus(instance="a", start_id="s", number=5))
    assert table.merge(InstanceStatus(instance="a", start_id="s", number=6))
    assert table.live_ids() == ("a",)


@given(st.integers(1, 400))
def test_each_instance_is_watched_by_its_successors(size: int) -> None:
    """Who watches an instance knows that it does, and no instance watches more than that.

    An instance that is not on the ring has the watchers that it would have there.
    """
    ids = [f"i{number}" for number in range(size)]
    ring = Ring()
    for instance_id in ids:
        ring.add(instance_id)
    rng = random.Random(size)
    for instance in rng.sample(ids, min(5, size)):
        watchers = ring.watchers_of(instance)
        assert len(set(watchers)) == min(WATCHERS, size - 1) and instance not in watchers
        assert all(instance in ring.watched_by(watcher) for watcher in watchers)
        assert len(ring.watched_by(instance)) == len(watchers)
        watched = ring.watched_by(instance)
        ring.remove(instance)
        assert ring.watchers_of(instance) == watchers and ring.watched_by(instance) == watched
        ring.add(instance)


def test_watcher_that_was_suspended_counts_silences_anew() -> None:
    """It has not listened itself, so the silence of others shows nothing."""
    silence = SilenceTracker(max_gap_s=0.35)
    silence.watch(["a", "b"], now_s=0.0)
    for step in range(1, 11):
        silence.observe(now_s=step / 10)
        silence.record_heard("b", now_s=step / 10)
    assert silence.silent_for(0.5, now_s=1.0) == ["a"]
    silence.observe(now_s=9.0)
    assert silence.silent_for(0.5, now_s=9.0) == []
    assert set(silence.silent_for(0.5, now_s=9.6)) == {"a", "b"}
    silence.watch(["b", "c"], now_s=9.7)
    assert silence.silent_for(0.5, now_s=9.8) == ["b"]


def test_capacity_does_not_depend_on_who_passes_a_status_on() -> None:
    """An instance of an earlier release drops it; others would then select different owners."""
    told = InstanceStatus(instance="a", start_id="s", number=5, processor_cores=2.15)
    passed_on = msgspec.structs.replace(told, processor_cores=None)
    raised = msgspec.structs.replace(passed_on, number=6)
    for statuses in (
        (told, passed_on, raised),
        (passed_on, told, raised),
        (passed_on, raised, told),
    ):
        table = StatusTable()
        table.merge_all(statuses)
        known = table.get("a")
        assert known is not None and (known.number, known.processor_cores) == (6, 2.15), statuses
    restarted = msgspec.structs.replace(raised, start_id="s2", number=7)
    assert table.merge(restarted) and table.get("a").processor_cores is None
    assert [usable_cores(each) for each in (None, 0.0, -1.0, math.nan, math.inf, 1_025.0)] == 6 * [
        1.0
    ]


load_tests = load_functions(globals())
