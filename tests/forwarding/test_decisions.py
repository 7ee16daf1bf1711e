"""Routes, tries, replicas, placement and waiting, without I/O."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lagoonfold.forwarding import (
    AttemptHistory,
    AttemptOutcome,
    EventFilter,
    ForwardRoute,
    PromptCacheIndex,
    PromptPart,
    Replica,
    ReplicaDirectory,
    ReplicaSelector,
    ReplicaTracker,
    RetryDecision,
    RouteKind,
    RouteTable,
    SelectionInput,
    WaitQueue,
    WeightedService,
    pick_service,
)
from lagoonfold.forwarding._replicas import REMOVAL_GRACE_S
from tests._suite import load_functions

EVENTS = [b"id: %d\ndata: part %d\n\n" % (number, number) for number in range(1, 9)]


def _route(prefix: str, host: str = "a.example") -> ForwardRoute:
    return ForwardRoute(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        targets=(WeightedService(service="s", weight=1),),
        timeout_s=1.0,
        objective_s=0.1,
    )


def _replica(replica_id: str, *, domain: str = "zone-a", slots: int = 4) -> Replica:
    return Replica(
        replica_id=replica_id,
        service="s",
        address=f"10.0.0.1:{len(replica_id)}",
        failure_domain=domain,
        slots=slots,
    )


def _placer(loads: ReplicaTracker, memory: PromptCacheIndex | None = None) -> ReplicaSelector:
    return ReplicaSelector(loads, memory or PromptCacheIndex(), "zone-a", random.Random(1))


def test_longest_prefix_of_the_host_wins() -> None:
    """Routes of other hosts and shorter prefixes give way."""
    table = RouteTable([_route("/a/"), _route("/a/b/"), _route("/a/b/c/", "b.example")])
    assert table.find("A.example:80", "/a/b/c/d").prefix == "/a/b/"
    assert table.find("a.example", "/a/x").prefix == "/a/"
    assert table.find("a.example", "/b/") is None
    assert table.find("c.example", "/a/") is None


def test_weights_part_the_requests() -> None:
    """Services get requests in proportion to their weights."""
    targets = (WeightedService(service="x", weight=9), WeightedService(service="y", weight=1))
    rng = random.Random(7)
    picks = [pick_service(targets, rng) for _ in range(1000)]
    assert 850 < picks.count("x") < 950


@given(st.lists(st.integers(1, 60), max_size=12), st.integers(0, 8))
def test_events_are_the_same_however_they_arrive(cuts: list[int], last_id: int) -> None:
    """Any split of the bytes gives the events after the caller's last, each once and whole."""
    data = b"".join(EVENTS)
    events = EventFilter(last_id or None)
    got: list[bytes] = []
    for cut in cuts:
        got.extend(event.data for event in events.feed(data[:cut]))
        data = data[cut:]
    got.extend(event.data for event in events.feed(data))
    assert got == EVENTS[last_id:]
    assert not events.has_partial_event


@given(st.integers(0, 8), st.integers(0, 15))
def test_resumed_stream_has_each_event_once(broke_after: int, part: int) -> None:
    """A stream that broke in an event and goes on elsewhere loses and doubles nothing."""
    events = EventFilter()
    first = b"".join(EVENTS[:broke_after]) + (
        EVENTS[broke_after][:part] if broke_after < 8 else b""
    )
    got = [event.data for event in events.feed(first)]
    events.discard_partial_event()
    again_from = max(0, broke_after - 1)
    got += [event.data for event in events.feed(b"".join(EVENTS[again_from:]))]
    assert got == EVENTS


_ENDS = st.lists(
    st.tuples(st.sampled_from(["r1", "r2", "r3"]), st.sampled_from(list(AttemptOutcome)[1:])),
    max_size=8,
)


