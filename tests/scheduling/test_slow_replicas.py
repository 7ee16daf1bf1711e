"""Tests of slow replicas: detected during calls, ejected on all instances, probed by one."""

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold import UpstreamId
from lagoonfold.scheduling import (
    EjectionNotice,
    MoveInput,
    ReplicaLoad,
    SlowReplicaDetector,
    ThroughputMonitor,
    is_sooner_elsewhere,
)
from lagoonfold_node._dispatch._messages import SlowReplicaReport
from tests._suite import load_functions
from tests.scheduling.test_dispatcher import _dispatcher, _hold, _request, _run

REPLICAS = tuple(UpstreamId(f"e-{number}") for number in range(5))
SLOW = REPLICAS[0]
TYPICAL_THROUGHPUT = 50.0


def _detector(name: str = "a") -> SlowReplicaDetector:
    detector = SlowReplicaDetector(name)
    for upstream_id in REPLICAS:
        detector.record_sample(upstream_id, tokens=TYPICAL_THROUGHPUT, seconds=1.0, now_s=0.0)
    return detector


def _detect_slow(
    detector: SlowReplicaDetector, now_s: float, upstream_id: UpstreamId = SLOW
) -> list[EjectionNotice]:
    detector.record_sample(upstream_id, tokens=5, seconds=1.0, now_s=now_s)
    return detector.evaluate(REPLICAS, now_s=now_s)


def test_slow_replica_is_ejected_and_probed_by_one_instance() -> None:
    """All instances stop using a slow replica; the one that detected it sends one probe.

    A failed probe doubles the pause.
    """
    prober, peer = _detector("b"), _detector("c")
    (notice,) = _detect_slow(prober, 5.0)
    peer.apply_notice(notice, now_s=5.0)
    assert not prober.allows(SLOW, now_s=5.1) and not peer.allows(SLOW, now_s=5.1)
    assert all(prober.allows(other, now_s=5.1) for other in REPLICAS[1:])
    after_s = 5.0 + notice.ejection_s
    assert prober.allows(SLOW, now_s=after_s) and not peer.allows(SLOW, now_s=after_s)
    assert prober.start_call(SLOW, now_s=after_s)
    assert not prober.allows(SLOW, now_s=after_s)
    (again,) = _detect_slow(prober, after_s + 1.0)
    assert again.ejection_s == 2 * notice.ejection_s


def test_recovered_replica_is_reinstated_on_all_instances() -> None:
    """A throughput like that of the other replicas reinstates a replica here and at a peer."""
    prober, peer = _detector("b"), _detector("c")
    (notice,) = _detect_slow(prober, 5.0)
    peer.apply_notice(notice, now_s=5.0)
    prober.record_sample(SLOW, tokens=TYPICAL_THROUGHPUT, seconds=1.0, now_s=20.0)
    (reinstated,) = prober.evaluate(REPLICAS, now_s=20.0)
    peer.apply_notice(reinstated, now_s=20.0)
    assert prober.allows(SLOW, now_s=20.0) and peer.allows(SLOW, now_s=20.0)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 60)), max_size=60))
def test_at_most_half_of_the_replicas_are_ejected(trace: list[tuple[int, int]]) -> None:
    """Whatever throughputs it samples, an instance ejects at most half of the replicas."""
    detector = _detector()
    for second, (index, tokens) in enumerate(trace):
        detector.record_sample(REPLICAS[index], tokens=tokens, seconds=1.0, now_s=float(second))
        detector.evaluate(REPLICAS, now_s=float(second))
        assert 2 * sum(map(detector.is_ejected, REPLICAS)) <= len(REPLICAS)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.permutations(range(4)), st.sets(st.integers(0, 3), min_size=1))
