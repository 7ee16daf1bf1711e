"""Tests of routing, attempts, event streams, replica selection and wait queues."""

import random
import time
from collections.abc import Iterator
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold.forwarding import (
    AttemptHistory,
    AttemptOutcome,
    Event,
    EventError,
    EventFilter,
    EventNumbers,
    ForwardRoute,
    Replica,
    ReplicaDirectory,
    RetryDecision,
    RouteKind,
    RouteTable,
    WaitQueue,
    WeightedService,
    pick_service,
)
from lagoonfold.forwarding._events import MAX_EVENT_BYTES
from lagoonfold.forwarding._replicas import REMOVAL_GRACE_S
from lagoonfold.placement import (
    PromptCacheIndex,
    PromptPart,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests._suite import load_functions

MAX_EVENT_S = 0.5  # of processor time, for 256 KB; more than linear time takes minutes
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


def _selector(
    loads: ReplicaTracker, prompt_index: PromptCacheIndex | None = None
) -> ReplicaSelector:
    return ReplicaSelector(loads, prompt_index or PromptCacheIndex(), random.Random(1))


def test_route_of_longest_prefix_is_found() -> None:
    """A request must not take a route of another host or of a shorter prefix."""
    table = RouteTable([_route("/a/"), _route("/a/b/"), _route("/a/b/c/", "b.example")])
    assert table.find("A.example:80", "/a/b/c/d").prefix == "/a/b/"
    assert table.find("a.example", "/a/x").prefix == "/a/"
    assert table.find("a.example", "/b/") is None
    assert table.find("c.example", "/a/") is None


def test_services_are_picked_by_weight() -> None:
    """Of two services with weights 9 and 1, the first gets about 90 % of the requests.

    A request gets the same one again.
    """
    targets = (WeightedService(service="x", weight=9), WeightedService(service="y", weight=1))
    picks = [pick_service(targets, f"request-{number}") for number in range(1000)]
    assert 850 < picks.count("x") < 950
    assert picks == [pick_service(targets, f"request-{number}") for number in range(1000)]


@given(st.lists(st.integers(1, 60), max_size=12), st.integers(0, 8))
def test_events_are_whole_for_any_chunks(cut_sizes: list[int], last_id: int) -> None:
    """However the stream is split into chunks, each event after `last_id` is returned once."""
    data = b"".join(EVENTS)
    events = EventFilter(last_id or None)
    received: list[bytes] = []
    for size in cut_sizes:
        received.extend(event.data for event in events.feed(data[:size]))
        data = data[size:]
    received.extend(event.data for event in events.feed(data))
    assert received == EVENTS[last_id:]
    assert not events.has_partial_event


def test_event_id_of_too_many_digits_is_an_error_of_the_stream() -> None:
    """A replica that garbles an id does not end the request with an internal error."""
    try:
        EventFilter().feed(b"id: " + b"9" * 5_000 + b"\ndata: a\n\n")
    except EventError as error:
        assert "5000 digits" in str(error)
    else:
        raise AssertionError("the id was accepted")


def _is_accepted(*events: bytes) -> bool:
    try:
        EventFilter().feed(b"".join(events))
    except EventError:
        return False
    return True


def test_lines_that_are_no_fields_are_an_error_of_the_stream() -> None:
    """Texts and heads are no events; comments and fields that the format does not name are."""
    event = b"id: 1\ndata: a\n\n"
    for good in (
        b": comment\n\n",
        b"retry: 10\n\n",
        b"\n\n",
        b"id:2\r\nevent: x\r\ndata\r\n\r\n",
        b"weights-of: 3\nid: 2\ndata: a\ndata: b\n\n",
        b"\n: comment\nweights-of: 3\nid: 2\n: comment\ndata: a\n\n",
        b"\r\nweights-of: 3\r\nid: 2\r\ndata: a: b\r\n\r\n",
    ):
        assert _is_accepted(event, good), good
    for bad in (
        b"error\n\n",
        b"no room\n\n",
        b"data: a\n\n",
        b"id: 2x\ndata: a\n\n",
        b"id: 2\nid: 3\ndata: a\n\n",
        b"HTTP/1.1 500 Error\r\ncontent-length: 5\r\n\r\n",
        b"content-type: text/plain\ncontent-length: 5\n\n",
        b"id: 2\ndata: a\nno room\n\n",
        b"id: 2\ndata: aHTTP/1.1 500 Error\r\n\r\n",
        b"id: 2\ndata: aHTTP/1.1 500 Error\ncontent-length: 5\n\n",
        b"id: 2\ndata: a\rdata: b\n\n",
        b"id: 2\ndata: a\r\rdata: b\n\n",
    ):
        assert not _is_accepted(event, bad), bad
    assert _is_accepted(b"data: a\n\n", b"event: end\ndata: [DONE]\n\n")


@given(st.integers(0, 8), st.integers(0, 15))
def test_resumed_stream_has_each_event_once(broke_after: int, part: int) -> None:
    """A stream that breaks within an event and resumes must not lose or repeat an event."""
    events = EventFilter()
    first = b"".join(EVENTS[:broke_after]) + (
        EVENTS[broke_after][:part] if broke_after < 8 else b""
    )
    received = [event.data for event in events.feed(first)]
    events.rewind(events.last_id)
    resume_from = max(0, broke_after - 1)
    received += [event.data for event in events.feed(b"".join(EVENTS[resume_from:]))]
    assert received == EVENTS


def test_events_that_were_not_delivered_come_again_after_a_rewind() -> None:
    """Those of a batch that ended in an error have been parsed, but nobody has got them."""
    events = EventFilter()
    events.feed(EVENTS[0])
    try:
        events.feed(EVENTS[1] + b"id: " + b"9" * 99 + b"\n\n")
    except EventError:
        events.rewind(1)
    assert [event.data for event in events.feed(b"".join(EVENTS[1:]))] == EVENTS[1:]


def test_events_that_come_again_are_those_of_the_same_run() -> None:
    """Other fields than the data may differ, as the version of the weights does."""
    events = EventFilter()
    events.feed(EVENTS[0] + EVENTS[1] + EVENTS[1])
    events.rewind(2)
    assert not events.feed(EVENTS[0] + b"weights-of: 3\n" + EVENTS[1])
    assert [event.number for event in events.feed(EVENTS[2])] == [3]
    for again in (b"id: 3\ndata: other\n\n", b"id: 2\ndata: part 2\n\n"):
        try:
            events.feed(again)
        except EventError:
            continue
        raise AssertionError(again)


_PIECES = st.one_of(
    st.sampled_from(EVENTS),
    st.sampled_from(EVENTS).map(lambda event: event.replace(b"\n", b"\r\n")),
    st.tuples(st.sampled_from(EVENTS), st.integers(0, 20)).map(lambda cut: cut[0][: cut[1]]),
    st.sampled_from(
        (b"\n", b"\r", b": comment\n\n", b"data: x\n\n", b"id\n", b"v: 2\n", b"no room\n")
    ),
    st.sampled_from((b"HTTP/1.1 500 Error\r\ncontent-length: 5\r\n\r\n", b"\xef\xbb\xbf", b"\0")),
    st.binary(max_size=8),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    st.lists(st.lists(_PIECES, max_size=12).map(b"".join), min_size=1, max_size=4),
    st.lists(st.integers(1, 40), max_size=10),
    st.integers(0, 3),
)
def test_events_are_numbered_without_a_gap_whatever_the_answers_are(
    answers: list[bytes], cut_sizes: list[int], undelivered: int
) -> None:
    """Those returned before each error, less what was not delivered, are one stream."""
    numbers_of_service = EventNumbers()
    EventFilter(numbers=numbers_of_service).feed(b"".join(EVENTS))
    events = EventFilter(0, numbers_of_service)
    delivered: list[Event] = []
    for answer in (*answers, b"".join(EVENTS)):
        returned: list[Event] = []
        with suppress(EventError):
            for part in _cut(answer, cut_sizes):
                returned += events.feed(part)
                while events.has_more:
                    returned += events.feed()
        delivered += returned[: max(0, len(returned) - undelivered)]
        events.rewind(_last_number(delivered))
    numbers = [event.number for event in delivered if event.has_content]
    assert numbers == list(range(1, len(numbers) + 1))
    for event in delivered:
        assert event.data.endswith((b"\n\n", b"\n\r\n")), event
        assert b"HTTP/1.1" not in event.data and b"no room" not in event.data, event


def _cut(data: bytes, sizes: list[int]) -> Iterator[bytes]:
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


def _last_number(events: list[Event]) -> int:
    return max((event.number for event in events if event.number is not None), default=0)


def test_time_of_events_grows_with_their_size_only() -> None:
    """Each kind of line, up to the largest event, is split and checked in some ms."""
    lines = (
        b"a:\n",
        b":\n",
        b"\r\n",
        b"id:\n",
        b"a-",
        b"\r",
        b"data:",
        b"data:\r",
        b"ret",
        b"a:b:",
    )
    for line in lines:
        for end in (b"", b"\n\n", b"x\n\n", b"\r\n\r\n"):
            events = EventFilter()
            began_s = time.process_time()
            with suppress(EventError):
                events.feed(line * (MAX_EVENT_BYTES // len(line) - 8) + end)
            assert time.process_time() - began_s < MAX_EVENT_S, (line, end)


_OUTCOMES = st.lists(
    st.tuples(st.sampled_from(["r1", "r2", "r3"]), st.sampled_from(list(AttemptOutcome)[1:])),
    max_size=8,
)


@given(_OUTCOMES)
def test_at_most_once_request_is_retried_only_if_not_run(
    outcomes: list[tuple[str, AttemptOutcome]],
) -> None:
    """Another attempt after one that may have run could run the request twice.

    From then on `has_not_run` must stay false.
    """
    history = AttemptHistory(may_repeat=False, max_upstreams=3)
    for replica_id, outcome in outcomes:
        history.record_sent(replica_id)
        assert not history.has_not_run
        decision = history.record_outcome(replica_id, outcome, may_have_run_before=False)
        if outcome is AttemptOutcome.LOST:
            assert decision is RetryDecision.FAIL and not history.has_not_run
            return
        assert decision is RetryDecision.ANY_UPSTREAM and history.has_not_run


@given(_OUTCOMES, st.integers(1, 3))
def test_retries_respect_max_upstreams(
    outcomes: list[tuple[str, AttemptOutcome]], max_upstreams: int
) -> None:
    """A request must not run at more upstreams than its route allows."""
    history = AttemptHistory(may_repeat=True, max_upstreams=max_upstreams)
    required_id: str | None = None
    for replica_id, outcome in outcomes:
        target = required_id or replica_id
        may_have_run_before = target in history.may_have_run
        history.record_sent(target)
        decision = history.record_outcome(target, outcome, may_have_run_before=may_have_run_before)
        if decision is RetryDecision.FAIL:
            return
        required_id = target if decision is RetryDecision.SAME_OR_GONE else None
        assert len(history.may_have_run) <= max_upstreams


def test_removals_after_an_outage_are_delayed() -> None:
    """A replica listed again within the grace period stays; others are removed at its end.

    Replicas whose entries expired in an outage of the store must not be lost.
    """
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


def test_slow_replica_is_avoided_until_its_slowdown_decays() -> None:
    """A replica that answers four times as slowly gets no requests, but gets some 30 s later."""
    loads = ReplicaTracker()
    selector = _selector(loads)
    replicas = [_replica(name) for name in ("r1", "r2", "r3")]
    for _ in range(3):
        loads.record_slowdown("r1", 4.0, now_s=0.0)
    request = SelectionInput(typical_latency_s=0.1)
    picks = [selector.choose(replicas, request, now_s=0.1) for _ in range(30)]
    assert all(pick is not None and pick.replica.replica_id != "r1" for pick in picks)
    later = [selector.choose(replicas, request, now_s=30.0) for _ in range(60)]
    assert any(pick is not None and pick.replica.replica_id == "r1" for pick in later)


def test_replicas_without_capacity_are_not_selected() -> None:
    """A replica is full by its requests in flight, or by its report of those of others.

    The report expires, so the replica is selected again later.
    """
    loads = ReplicaTracker()
    selector = _selector(loads)
    replicas = [_replica("r1", slots=4), _replica("r2", slots=4)]
    request = SelectionInput(typical_latency_s=0.1)
    for _ in range(5):
        loads.record_sent("r1")
    loads.record_sent("r2")
    assert selector.choose(replicas, request, now_s=0.0).replica.replica_id == "r2"
    loads.record_report("r2", 5, now_s=0.0)
    assert selector.choose(replicas, request, now_s=0.0) is None
    assert selector.choose(replicas, request, now_s=5.0).replica.replica_id == "r2"


def test_replica_with_cached_prompt_is_selected() -> None:
    """A replica that has read the prompt is preferred, unless it has no capacity left."""
    loads = ReplicaTracker()
    prompt_index = PromptCacheIndex()
    selector = _selector(loads, prompt_index)
    replicas = [_replica(name) for name in ("r1", "r2", "r3")]
    parts = (PromptPart("shared", 500), PromptPart("session", 5_000))
    prompt_index.record("r2", 0, parts)
    request = SelectionInput(typical_latency_s=0.1, parts=parts)
    assert selector.choose(replicas, request, now_s=0.0).replica.replica_id == "r2"
    for _ in range(5):
        loads.record_sent("r2")
    assert selector.choose(replicas, request, now_s=0.0).replica.replica_id != "r2"


def test_ejection_grows_until_the_replica_answers() -> None:
    """A second failed connection ejects for longer; an answer resets the counts.

    Afterwards a single lost answer does not eject, but two in a row do.
    """
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


def test_instances_select_the_same_home_for_an_unknown_session() -> None:
    """Five instances that have not seen a session must not spread its turns over replicas.

    Different sessions must still use all replicas.
    """
    replicas = tuple(_replica(f"r{number}") for number in range(5))
    parts = (PromptPart("shared", 500), PromptPart("session", 650), PromptPart("turn-2", 300))
    request = SelectionInput(typical_latency_s=0.2, parts=parts)
    selectors = [
        ReplicaSelector(ReplicaTracker(), PromptCacheIndex(), random.Random(seed))
        for seed in range(5)
    ]
    chosen = {
        selector.choose(replicas, request, now_s=0.0).replica.replica_id for selector in selectors
    }
    assert len(chosen) == 1
    others = [
        selectors[0].choose(
            replicas,
            SelectionInput(
                typical_latency_s=0.2, parts=(parts[0], PromptPart(f"s{n}", 650), parts[2])
            ),
            now_s=0.0,
        )
        for n in range(40)
    ]
    assert len({selection.replica.replica_id for selection in others}) == len(replicas)


def test_idle_replica_is_preferred_to_a_busy_home() -> None:
    """If the home replica has a full batch, reading the prompt again elsewhere costs less."""
    replicas = tuple(_replica(f"r{number}") for number in range(3))
    parts = (PromptPart("shared", 500), PromptPart("session", 650), PromptPart("turn-2", 300))
    request = SelectionInput(typical_latency_s=0.2, parts=parts)
    loads = ReplicaTracker()
    home = _selector(loads).choose(replicas, request, now_s=0.0).replica
    for _ in range(home.slots):
        loads.record_sent(home.replica_id)
    assert _selector(loads).choose(replicas, request, now_s=0.0).replica != home


def test_wait_queue_orders_by_rank_and_refuses_too_long_waits() -> None:
    """The lowest rank is first, then the earliest soft deadline.

    With four slots freed a second, two requests ahead take 0.5 s: one with 0.4 s left is refused.
    What became free while nothing waited shows no limit, so nothing is refused by it.
    """
    queue: WaitQueue[str] = WaitQueue()
    for at_s in (0.0, 0.1, 0.2, 0.3):
        queue.record_freed(now_s=at_s)
    for name, rank, soft_deadline_s in (("late", 1, 3.0), ("soon", 1, 2.0), ("urgent", 0, 9.0)):
        assert queue.enqueue(
            name, rank=rank, tie_break=soft_deadline_s, wait_until_s=2.0, now_s=0.8
        )
    assert queue.enqueue("unknown", rank=2, tie_break=0.0, wait_until_s=0.9, now_s=0.8)
    for at_s in (1.05, 1.3, 1.55, 1.8):
        queue.record_freed(now_s=at_s)
    assert queue.head() == "urgent"
    assert not queue.enqueue("hopeless", rank=1, tie_break=2.5, wait_until_s=2.2, now_s=1.8)
    queue.remove("urgent")
    assert queue.head() == "soon"


load_tests = load_functions(globals())
