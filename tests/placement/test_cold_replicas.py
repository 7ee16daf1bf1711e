"""Cold replicas: which are cold, what owners place at them, and the affinity of objects."""

import math
import random
from bisect import bisect_right
from dataclasses import replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lagoonfold.forwarding import ForwardService, Replica
from lagoonfold.placement import (
    ColdReplicas,
    ColdTerms,
    PromptCacheIndex,
    PromptPart,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    read_cold_terms,
)
from tests._suite import load_functions
from tests.placement._placing_load import SERVICE, make_replicas

START_S, PER_S = 3.0, 27.0
UNIX_S, STEP_S = 1e9, 0.02
DURATIONS = st.sampled_from([0.02, 0.1, 0.5, 1.5])
OWNERS = st.sampled_from([(0,), (1,), (2,), (0, 1), (1, 2), ()])
FROZEN = st.sampled_from([None, None, 0, 1])  # places nothing, and then goes on as before
RATES = st.sampled_from([0.3, 4.0, PER_S, 500.0])
FIRST, SECOND = make_replicas()[:2]
ID = FIRST.replica_id


def _list(cold: ColdReplicas, replicas: list[Replica], now_s: float, **restored: float) -> None:
    more = {"is_first": now_s < 0, "unix_s": UNIX_S, "restored_s_by_domain": restored}
    cold.apply_listed(replicas, now_s=now_s, **more)


def _make(replicas: list[Replica], per_s: float = PER_S, **options: object) -> ColdReplicas:
    """Return what an instance knows whose first listing has these replicas."""
    cold = ColdReplicas(**options)
    cold.set_terms({SERVICE: ColdTerms(start_s=START_S, per_s=per_s)})
    _list(cold, replicas, -1.0)
    return cold


def _send_all(cold: ColdReplicas, now_s: float) -> int:
    sent = 0
    while sent < 1_000 and cold.has_room(ID, now_s=now_s):
        cold.record_sent(ID, now_s=now_s)
        sent += 1
    return sent


@settings(deadline=None, max_examples=100)
@given(RATES, st.lists(st.tuples(DURATIONS, OWNERS, FROZEN), min_size=2, max_size=8))
@example(PER_S, [(1.5, (0, 1), None), (1.5, (1, 2), 1), (1.5, (1, 2), None)])
def test_two_owners_stay_within_the_bound(
    per_s: float, phases: list[tuple[float, tuple[int, ...], int | None]]
) -> None:
    """A cold replica crashes if owners that are unaware of each other each use all it takes."""
    since_s: list[float | None] = [None] * 3
    instances = [
        _make([FIRST], per_s, placing_since_s=lambda _, number=number: since_s[number])
        for number in range(3)
    ]
    now_s, sent_at_s = 0.0, []
    for duration_s, owners, frozen in phases:
        for number in range(3):
            before_s = since_s[number] if since_s[number] is not None else now_s
            since_s[number] = before_s if number in owners else None
        for _ in range(round(duration_s / STEP_S)):
            now_s += STEP_S
            for number, cold in enumerate(instances):
                cold.record_told(ID, FIRST.started, 60.0, now_s=now_s)
                sent = _send_all(cold, now_s) if number != frozen else 0
                assert number in owners or not sent, "an instance that must not place sends"
                sent_at_s += [now_s] * sent
    for index, first_s in enumerate(sent_at_s):
        assert bisect_right(sent_at_s, first_s + 1.0) - index <= per_s * 1.5 + 5


def test_owner_uses_half_of_what_a_cold_replica_takes() -> None:
    """A bound that is kept by sending next to nothing wastes replicas, and so does a long queue."""
    cold = _make([SECOND])
    _list(cold, [FIRST, SECOND], 0.0)
    assert cold.wait_s([ID], 7, now_s=0.0) == 7 / (PER_S / 2)
    assert cold.wait_s([ID], 999, now_s=1.0) == 2.0
    sent = sum(_send_all(cold, step * STEP_S) for step in range(1, 150))
    assert 0.9 * START_S * PER_S / 2 <= sent <= START_S * PER_S / 2 + 3
    assert _send_all(cold, START_S) == 1_000, "it is warm"