@given(_ENDS)
def test_request_that_may_run_once_is_sent_on_only_while_it_has_not_run(
    ends: list[tuple[str, AttemptOutcome]],
) -> None:
    """After a try that may have run nothing follows, and "not run" is never said again."""
    record = AttemptHistory(may_repeat=False, max_upstreams=3)
    for replica_id, end in ends:
        record.record_sent(replica_id)
        assert not record.has_not_run
        step = record.record_outcome(replica_id, end, may_have_run_before=False)
        if end is AttemptOutcome.LOST:
            assert step is RetryDecision.FAIL and not record.has_not_run
            return
        assert step is RetryDecision.ANY_UPSTREAM and record.has_not_run


@given(_ENDS, st.integers(1, 3))
def test_repeats_keep_to_the_number_of_upstreams(
    ends: list[tuple[str, AttemptOutcome]], max_upstreams: int
) -> None:
    """A request may have run at no more upstreams than its route allows."""
    record = AttemptHistory(may_repeat=True, max_upstreams=max_upstreams)
    only: str | None = None
    for replica_id, end in ends:
        target = only or replica_id
        may_have_run_before = target in record.may_have_run
        record.record_sent(target)
        step = record.record_outcome(target, end, may_have_run_before=may_have_run_before)
        if step is RetryDecision.FAIL:
            return
        only = target if step is RetryDecision.SAME_OR_GONE else None
        assert len(record.may_have_run) <= max_upstreams


def test_entries_removed_after_an_outage_are_kept_for_a_while() -> None:
    """A replica that is listed again within the grace was never out; others go at its end."""
    directory = ReplicaDirectory()
    directory.put(_replica("back"))
    directory.put(_replica("gone"))
    directory.begin_grace(now_s=10.0)
    directory.remove("back", now_s=10.5)
    directory.remove("gone", now_s=10.5)
    directory.put(_replica("back"))
    assert not directory.expire(now_s=10.0 + REMOVAL_GRACE_S - 0.01)
    assert len(directory.available_for("s")) == 2
    assert directory.expire(now_s=10.0 + REMOVAL_GRACE_S)
    assert [replica.replica_id for replica in directory.available_for("s")] == ["back"]
    directory.remove("back", now_s=20.0)
    assert not directory.all()


def test_slow_replica_gets_few_requests_and_is_tried_again() -> None:
    """Load: three replicas, one of which takes four times as long, then recovers."""
    loads = ReplicaTracker()
    placer = _placer(loads)
    replicas = [_replica(name) for name in ("r1", "r2", "r3")]
    for _ in range(3):
        loads.record_slowdown("r1", 4.0, now_s=0.0)
    request = SelectionInput(typical_latency_s=0.1)
    picks = [placer.choose(replicas, request, now_s=0.1) for _ in range(30)]
    assert all(pick is not None and pick.replica.replica_id != "r1" for pick in picks)
    later = [placer.choose(replicas, request, now_s=30.0) for _ in range(60)]
    assert any(pick is not None and pick.replica.replica_id == "r1" for pick in later)


def test_replicas_without_room_get_nothing() -> None:
    """Load: more requests than slots. Own and peers' requests and the replica's word count."""
    loads = ReplicaTracker()
    placer = _placer(loads)
    replicas = [_replica("r1", slots=4), _replica("r2", slots=4)]
    request = SelectionInput(typical_latency_s=0.1)
    for _ in range(5):
        loads.record_sent("r1")
    loads.record_peer_loads("peer", {"r2": 3}, now_s=0.0)
    assert placer.choose(replicas, request, now_s=0.0).replica.replica_id == "r2"
    loads.record_report("r2", 5, now_s=0.0)
    assert placer.choose(replicas, request, now_s=0.0) is None
    assert placer.choose(replicas, request, now_s=5.0).replica.replica_id == "r2"


