"""A few instances read the store for all: calls, messages, and how fast changes reach everybody."""

import math
import random
from functools import partial

import trio

from lagoonfold import Listing
from lagoonfold.liveness import plan_feeds
from lagoonfold.liveness._feed_sources import INSTANCES_PER_READER
from lagoonfold_gateway._store_mirror import StoreMirror
from standins.transactional_store import MemoryStore, StoreView
from tests._suite import load_functions
from tests.gateway._simulated_fleet import (
    CONFIG,
    IN_FORCE_S,
    POLL_TERMS_BY_PREFIX,
    REPLICAS,
    SimulatedFleet,
    run_on_virtual_clock,
    run_simulated,
)

SIZES = (7, 56, 171, 380)
DOMAINS = 5
IDLE_S = 6.0
CHANGES = 5


def _run_at(size: int, check) -> None:
    async def run(fleet: SimulatedFleet) -> None:
        fleet.store.put(CONFIG, b"first")
        await fleet.start_all(size, DOMAINS)
        await fleet.wait_until(lambda: _all_have(fleet, CONFIG, b"first"))
        await trio.sleep(5.0)
        await check(fleet)

    run_simulated(run)


def _all_have(fleet: SimulatedFleet, key: str, value: bytes | None) -> bool:
    return all(member.seen.get(key) == value for member in fleet.member_by_id.values())


async def _time_of_change(fleet: SimulatedFleet, value: bytes) -> float:
    """Change the configuration; return how long it takes until all instances have it."""
    fleet.store.put(CONFIG, value)
    return await fleet.wait_until(lambda: _all_have(fleet, CONFIG, value), within_s=20.0)


def _readers(fleet: SimulatedFleet) -> list[str]:
    return [name for name, member in fleet.member_by_id.items() if member.mirror.is_reading]


def _calls(fleet: SimulatedFleet) -> int:
    return sum(view.calls for view in fleet.view_by_id.values())