def test_which_starts_are_cold_and_until_when() -> None:
    """Replicas that are taken for warm crash; warm ones that are taken for cold are left unused."""
    again, told = replace(FIRST, started=9), replace(FIRST, cold_s=2.0)
    old, new, ahead = (replace(again, started_unix_s=UNIX_S + s) for s in (-99.0, -0.5, 1e9))
    times_s = (0.9, 1.1, 2.4, 2.6, 2.9, 3.1)
    for before, listed, restored_s, until_s in (
        ([FIRST], FIRST, {}, -1.0),  # known from the first listing
        ([], FIRST, {}, START_S),
        ([FIRST], again, {}, START_S),  # under the same id
        ([FIRST], old, {}, -1.0),  # the store was out of reach meanwhile
        ([FIRST], new, {}, START_S),
        ([FIRST], ahead, {}, START_S),
        ([told], told, {}, 1.0),  # a listing that repeats an old entry is no news
        ([told], replace(told, cold_s=2.5), {}, 2.5),
        ([FIRST], FIRST, {FIRST.failure_domain: -0.5}, START_S - 0.5),
    ):
        cold = _make(before)
        for now_s, replicas in ((0.0, [listed]), (0.1, []), (0.2, [listed])):
            _list(cold, replicas, now_s, **restored_s)  # an entry that lapses and comes back
        for absurd_s in (-1.0, 0.0, math.nan, math.inf, 1e300):
            cold.record_told(ID, listed.started, absurd_s, now_s=0.2)
        cold.record_told(ID, listed.started + 1, 9.0, now_s=0.2)
        found = [at_s for at_s in times_s if cold.is_cold(ID, now_s=at_s)]
        assert found == [at_s for at_s in times_s if at_s < until_s], (listed, restored_s)
    cold = _make([FIRST])
    cold.record_unreached(ID, FIRST.started, now_s=5.0)
    assert list(cold.cold_ids(now_s=7.9)) == [ID] and not list(cold.cold_ids(now_s=8.0))
    cold.record_written(told, now_s=20.0)
    assert cold.is_cold(ID, now_s=21.9) and not cold.is_cold(ID, now_s=22.0)
    for start_s, per_s in ((0.0, 27.0), (3.0, 0.0), (3.0, -1.0), (-3.0, 27.0), (math.nan, 27.0)):
        figures = {"cold_start_s": start_s, "cold_per_s": per_s}
        terms = read_cold_terms(ForwardService(name=SERVICE, max_connections=9, **figures))
        assert terms.ok() is None and terms.is_ok() == (start_s == 0), figures
    cold.set_terms({})
    assert cold.has_room(ID, now_s=21.0)


def test_cold_replica_gets_the_requests_that_cost_it_least() -> None:
    """Large requests would use up its few places while warm replicas run the small ones."""
    tracker, index = ReplicaTracker(), PromptCacheIndex()
    cold = _make([SECOND])
    _list(cold, [FIRST, SECOND], 0.0)
    selector = ReplicaSelector(tracker, index, random.Random(1), cold=cold)
    tracker.record_sent(SECOND.replica_id)  # so that the cold one costs less
    index.record(ID, FIRST.started, [PromptPart("read", 900)])
    large = SelectionInput(typical_latency_s=0.2, expected_tokens=900)
    small, read = replace(large, expected_tokens=10), replace(large, parts=(PromptPart("read", 9),))
    for request in (small, large) * 8:
        selector.record_arrival(request)
    one_token_s = 1.1 / (PER_S / 2)
    cases = (small, 0.0, SECOND), (small, one_token_s, FIRST), (read, one_token_s, FIRST)
    for request, now_s, expected in (*cases, (large, one_token_s, SECOND), (large, 1.0, FIRST)):
        assert selector.choose([FIRST, SECOND], request, now_s=now_s).replica is expected


def test_objects_go_to_their_replica_unless_it_has_more_load_or_less_of_the_prompt() -> None:
    """An object's replica that is preferred to one with less load makes its callers wait."""
    replicas, tracker, index = make_replicas()[:6], ReplicaTracker(), PromptCacheIndex()
    selector = ReplicaSelector(tracker, index, random.Random(3))
    request = SelectionInput(typical_latency_s=0.1, affinity="cart-7")
    latest, part = replicas[4], PromptPart("p", 3_000)
    selector.record_placed(request, latest, now_s=0.0)
    index.record(ID, FIRST.started, [part])

    def chosen(request: SelectionInput, now_s: float = 1.0) -> int:
        found = [selector.choose(replicas, request, now_s=now_s) for _ in range(100)]
        return sum(each.replica is latest for each in found)

    assert chosen(request) >= 70 and chosen(request, now_s=100.0) <= 40
    assert chosen(replace(request, affinity="cart-8")) <= 40
    assert chosen(replace(request, parts=(part,))) == 0
    tracker.record_sent(latest.replica_id)
    tracker.record_sent(latest.replica_id)
    assert chosen(request) <= 10


load_tests = load_functions(globals())