def test_prompt_goes_where_it_was_read() -> None:
    """A line of turns stays with its replica, until that one has started anew or is busy."""
    loads = ReplicaTracker()
    memory = PromptCacheIndex()
    placer = _placer(loads, memory)
    replicas = [_replica(name) for name in ("r1", "r2", "r3")]
    parts = (PromptPart("shared", 500), PromptPart("line", 5_000))
    memory.record("r2", 0, parts)
    request = SelectionInput(typical_latency_s=0.1, parts=parts)
    assert placer.choose(replicas, request, now_s=0.0).replica.replica_id == "r2"
    for _ in range(5):
        loads.record_sent("r2")
    assert placer.choose(replicas, request, now_s=0.0).replica.replica_id != "r2"


def test_unreachable_replica_is_left_and_tried_again() -> None:
    """The pause after failed connections grows, and an answer ends it."""
    loads = ReplicaTracker()
    loads.record_connect_failure("r1", now_s=0.0)
    assert loads.is_ejected("r1", now_s=0.1) and not loads.is_ejected("r1", now_s=0.3)
    loads.record_connect_failure("r1", now_s=0.3)
    assert loads.is_ejected("r1", now_s=0.7)
    loads.record_success("r1")
    loads.record_lost_response("r1", now_s=5.0)
    assert not loads.is_ejected("r1", now_s=5.0)
    loads.record_lost_response("r1", now_s=5.0)
    assert loads.is_ejected("r1", now_s=5.1)


def test_instances_that_have_not_seen_a_session_choose_the_same_replica() -> None:
    """Load: a session's turns arrive at five instances; its prompt is read at one replica."""
    replicas = tuple(_replica(f"r{number}") for number in range(5))
    parts = (PromptPart("shared", 500), PromptPart("session", 650), PromptPart("turn-2", 300))
    request = SelectionInput(typical_latency_s=0.2, parts=parts)
    placers = [
        ReplicaSelector(ReplicaTracker(), PromptCacheIndex(), "zone-a", random.Random(seed))
        for seed in range(5)
    ]
    chosen = {placer.choose(replicas, request, now_s=0.0).replica.replica_id for placer in placers}
    assert len(chosen) == 1
    others = [
        placers[0].choose(
            replicas,
            SelectionInput(
                typical_latency_s=0.2, parts=(parts[0], PromptPart(f"s{n}", 650), parts[2])
            ),
            now_s=0.0,
        )
        for n in range(40)
    ]
    assert len({placement.replica.replica_id for placement in others}) == len(replicas)


def test_busy_home_gives_way_to_an_idle_replica() -> None:
    """Load: a session's home has a full batch; reading the prompt again elsewhere is cheaper."""
    replicas = tuple(_replica(f"r{number}") for number in range(3))
    parts = (PromptPart("shared", 500), PromptPart("session", 650), PromptPart("turn-2", 300))
    request = SelectionInput(typical_latency_s=0.2, parts=parts)
    loads = ReplicaTracker()
    home = _placer(loads).choose(replicas, request, now_s=0.0).replica
    for _ in range(home.slots):
        loads.record_sent(home.replica_id)
    assert _placer(loads).choose(replicas, request, now_s=0.0).replica != home


def test_urgent_requests_go_first_and_hopeless_ones_are_refused() -> None:
    """Load: a full service that frees four places a second, and callers with half a second."""
    line: WaitQueue[str] = WaitQueue()
    for at_s in (0.0, 0.25, 0.5, 0.75):
        line.record_freed(now_s=at_s)
    for name, rank, soft_deadline_s in (("late", 1, 3.0), ("soon", 1, 2.0), ("urgent", 0, 9.0)):
        assert line.enqueue(name, rank=rank, tie_break=soft_deadline_s, wait_until_s=2.0, now_s=0.8)
    assert line.head() == "urgent"
    assert not line.enqueue("hopeless", rank=1, tie_break=2.5, wait_until_s=1.2, now_s=0.8)
    line.remove("urgent")
    assert line.head() == "soon"


load_tests = load_functions(globals())