def test_calls_messages_and_time_of_a_change_at_sizes_of_the_fleet() -> None:
    """Calls grow with the readers, messages to the busiest instance and times do not grow."""
    calls_by_size: dict[int, float] = {}
    messages_by_size: dict[int, int] = {}

    async def check(fleet: SimulatedFleet) -> None:
        size, before = len(fleet.member_by_id), _calls(fleet)
        fleet.network.received_by_id.clear()
        await trio.sleep(IDLE_S)
        messages_by_size[size] = max(fleet.network.received_by_id.values())
        for number in range(CHANGES):
            fleet.store.put(f"{REPLICAS}r{number}", b"x")
            await trio.sleep(1.0)
        renewals = size * (IDLE_S + CHANGES) / 10.0
        calls_by_size[size] = _calls(fleet) - before - renewals
        assert await _time_of_change(fleet, b"second") < 0.5
        fleet.store.remove(f"{REPLICAS}r1")
        await fleet.wait_until(lambda: _all_have(fleet, f"{REPLICAS}r1", None), within_s=1.0)

    for size in SIZES:
        _run_at(size, check)
    # A poll for each change, and one of each prefix whenever its wait is over.
    idle_polls = sum(
        math.ceil((IDLE_S + CHANGES) / terms.wait_s) for terms in POLL_TERMS_BY_PREFIX.values()
    )
    for size, calls in calls_by_size.items():
        readers = DOMAINS * -(-size // (INSTANCES_PER_READER * DOMAINS))
        assert calls <= (CHANGES + idle_polls) * readers + 0.1 * size, calls_by_size
    smallest, *larger = messages_by_size.values()
    assert all(messages <= 1.5 * smallest for messages in larger), messages_by_size


def test_fleet_that_starts_again_as_a_whole_has_the_configuration_at_once() -> None:
    """All lose power and start within 0.3 s, while the store still lists those that were."""

    async def start_again(fleet: SimulatedFleet) -> None:
        ids, calls_before = tuple(fleet.member_by_id), _calls(fleet)
        fleet.kill(*ids)
        await trio.sleep(1.0)
        rng = random.Random(3)

        async def start(number: int, instance_id: str) -> None:
            await trio.sleep(rng.uniform(0.0, 0.3))
            began_s = trio.current_time()
            await fleet.start(instance_id, f"zone-{number % DOMAINS}")
            while fleet.member_by_id[instance_id].seen.get(CONFIG) is None:
                await trio.sleep(0.005)
            assert trio.current_time() - began_s < 0.25, instance_id

        async with trio.open_nursery() as nursery:
            for number, instance_id in enumerate(ids):
                nursery.start_soon(start, number, instance_id)
        # Three listings and their polls, a lease and an entry, for each instance at most.
        assert _calls(fleet) - calls_before <= 8 * len(ids)

    for size in SIZES[:3]:
        _run_at(size, start_again)


def test_change_reaches_all_while_readers_are_lost() -> None:
    """They are killed, or lose power without a trace, at the moment of the change."""

    async def kill(fleet: SimulatedFleet) -> None:
        fleet.kill(*_readers(fleet)[:2])
        assert await _time_of_change(fleet, b"second") < IN_FORCE_S

    async def power_off(fleet: SimulatedFleet) -> None:
        fleet.power_off(*_readers(fleet)[:2])
        assert await _time_of_change(fleet, b"second") < IN_FORCE_S

    for size in (7, 30):
        _run_at(size, kill)
        _run_at(size, power_off)


def test_change_reaches_all_while_the_store_turns_readers_away() -> None:
    """Others ask readers of other domains; who reads itself stays with it only for a while."""

    async def check(fleet: SimulatedFleet) -> None:
        turned_away = _readers(fleet)[:2]
        for name in turned_away:
            fleet.view_by_id[name].is_cut = True
        fleet.store.cut_watches()
        assert await _time_of_change(fleet, b"second") < IN_FORCE_S
        await trio.sleep(5.0)
        assert await _time_of_change(fleet, b"third") < IN_FORCE_S
        for name in turned_away:
            fleet.view_by_id[name].is_cut = False
        await trio.sleep(8.0)
        assert len(_readers(fleet)) <= 3 * DOMAINS, _readers(fleet)
        assert await _time_of_change(fleet, b"fourth") < IN_FORCE_S

    for size in (7, 30):
        _run_at(size, check)


def test_change_reaches_an_instance_that_is_cut_off_from_its_reader() -> None:
    """It asks another reader once the first one has not answered."""

    async def check(fleet: SimulatedFleet) -> None:
        readers = set(_readers(fleet))
        follower = next(name for name in fleet.member_by_id if name not in readers)
        for reader in sorted(readers)[:2]:
            fleet.network.cut_pairs.add(frozenset((follower, reader)))
        assert await _time_of_change(fleet, b"second") < 2 * IN_FORCE_S + 1.0

    for size in (7, 30):
        _run_at(size, check)


def test_change_reaches_all_after_an_outage_of_the_store() -> None:
    """While it lasts, all watches fail; few calls are made, and the change comes soon after."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.store.is_down = True
        fleet.store.cut_watches()
        size, before = len(fleet.member_by_id), _calls(fleet)
        await trio.sleep(10.0)
        # Each instance tries to renew its lease twice a second, and reads every two seconds.
        assert _calls(fleet) - before <= 10.0 * size * (2.0 + 0.5) + 100
        fleet.store.is_down = False
        assert await _time_of_change(fleet, b"second") < IN_FORCE_S

    for size in (7, 30):
        _run_at(size, check)


def test_change_that_one_reader_has_seen_reaches_all_while_the_polls_of_others_hang() -> None:
    """Most instances lack the change, and what they have seen must not hide that."""

    async def check(fleet: SimulatedFleet) -> None:
        for name in _readers(fleet)[1:]:
            fleet.view_by_id[name].are_polls_silent = True
        fleet.store.cut_watches()
        await trio.sleep(1.0)
        assert await _time_of_change(fleet, b"second") < IN_FORCE_S
        fleet.store.put(f"{REPLICAS}r1", b"leaving")
        took_s = await fleet.wait_until(
            lambda: _all_have(fleet, f"{REPLICAS}r1", b"leaving"), within_s=20.0
        )
        assert took_s < IN_FORCE_S, took_s

    for size in (7, 30):
        _run_at(size, check)


def test_change_reaches_all_after_a_silent_outage_that_took_the_polls_of_all_readers() -> None:
    """Nobody sees the change, and only the time limit of the polls ends their wait."""

    async def check(fleet: SimulatedFleet) -> None:
        for view in fleet.view_by_id.values():
            view.are_polls_silent = True
        fleet.store.cut_watches()
        await trio.sleep(5.0)
        for view in fleet.view_by_id.values():
            view.are_polls_silent = False
        assert await _time_of_change(fleet, b"second") < IN_FORCE_S

    for size in (7, 30):
        _run_at(size, check)


def test_change_is_in_force_in_time_after_the_polls_for_the_one_before_it_were_lost() -> None:
    """The store answers all other calls, so no failure shows that these polls are lost."""

    async def check(fleet: SimulatedFleet) -> None:
        for view in fleet.view_by_id.values():
            view.silent_prefixes.add(CONFIG)
        fleet.store.put(CONFIG, b"second")
        await trio.sleep(1.0)
        assert _all_have(fleet, CONFIG, b"second")
        for view in fleet.view_by_id.values():
            view.silent_prefixes.clear()
        fleet.store.put(f"{REPLICAS}r1", b"up")
        assert await _time_of_change(fleet, b"third") < IN_FORCE_S

    for size in (7, 30):
        _run_at(size, check)


def test_end_of_a_silent_outage_is_told_to_instances_that_read_for_themselves_meanwhile() -> None:
    """They keep entries that lapsed in the outage for a while, if they know that it was one."""

    async def check(fleet: SimulatedFleet) -> None:
        for view in fleet.view_by_id.values():
            view.is_silent = True
        await trio.sleep(3.0)
        for view in fleet.view_by_id.values():
            view.is_silent = False
        members = fleet.member_by_id.values()
        await fleet.wait_until(lambda: all(member.store_returns[REPLICAS] for member in members))

    for size in (7, 30):
        _run_at(size, check)


def test_reader_vouches_for_its_copy_only_once_the_store_has_answered_it() -> None:
    """A copy from another reader may be old by the time at which reading begins."""

    async def check() -> None:
        view = StoreView(MemoryStore())
        mirror = StoreMirror(view, POLL_TERMS_BY_PREFIX)
        feed = mirror.follow(CONFIG)
        feed.apply_listing(Listing(entries=(), revision=1))
        view.are_polls_silent = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(mirror.read, reason="no reader answers", max_pause_s=0.5))
            await trio.sleep(0.1)
            assert mirror.is_reading and not mirror.can_vouch(feed)
            view.are_polls_silent = False
            await trio.sleep(1.0)
            assert mirror.can_vouch(feed)
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(check)


def test_history_that_the_store_drops_is_not_missed() -> None:
    """Readers list again what was changed meanwhile, and those that ask get the whole list."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.store.are_watches_silent = True
        fleet.store.put(f"{REPLICAS}r1", b"up")
        fleet.store.put(f"{REPLICAS}r2", b"up")
        await trio.sleep(0.1)
        fleet.store.remove(f"{REPLICAS}r1")
        fleet.store.cut_watches(forget_history=True)
        fleet.store.are_watches_silent = False
        await fleet.wait_until(lambda: _all_have(fleet, f"{REPLICAS}r2", b"up"), within_s=20.0)
        assert _all_have(fleet, f"{REPLICAS}r1", None)

    for size in (7, 30):
        _run_at(size, check)


def test_further_prefix_is_fed_at_once() -> None:
    """A watch that begins later need not wait for the end of a poll that does not have it."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.store.put("later/a", b"x")
        fleet.store.put(CONFIG, b"second")
        await fleet.wait_until(lambda: _all_have(fleet, CONFIG, b"second"))
        for member in fleet.member_by_id.values():
            began_s = trio.current_time()
            listed = (await member.mirror.read_all("later/")).unwrap()
            assert [entry.key for entry in listed.entries] == ["later/a"]
            assert trio.current_time() - began_s < 0.1, trio.current_time() - began_s

    for size in (7, 30):
        _run_at(size, check)


def test_plan_names_readers_in_each_failure_domain_alike_at_all_instances() -> None:
    """One for twelve of a domain, two at least; instances ask those of their own domain first."""
    domain_by_id = {f"i{number}": f"zone-{number % 3}" for number in range(63)}
    plans = {name: plan_feeds(name, domain_by_id) for name in domain_by_id}
    readers = {name for name, plan in plans.items() if plan.is_reader}
    assert len(readers) == 6
    for name, plan in plans.items():
        assert set(plan.sources) == readers - {name}
        own = [domain_by_id[source] == domain_by_id[name] for source in plan.sources]
        assert own == sorted(own, reverse=True)
    assert plan_feeds("a", {"a": ""}).is_reader
    assert sum(plan_feeds(name, dict.fromkeys("abcd", "x")).is_reader for name in "abcd") == 2


load_tests = load_functions(globals())
