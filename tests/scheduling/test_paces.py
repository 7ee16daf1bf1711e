"""Slow replicas: seen during calls, put aside for all instances, tried again by one."""

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
from lagoonfold_node._dispatch._messages import PaceSeen
from tests._suite import load_functions
from tests.scheduling.test_dispatcher import _dispatcher, _hold, _request, _run

REPLICAS = tuple(UpstreamId(f"e-{number}") for number in range(5))
SLOW = REPLICAS[0]
PACE = 50.0


def _board(name: str = "a") -> SlowReplicaDetector:
    board = SlowReplicaDetector(name)
    for upstream_id in REPLICAS:
        board.record_sample(upstream_id, tokens=PACE, seconds=1.0, now_s=0.0)
    return board


def _see_slow(
    board: SlowReplicaDetector, now_s: float, upstream_id: UpstreamId = SLOW
) -> list[EjectionNotice]:
    board.record_sample(upstream_id, tokens=5, seconds=1.0, now_s=now_s)
    return board.evaluate(REPLICAS, now_s=now_s)


def test_slow_replica_is_put_aside_and_tried_by_one() -> None:
    """Its peers learn of it; after the pause the instance that saw it sends one call, no more."""
    seer, peer = _board("b"), _board("c")
    (notice,) = _see_slow(seer, 5.0)
    peer.apply_notice(notice, now_s=5.0)
    assert not seer.allows(SLOW, now_s=5.1) and not peer.allows(SLOW, now_s=5.1)
    assert all(seer.allows(other, now_s=5.1) for other in REPLICAS[1:])
    after_s = 5.0 + notice.ejection_s
    assert seer.allows(SLOW, now_s=after_s) and not peer.allows(SLOW, now_s=after_s)
    assert seer.start_call(SLOW, now_s=after_s)
    assert not seer.allows(SLOW, now_s=after_s)
    (again,) = _see_slow(seer, after_s + 1.0)
    assert again.ejection_s == 2 * notice.ejection_s


def test_replica_that_is_well_again_comes_back_everywhere() -> None:
    """A trial at the peers' pace brings it back here and at the peer that is told."""
    seer, peer = _board("b"), _board("c")
    (notice,) = _see_slow(seer, 5.0)
    peer.apply_notice(notice, now_s=5.0)
    seer.record_sample(SLOW, tokens=PACE, seconds=1.0, now_s=20.0)
    (back,) = seer.evaluate(REPLICAS, now_s=20.0)
    peer.apply_notice(back, now_s=20.0)
    assert seer.allows(SLOW, now_s=20.0) and peer.allows(SLOW, now_s=20.0)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 60)), max_size=60))
def test_half_of_the_replicas_are_always_left(trace: list[tuple[int, int]]) -> None:
    """Whatever paces are seen, an instance puts no more than half of the replicas aside."""
    board = _board()
    for moment, (index, tokens) in enumerate(trace):
        board.record_sample(REPLICAS[index], tokens=tokens, seconds=1.0, now_s=float(moment))
        board.evaluate(REPLICAS, now_s=float(moment))
        assert 2 * sum(map(board.is_ejected, REPLICAS)) <= len(REPLICAS)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.permutations(range(4)), st.sets(st.integers(0, 3), min_size=1))
def test_of_those_that_saw_it_one_tries(order: list[int], seers: set[int]) -> None:
    """Of instances that saw it at once, and told each other in any order, the least id tries."""
    boards = [_board(f"i-{number}") for number in range(4)]
    told = [(number, _see_slow(boards[number], 5.0)[0]) for number in order if number in seers]
    for sender, notice in told:
        for number in order:
            if number != sender:
                boards[number].apply_notice(notice, now_s=5.0)
    after_s = 5.0 + told[0][1].ejection_s
    trying = [number for number in range(4) if boards[number].allows(SLOW, now_s=after_s)]
    assert trying == [min(seers)]


def test_stream_that_readers_hold_back_says_nothing() -> None:
    """A slow reader makes no replica slow; nor does the wait for the first token."""
    watch = ThroughputMonitor("a")
    watch.detector = _board()
    held = watch.start(SLOW, prompt_tokens=10, can_move=True, now_s=0.0)
    unbegun = watch.start(SLOW, prompt_tokens=10, can_move=True, now_s=0.0)
    held.tokens = 1
    for moment in range(1, 8):
        held.is_reader_blocked = True
        assert not watch.step(REPLICAS, now_s=float(moment))
    assert not unbegun.tokens and not watch.calls_to_move([_load(1)])


def test_call_is_moved_only_where_it_ends_sooner() -> None:
    """A prefix that takes longer to compute than the rest of the answer keeps a call there."""
    short = MoveInput(
        tokens_to_generate=100, tokens_to_prefill=8_000, current_throughput=5, other_throughput=50
    )
    long = MoveInput(
        tokens_to_generate=100, tokens_to_prefill=160_000, current_throughput=5, other_throughput=50
    )
    assert is_sooner_elsewhere(short)
    assert not is_sooner_elsewhere(long)


def test_no_more_calls_are_moved_than_there_is_room_for() -> None:
    """Slots that are taken, or at the slow replica itself, take none of its calls."""
    watch = ThroughputMonitor("a")
    watch.detector = _board()
    for _ in range(4):
        watch.start(SLOW, prompt_tokens=10, can_move=True, now_s=0.0)
    watch.detector.apply_notice(
        EjectionNotice(upstream_id=SLOW, prober="z", ejection_s=10.0, throughput=5.0), now_s=5.0
    )
    assert not watch.calls_to_move([_load(0)])
    assert not watch.calls_to_move([_load(0), _load(1, slots=3, sent=3)])
    assert len(watch.calls_to_move([_load(0), _load(1, slots=3, sent=1)])) == 2
    assert len(watch.calls_to_move([_load(0), _load(1), _load(2)])) == 4


def _load(number: int, *, slots: int = 9, sent: int = 0) -> ReplicaLoad:
    load = ReplicaLoad(REPLICAS[number], slots=slots, lag_s=1.0)
    for _ in range(sent):
        load.record_sent(now_s=0.0)
    return load


def test_dispatcher_moves_calls_off_a_slow_replica() -> None:
    """Told of a slow replica, it asks the calls there to move, and sends no other there."""

    async def check() -> None:
        dispatcher = _dispatcher(3, slots=4)
        board = dispatcher.paces._watch("m").detector
        for upstream_id in REPLICAS[:3]:
            board.record_sample(upstream_id, tokens=PACE, seconds=1.0, now_s=trio.current_time())
        async with dispatcher.place(_request(1, can_move=True)) as placed:
            slow = placed.unwrap()
            notice = EjectionNotice(
                upstream_id=slow.upstream_id, prober="z", ejection_s=10.0, throughput=5.0
            )
            dispatcher.paces.take(PaceSeen(model="m", notice=notice))
            dispatcher.paces.step()
            assert slow.moved.is_set()
            placed_at = []

            async def hold(number: int) -> None:
                held = await _hold(dispatcher, _request(number), 1.0)
                placed_at.append(held.unwrap().upstream_id)

            async with trio.open_nursery() as nursery:
                for number in range(2, 10):
                    nursery.start_soon(hold, number)
            assert len(placed_at) == 8 and slow.upstream_id not in placed_at

    _run(check)


load_tests = load_functions(globals())
