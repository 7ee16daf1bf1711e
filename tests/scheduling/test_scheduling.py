"""Tests of queue disciplines, replica choosers, cache policies and admission policies."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold import AccountId, CallId, ProgramId, UpstreamId
from lagoonfold.scheduling import (
    ADMISSION_POLICIES_BY_NAME,
    CACHE_POLICIES_BY_NAME,
    CHOOSERS_BY_NAME,
    QUEUE_DISCIPLINES_BY_NAME,
    AdmissionInput,
    CacheAction,
    CachedPrefixes,
    CacheEvent,
    CacheEventKind,
    DispatchQueue,
    LoadReport,
    PauseInput,
    PlacementInput,
    QueuedCall,
    ReplicaLoad,
    priority_of,
)
from tests._suite import load_functions


def _call(number: int, *, account: str = "a", attained_s: float = 0.0) -> QueuedCall:
    return QueuedCall(
        call_id=CallId(f"c-{number}"),
        program_id=ProgramId(f"p-{number}"),
        account_id=AccountId(account),
        arrived_s=float(number),
        deadline_s=1000.0,
        attained_s=attained_s,
    )


def _drain(queue: DispatchQueue, now_s: float) -> list[str]:
    order = []
    while (call := queue.pop(now_s=now_s)) is not None:
        order.append(call.call_id)
    return order


def _replicas(*loads: int) -> list[ReplicaLoad]:
    replicas = []
    for number, load in enumerate(loads):
        replica = ReplicaLoad(UpstreamId(f"e-{number}"), slots=8, lag_s=1.0)
        report = LoadReport(running=min(load, 8), waiting=max(0, load - 8), slots=8)
        replica.record_report(report, now_s=0.0)
        replicas.append(replica)
    return replicas


def test_first_come_and_least_attained() -> None:
    """First-come orders by arrival, least-attained by the service of the call's program."""
    expected_by_order = {
        "first-come": ["c-1", "c-2", "c-3"],
        "least-attained": ["c-3", "c-2", "c-1"],
    }
    for order, expected in expected_by_order.items():
        queue = DispatchQueue(discipline=order)
        for number, attained_s in ((1, 50.0), (2, 10.0), (3, 0.0)):
            queue.push(_call(number, attained_s=attained_s), now_s=float(number))
        assert _drain(queue, 4.0) == expected


def test_ageing_dispatches_a_program_with_much_service() -> None:
    """A program with much service is dispatched before new ones once it has waited long enough.

    Without ageing it would starve.
    """
    queue = DispatchQueue(discipline="least-attained")
    queue.push(_call(0, attained_s=30.0), now_s=0.0)
    queue.push(_call(40), now_s=40.0)
    assert _drain(queue, 40.0)[0] == "c-0"


def test_fair_order_alternates_between_accounts() -> None:
    """An account with one call does not wait behind the hundred calls of another account."""
    for order in ("fair-first-come", "fair-least-attained"):
        queue = DispatchQueue(discipline=order)
        for number in range(100):
            queue.push(_call(number, account="flooding"), now_s=float(number))
        queue.pop(now_s=100.0)
        queue.push(_call(100, account="quiet"), now_s=100.0)
        assert "c-100" in _drain(queue, 101.0)[:2]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0, 100)), max_size=40))
def test_every_discipline_dispatches_each_call_once(calls: list[tuple[int, float]]) -> None:
    """No queue discipline loses a call or dispatches one twice."""
    for order in QUEUE_DISCIPLINES_BY_NAME:
        queue = DispatchQueue(discipline=order)
        for number, (account, attained_s) in enumerate(calls):
            call = _call(number, account=str(account), attained_s=attained_s)
            queue.push(call, now_s=float(number))
        assert sorted(_drain(queue, 100.0)) == sorted(f"c-{n}" for n in range(len(calls)))


def test_expired_calls_leave_the_queue() -> None:
    """A call past its deadline leaves the queue and is not dispatched."""
    queue = DispatchQueue()
    queue.push(_call(1), now_s=1.0)
    assert [call.call_id for call in queue.expire(now_s=1000.0)] == ["c-1"]
    assert queue.pop(now_s=1000.0) is None


def test_report_does_not_count_own_calls_twice() -> None:
    """Calls sent after a delayed report was made are added to it; earlier ones are part of it."""
    replica = ReplicaLoad(UpstreamId("e-0"), slots=8, lag_s=1.0)
    replica.record_sent(now_s=0.0)
    replica.record_sent(now_s=1.5)
    replica.record_report(LoadReport(running=4, waiting=0, slots=8), now_s=2.0)
    assert replica.estimated_calls() == 5
    replica.record_ended(now_s=2.1)
    assert replica.estimated_calls() == 4


def test_full_replicas_are_not_chosen() -> None:
    """Every chooser returns None if all replicas are full, and finds the only free one."""
    call = PlacementInput(program_id=ProgramId("p"))
    for chooser in CHOOSERS_BY_NAME.values():
        assert chooser().choose(call, _replicas(8, 9), random.Random(1)) is None
        assert chooser().choose(call, _replicas(8, 3), random.Random(1)) == "e-1"