def test_one_of_the_detecting_instances_probes(order: list[int], detecting: set[int]) -> None:
    """Of instances that detect a slow replica at once, only the one with the least id probes.

    The order in which their notices arrive must not matter.
    """
    detectors = [_detector(f"i-{number}") for number in range(4)]
    notices = [
        (number, _detect_slow(detectors[number], 5.0)[0]) for number in order if number in detecting
    ]
    for sender, notice in notices:
        for number in order:
            if number != sender:
                detectors[number].apply_notice(notice, now_s=5.0)
    after_s = 5.0 + notices[0][1].ejection_s
    probing = [number for number in range(4) if detectors[number].allows(SLOW, now_s=after_s)]
    assert probing == [min(detecting)]


def test_stream_blocked_by_its_reader_is_not_sampled() -> None:
    """Neither a slow reader nor the wait for the first token makes a replica slow."""
    monitor = ThroughputMonitor("a")
    monitor.detector = _detector()
    blocked = monitor.start(SLOW, prompt_tokens=10, can_move=True, now_s=0.0)
    not_started = monitor.start(SLOW, prompt_tokens=10, can_move=True, now_s=0.0)
    blocked.tokens = 1
    for second in range(1, 8):
        blocked.is_reader_blocked = True
        assert not monitor.step(REPLICAS, now_s=float(second))
    assert not not_started.tokens and not monitor.calls_to_move([_load(1)])


def test_call_is_moved_only_where_it_ends_sooner() -> None:
    """A call is not moved if its prefix takes longer to compute than the rest of its answer."""
    short_prefix = MoveInput(
        tokens_to_generate=100, tokens_to_prefill=8_000, current_throughput=5, other_throughput=50
    )
    long_prefix = MoveInput(
        tokens_to_generate=100, tokens_to_prefill=160_000, current_throughput=5, other_throughput=50
    )
    assert is_sooner_elsewhere(short_prefix)
    assert not is_sooner_elsewhere(long_prefix)


def test_no_more_calls_are_moved_than_slots_are_free() -> None:
    """No more calls are moved than other replicas have free slots."""
    monitor = ThroughputMonitor("a")
    monitor.detector = _detector()
    for _ in range(4):
        monitor.start(SLOW, prompt_tokens=10, can_move=True, now_s=0.0)
    monitor.detector.apply_notice(
        EjectionNotice(upstream_id=SLOW, prober="z", ejection_s=10.0, throughput=5.0), now_s=5.0
    )
    assert not monitor.calls_to_move([_load(0)])
    assert not monitor.calls_to_move([_load(0), _load(1, slots=3, sent=3)])
    assert len(monitor.calls_to_move([_load(0), _load(1, slots=3, sent=1)])) == 2
    assert len(monitor.calls_to_move([_load(0), _load(1), _load(2)])) == 4


def _load(number: int, *, slots: int = 9, sent: int = 0) -> ReplicaLoad:
    load = ReplicaLoad(REPLICAS[number], slots=slots, lag_s=1.0)
    for _ in range(sent):
        load.record_sent(now_s=0.0)
    return load


def test_dispatcher_moves_calls_off_a_slow_replica() -> None:
    """On a notice of a slow replica, the dispatcher moves its calls and sends no others there."""

    async def check() -> None:
        dispatcher = _dispatcher(3, slots=4)
        detector = dispatcher.slow_replicas._watch("m").detector
        for upstream_id in REPLICAS[:3]:
            detector.record_sample(
                upstream_id, tokens=TYPICAL_THROUGHPUT, seconds=1.0, now_s=trio.current_time()
            )
        async with dispatcher.place(_request(1, can_move=True)) as placed:
            slow = placed.unwrap()
            notice = EjectionNotice(
                upstream_id=slow.upstream_id, prober="z", ejection_s=10.0, throughput=5.0
            )
            dispatcher.slow_replicas.apply_report(SlowReplicaReport(model="m", notice=notice))
            dispatcher.slow_replicas.step()
            assert slow.move_requested.is_set()
            placed_at = []

            async def hold(number: int) -> None:
                result = await _hold(dispatcher, _request(number), 1.0)
                placed_at.append(result.unwrap().upstream_id)

            async with trio.open_nursery() as nursery:
                for number in range(2, 10):
                    nursery.start_soon(hold, number)
            assert len(placed_at) == 8 and slow.upstream_id not in placed_at

    _run(check)


load_tests = load_functions(globals())