def test_affinity_is_bounded_by_load() -> None:
    """A replica with the cached prefix is chosen only if it isn't much busier than the others."""
    call = PlacementInput(
        program_id=ProgramId("p"),
        prompt_tokens=8000,
        cached_tokens_by_upstream={UpstreamId("e-0"): 8000},
    )
    for name in ("prefix-affinity", "near-best-two"):
        chooser = CHOOSERS_BY_NAME[name]()
        assert chooser.choose(call, _replicas(2, 1), random.Random(1)) == "e-0"
    affinity = CHOOSERS_BY_NAME["prefix-affinity"]()
    assert affinity.choose(call, _replicas(7, 0), random.Random(1)) == "e-1"


def test_missing_prefix_waits_for_free_cache() -> None:
    """A call with a long missing prefix waits, since it would evict the prefixes of others.

    A call with a cached or a short prefix does not wait.
    """
    chooser = CHOOSERS_BY_NAME["memory-bound"]()
    replica = ReplicaLoad(UpstreamId("e-0"), slots=8, lag_s=1.0)
    report = LoadReport(
        running=4, waiting=0, slots=8, cached_tokens=65_000, capacity_tokens=100_000
    )
    replica.record_report(report, now_s=0.0)
    chosen = {}
    for name, tokens, cached in (
        ("missing", 20_000, 0),
        ("cached", 20_000, 19_000),
        ("short", 900, 0),
    ):
        call = PlacementInput(
            program_id=ProgramId(name),
            prompt_tokens=tokens,
            cached_tokens_by_upstream={UpstreamId("e-0"): cached},
        )
        chosen[name] = chooser.choose(call, [replica], random.Random(1))
    assert chosen == {"missing": None, "cached": "e-0", "short": "e-0"}


def test_nearly_idle_replica_accepts_any_prefix() -> None:
    """A nearly idle replica is chosen even if the prefix evicts others, so that calls progress."""
    replica = ReplicaLoad(UpstreamId("e-0"), slots=8, lag_s=1.0)
    report = LoadReport(
        running=0, waiting=0, slots=8, cached_tokens=99_000, capacity_tokens=100_000
    )
    replica.record_report(report, now_s=0.0)
    call = PlacementInput(program_id=ProgramId("p"), prompt_tokens=90_000)
    chooser = CHOOSERS_BY_NAME["memory-bound"]()
    assert chooser.choose(call, [replica], random.Random(1)) == "e-0"


def test_cached_prefixes_with_late_and_missing_events() -> None:
    """Old events are ignored, gaps are counted, and forgetting a program returns its replicas."""
    prefixes = CachedPrefixes()
    engine, program = UpstreamId("e-0"), ProgramId("p")
    for sequence, kind in ((1, "stored"), (4, "stored"), (2, "evicted")):
        event = CacheEvent(
            sequence=sequence, kind=CacheEventKind(kind), program_id=program, tokens=100
        )
        prefixes.apply_event(engine, event)
    assert prefixes.sequence_gaps == 1
    assert prefixes.tokens_by_upstream(program) == {engine: 100}
    assert prefixes.forget_program(program) == (engine,)
    assert prefixes.tokens_by_upstream(program) == {}


def test_cache_is_freed_only_under_pressure() -> None:
    """In a long pause a prefix is freed if the replica's cache is full, and kept if it isn't."""
    policy = CACHE_POLICIES_BY_NAME["expected-return"]()
    for used_share, action in ((0.5, CacheAction.KEEP), (1.0, CacheAction.FREE)):
        pause = PauseInput(tokens=1000, elapsed_s=0.0, expected_s=60.0, used_share=used_share)
        assert policy.decide(pause) is action


def test_admission_within_tolerance() -> None:
    """A new program's call is refused at once if the wait exceeds its tolerance.

    `retry_after_s` is the excess. A later call of a program is queued.
    """
    policy = ADMISSION_POLICIES_BY_NAME["within-tolerance"]()
    call = {"completions_per_s": 2.0, "expected_call_s": 1.0, "now_s": 0.0}
    call |= {"max_wait_s": 5.0, "deadline_s": 60.0}
    assert policy.decide(AdmissionInput(calls_ahead=10, **call)).is_ok()
    refusal = policy.decide(AdmissionInput(calls_ahead=30, **call)).unwrap_err()
    assert refusal.retry_after_s == 10.0
    assert policy.decide(AdmissionInput(calls_ahead=30, is_first=False, **call)).is_ok()


def test_priority_drops_with_attained_service() -> None:
    """The priority number never falls as service grows, and the number of classes is bounded."""
    classes = [priority_of(service_s) for service_s in (0.0, 0.3, 1.0, 60.0, 1e9)]
    assert classes == sorted(classes)
    assert classes[0] == 0 and classes[-1] == 20


load_tests = load_functions(globals())
